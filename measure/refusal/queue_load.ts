/**
 * Discrete-event simulation of wait queues: hosts share a capacity of tokens,
 * and each request holds its tokens until its answer is complete. Callers leave
 * after their patience, and retry once after a refusal.
 *
 * @module
 */

import {
  callerPatienceMs,
  requestSize,
  requestWorkMs,
} from "../../src/admission/refusal_cost.ts";
import { WaitQueue } from "../../src/admission/wait_queue.ts";
import { type Random, seededRandom } from "../../src/common/random.ts";
import { SITE_PROFILE } from "../../test/reference_site.ts";
import { EventQueue } from "../chains/fakes.ts";
import { summarizeLoad } from "./load_outcome.ts";
import { RankedQueue } from "./ranked_queue.ts";
import type { LoadOutcome, LoadRequest, QueueLoad } from "./types.ts";

const KINDS = [
  { rank: 0, share: 0.3, promptTokens: 600, answerTokens: 150, goalMs: 500 },
  { rank: 1, share: 0.3, promptTokens: 900, answerTokens: 250, goalMs: 500 },
  { rank: 2, share: 0.4, promptTokens: 800, answerTokens: 300, goalMs: 1_000 },
];
const GAP_GOAL_MS = 250;
const CUSTOMERS = 24;
/** Time from the start to the first event, and for each token after it. */
const FIRST_EVENT_BASE_MS = 80;
const PREFILL_TOKENS_PER_MS = 10;
const TOKEN_MS = 9;
const MAX_WAIT_MS = 1_200;
const MAX_WAITING = 400;
const TICK_MS = 25;
const DISPATCH_TICKS = 4;
const DEFAULT_RETRY_MS = 700;
/** A caller waits for `Retry-After` up to this part of its remaining time. */
const RETRY_SHARE = 1 / 3;
const HASTY_RETRY_MS = 20;

interface SimulatedHost {
  readonly cost: WaitQueue;
  readonly ranked: RankedQueue;
}

export function simulateQueues(load: QueueLoad): LoadOutcome {
  return new QueueSimulation(load).run();
}

class QueueSimulation {
  readonly #load: QueueLoad;
  readonly #random: Random;
  readonly #events = new EventQueue();
  readonly #hosts: SimulatedHost[];
  readonly #requests: LoadRequest[] = [];
  readonly #returnsAtMs: number[] = [];
  #freeTokens: number;

  constructor(load: QueueLoad) {
    this.#load = load;
    this.#random = seededRandom(load.seed);
    this.#freeTokens = load.requestsPerS / 1_000 / load.utilization *
      meanTokenTime();
    const clock = this.#events;
    const options = { clock, maxWaiting: MAX_WAITING };
    this.#hosts = Array.from({ length: load.hosts }, () => ({
      cost: new WaitQueue({ ...options, random: this.#random }),
      ranked: new RankedQueue(options),
    }));
  }

  run(): LoadOutcome {
    const { durationMs } = this.#load;
    for (const kind of KINDS) this.#scheduleArrival(kind);
    this.#tick(0);
    this.#events.runUntil(durationMs + 20_000);
    return summarizeLoad(this.#requests, this.#returnsAtMs);
  }

  #tick(count: number): void {
    for (const { cost, ranked } of this.#hosts) {
      if (count % DISPATCH_TICKS > 0) {
        cost.expire();
        ranked.expire();
        continue;
      }
      cost.dispatch();
      ranked.dispatch();
    }
    if (this.#events.nowMs() > this.#load.durationMs + 15_000) return;
    this.#events.after(TICK_MS, () => this.#tick(count + 1));
  }

  #scheduleArrival(kind: typeof KINDS[number]): void {
    const { requestsPerS, bursts, durationMs } = this.#load;
    const nowMs = this.#events.nowMs();
    const burst = bursts.find(({ rank, fromMs, toMs }) =>
      rank === kind.rank && fromMs <= nowMs && nowMs < toMs
    );
    const perMs = requestsPerS * kind.share * (burst?.factor ?? 1) / 1_000;
    const waitMs = -Math.log(1 - this.#random()) / perMs;
    if (nowMs + waitMs > durationMs) return;
    this.#events.after(waitMs, () => {
      const request = this.#drawRequest(kind);
      this.#requests.push(request);
      this.#submit(request);
      this.#scheduleArrival(kind);
    });
  }

  #drawRequest(kind: typeof KINDS[number]): LoadRequest {
    const random = this.#random;
    const scale = drawScale(random);
    const promptTokens = Math.round(kind.promptTokens * scale);
    const answerTokens = Math.round(kind.answerTokens * scale);
    return {
      id: this.#requests.length,
      rank: kind.rank,
      customer: Math.floor(CUSTOMERS * random() ** 2),
      promptTokens,
      answerTokens,
      goalMs: kind.goalMs,
      patienceMs: callerPatienceMs(kind.goalMs, GAP_GOAL_MS),
      deadlineMs: 1_500 + 8_000 * random(),
      firstMs: this.#events.nowMs(),
      isHasty: random() < (this.#load.hastyShare ?? 0.2),
      relativeSize: scale / MEAN_SCALE,
      attempts: 0,
      end: "refused",
    };
  }

  #submit(request: LoadRequest): void {
    const { order } = this.#load;
    const nowMs = this.#events.nowMs();
    const host = this.#hosts[Math.floor(this.#random() * this.#hosts.length)];
    const { promptTokens, answerTokens } = request;
    request.attempts++;
    const waiter = {
      rank: order === "first-come" ? 0 : request.rank,
      untilMs: Math.min(
        nowMs + MAX_WAIT_MS,
        request.firstMs + request.deadlineMs,
      ),
      needs: {
        requestId: `${request.id}-${request.attempts}`,
        contentId: String(request.id),
        kind: String(request.rank),
        size: requestSize(promptTokens, answerTokens),
        workMs: requestWorkMs(SITE_PROFILE, { promptTokens, answerTokens }),
        receivedMs: nowMs,
        goalMs: request.goalMs,
        patienceMs: request.patienceMs,
      },
      tryStart: () => this.#start(host, request, nowMs),
      refuse: () => this.#refuse(host, request),
    };
    if (order === "cost") host.cost.add(waiter);
    else host.ranked.add(waiter, waiter.refuse);
  }

  #start(
    host: SimulatedHost,
    request: LoadRequest,
    arrivedMs: number,
  ): boolean {
    const tokens = request.promptTokens + request.answerTokens;
    if (tokens > this.#freeTokens) return false;
    this.#freeTokens -= tokens;
    const firstEventMs = firstEventAfterMs(request.promptTokens) *
      (this.#load.firstEventFactor ?? 1);
    const firstAtMs = this.#events.nowMs() + firstEventMs;
    const hasLeft = firstAtMs > arrivedMs + request.patienceMs;
    const isLate = firstAtMs > request.firstMs + request.goalMs;
    request.end = hasLeft ? "left" : isLate ? "late" : "in-time";
    this.#events.after(firstEventMs, () => {
      host.cost.recordFirstEvent(firstEventMs);
    });
    const tookMs = hasLeft
      ? arrivedMs + request.patienceMs - this.#events.nowMs()
      : firstEventMs + request.answerTokens * TOKEN_MS;
    this.#events.after(tookMs, () => {
      this.#freeTokens += tokens;
      host.cost.dispatch();
      host.ranked.dispatch();
    });
    return true;
  }

  #refuse(host: SimulatedHost, request: LoadRequest): void {
    const nowMs = this.#events.nowMs();
    request.end = "refused";
    const remainingMs = request.firstMs + request.deadlineMs - nowMs;
    const scheduledMs = this.#load.order === "cost"
      ? host.cost.reserveReturn({
        rank: request.rank,
        contentId: String(request.id),
        receivedMs: request.firstMs,
      })
      : undefined;
    const retryMs = request.isHasty
      ? HASTY_RETRY_MS
      : scheduledMs ?? DEFAULT_RETRY_MS * (0.75 + this.#random() / 2);
    if (request.attempts > 1 || remainingMs <= 0) return;
    const waitMs = Math.min(retryMs, remainingMs * RETRY_SHARE);
    this.#events.after(waitMs, () => {
      if (!request.isHasty) this.#returnsAtMs.push(this.#events.nowMs());
      this.#submit(request);
    });
  }
}

const SIGMA = 0.6;
const MEAN_SCALE = Math.exp(SIGMA ** 2 / 2);

/** Lognormal, as prompts and answers are: many small, few large. */
function drawScale(random: Random): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  return Math.min(6, Math.max(0.1, Math.exp(SIGMA * normal)));
}

function firstEventAfterMs(promptTokens: number): number {
  return FIRST_EVENT_BASE_MS + promptTokens / PREFILL_TOKENS_PER_MS;
}

/** Mean of tokens times the time for which a request holds them, in ms. */
function meanTokenTime(): number {
  const random = seededRandom(1);
  let sum = 0;
  const draws = 20_000;
  for (let draw = 0; draw < draws; draw++) {
    const scale = drawScale(random);
    for (const { share, ...kind } of KINDS) {
      const promptTokens = kind.promptTokens * scale;
      const answerTokens = kind.answerTokens * scale;
      sum += share * (promptTokens + answerTokens) *
        (firstEventAfterMs(promptTokens) + answerTokens * TOKEN_MS);
    }
  }
  return sum / draws;
}
