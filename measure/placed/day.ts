/**
 * Discrete-event simulation of a request load on a placed model. Hosts run the
 * product's path selection and wait queue, targets follow the engine profile,
 * and the outcome of every request is recorded.
 *
 * @module
 */

import {
  callerPatienceMs,
  type RequestNeeds,
  requestSize,
  requestWorkMs,
} from "../../src/admission/refusal_cost.ts";
import { WaitQueue } from "../../src/admission/wait_queue.ts";
import { silentLog } from "../../src/common/logging.ts";
import { type Random, seededRandom } from "../../src/common/random.ts";
import { choiceSpread } from "../../src/paths/choice_spread.ts";
import {
  PathChooser,
  type PathDemand,
  type ReservedPath,
} from "../../src/paths/path_chooser.ts";
import { TargetTable } from "../../src/paths/target_table.ts";
import { EventQueue } from "../chains/fakes.ts";
import { summarize } from "./outcome.ts";
import { PlacedTargets } from "./placed_targets.ts";
import { LoadExchange } from "./load_exchange.ts";
import { BaselinePaths } from "./baseline_paths.ts";
import type { PathStage } from "../../src/ports/types.ts";
import { drawInterarrivalMs, drawRequest } from "./request_source.ts";
import { kindOf } from "../../test/reference_site.ts";
import type {
  LoadInfo,
  RunningStream,
  SimulatedHost,
  SimulatedRequest,
  SimulationOptions,
  SimulationOutcome,
} from "./types.ts";

const SERVICE = "model";
/** Load information in fleets of up to 12 hosts. */
export const SMALL_FLEET_INFO: LoadInfo = {
  intervalMs: 250,
  minDelayMs: 0,
  maxDelayMs: 0,
  hasPrefillReports: true,
};
const DISPATCH_INTERVAL_MS = 25;
/** Longest time that a request waits in a queue for capacity. */
const MAX_WAIT_MS = 1_200;
const MAX_WAITING = 400;
/** Delay until streams leave a lost target: overdue events, a query, an order. */
const DETECTION_DELAY_MS = 180;
/** Time for which a host avoids a target that rejected a request. */
const AVOID_MS = 600;
const MAX_ATTEMPTS = 2;
const FIRST_EVENT_GOAL_MS = 500;
const EVENT_GAP_GOAL_MS = 250;
const TOKENS_PER_EVENT = 5;
/** Share of the expected answer for which a path reserves memory. */
const RESERVED_ANSWER_SHARE = 0.7;

export function simulateLoad(options: SimulationOptions): SimulationOutcome {
  return new LoadSimulation(options).run();
}

class LoadSimulation {
  readonly #options: SimulationOptions;
  readonly #events = new EventQueue();
  readonly #random: Random;
  readonly #targets: PlacedTargets;
  readonly #hosts: SimulatedHost[];
  readonly #baselinePaths: BaselinePaths;
  readonly #requests: SimulatedRequest[] = [];
  readonly #streams = new Set<RunningStream>();
  readonly #sendsByFirst = new Map<string, number>();

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    const { figures, targets } = options;
    const orders = options.planner(figures, targets);
    this.#targets = new PlacedTargets({
      events: this.#events,
      figures,
      targets,
      orders,
    });
    const domains = [...new Set(targets.map(({ domain }) => domain))];
    this.#hosts = Array.from(
      { length: options.hosts },
      (_, index) => this.#makeHost(domains[index % domains.length]),
    );
    for (const { targetTable } of this.#hosts) {
      for (const [index, { targetId, span }] of orders.entries()) {
        const plan = targets.find(({ id }) => id === targetId);
        if (plan === undefined) continue;
        targetTable.put({
          id: targetId,
          service: SERVICE,
          address: `10.0.0.1:${index + 1}`,
          domain: plan.domain,
          state: "ready",
          bornMs: 0,
          kind: kindOf(plan),
          span,
        });
      }
    }
    this.#baselinePaths = new BaselinePaths({
      figures,
      orders,
      policy: options.pathPolicy,
      random: this.#random,
    });
  }

  run(): SimulationOutcome {
    const { durationMs, load } = this.#options;
    this.#scheduleArrival();
    const info = this.#options.loadInfo ?? SMALL_FLEET_INFO;
    const exchange = new LoadExchange({
      events: this.#events,
      hosts: this.#hosts,
      info,
      random: this.#random,
    });
    this.#repeatEvery(info.intervalMs, () => exchange.exchange());
    this.#repeatEvery(
      DISPATCH_INTERVAL_MS,
      () => this.#hosts.forEach(({ queue }) => queue.dispatch()),
    );
    if (load.lost !== undefined) {
      const { atMs, ids } = load.lost;
      this.#events.after(atMs, () => this.#failTargets(ids));
    }
    this.#events.runUntil(durationMs + 30_000);
    return summarize(this.#requests, {
      durationMs,
      sendsByFirst: this.#sendsByFirst,
    });
  }

  #makeHost(domain: string): SimulatedHost {
    const clock = this.#events;
    const targetTable = new TargetTable({ clock, log: silentLog });
    const chooser = new PathChooser({
      targetTable,
      clock,
      domain,
      hosts: () => this.#options.hosts,
      random: this.#random,
      spread: (hosts) => ({ ...choiceSpread(hosts), ...this.#options.spread }),
      maxEstimatedHosts: Infinity,
    });
    return {
      targetTable,
      chooser,
      queue: new WaitQueue({ clock, maxWaiting: MAX_WAITING }),
    };
  }

  #repeatEvery(intervalMs: number, act: () => void): void {
    const runAndReschedule = (): void => {
      act();
      if (this.#events.nowMs() < this.#options.durationMs + 5_000) {
        this.#events.after(intervalMs, runAndReschedule);
      }
    };
    runAndReschedule();
  }

  #scheduleArrival(): void {
    const { load, durationMs } = this.#options;
    const nowMs = this.#events.nowMs();
    const intervalMs = drawInterarrivalMs(load, nowMs, this.#random);
    if (nowMs + intervalMs > durationMs) return;
    this.#events.after(intervalMs, () => {
      const request = drawRequest(this.#events.nowMs(), this.#random);
      this.#requests.push(request);
      this.#submit(request);
      this.#scheduleArrival();
    });
  }

  #submit(request: SimulatedRequest): void {
    const { queuePolicy: queueWay } = this.#options;
    const host = this.#hosts[Math.floor(this.#random() * this.#hosts.length)];
    const tryStart = (): boolean => this.#start(host, request);
    const reject = (): void => {
      request.end = "refused";
    };
    if (queueWay === "none") {
      if (!tryStart()) reject();
      return;
    }
    host.queue.add({
      rank: queueWay === "ranked" ? request.rank : 0,
      untilMs: this.#events.nowMs() +
        (this.#options.maxWaitMs ?? MAX_WAIT_MS),
      needs: queueWay === "ranked" ? this.#needsOf(request) : undefined,
      tryStart,
      refuse: reject,
    });
  }

  #needsOf(request: SimulatedRequest): RequestNeeds {
    const { kind, startMs, promptTokens, expectedTokens } = request;
    const tokens = { promptTokens, answerTokens: expectedTokens };
    return {
      requestId: String(startMs),
      contentId: String(startMs),
      kind,
      size: requestSize(promptTokens, expectedTokens),
      workMs: requestWorkMs(this.#options.figures, tokens),
      receivedMs: startMs,
      goalMs: FIRST_EVENT_GOAL_MS,
      patienceMs: callerPatienceMs(FIRST_EVENT_GOAL_MS, EVENT_GAP_GOAL_MS),
    };
  }

  #start(host: SimulatedHost, request: SimulatedRequest): boolean {
    const path = this.#selectPath(host, request);
    if (path === undefined) return false;
    const neededTokens = request.promptTokens + request.answerTokens;
    const rejectingId = this.#targets.admit(path.stages, neededTokens);
    if (rejectingId !== undefined) {
      path.release();
      const target = host.targetTable.get(rejectingId);
      if (target !== undefined) {
        target.avoidUntilMs = this.#events.nowMs() + AVOID_MS;
      }
      request.rejectedBy.add(rejectingId);
      if (++request.sends < MAX_ATTEMPTS) {
        return this.#start(host, request);
      }
      request.end = "refused";
      return true;
    }
    const stream: RunningStream = {
      request,
      host,
      stages: path.stages,
      release: path.release,
      isLate: false,
      isFinished: false,
    };
    this.#streams.add(stream);
    const firstId = path.stages[0].targetId;
    this.#sendsByFirst.set(firstId, (this.#sendsByFirst.get(firstId) ?? 0) + 1);
    const sentMs = this.#events.nowMs();
    this.#targets.prefill(path.stages, request.promptTokens, [], () => {
      const eventMs = this.#targets.tokenMs(stream.stages) * TOKENS_PER_EVENT;
      this.#events.after(eventMs, () => path.recordFirstEvent());
      if (path.firstEventMs > 0) {
        request.estimate = {
          estimatedMs: path.firstEventMs,
          observedMs: this.#events.nowMs() + eventMs - sentMs,
        };
      }
      request.firstEventMs = this.#events.nowMs() + eventMs - request.startMs;
      host.queue.recordFirstEvent(this.#events.nowMs() + eventMs - sentMs);
      if (request.firstEventMs > FIRST_EVENT_GOAL_MS) stream.isLate = true;
      const leftTokens = request.answerTokens - TOKENS_PER_EVENT;
      this.#events.after(eventMs, () => this.#generate(stream, leftTokens));
    });
    return true;
  }

  #selectPath(
    host: SimulatedHost,
    request: SimulatedRequest,
  ): ReservedPath | undefined {
    return this.#findPath(host, {
      tokens: request.promptTokens +
        RESERVED_ANSWER_SHARE * request.expectedTokens,
      promptTokens: request.promptTokens,
      excluded: request.rejectedBy,
    });
  }

  /**
   * A baseline policy always selects a complete copy, so a repathed stream
   * starts over on that copy.
   */
  #findPath(
    host: SimulatedHost,
    demand: Omit<PathDemand, "service" | "figures">,
  ): ReservedPath | undefined {
    const { figures, pathPolicy: pathWay } = this.#options;
    if (pathWay !== "cost") {
      const stages = this.#baselinePaths.next(host.targetTable);
      return stages && reserveCopy(host, stages);
    }
    return host.chooser.choose({ service: SERVICE, figures, ...demand });
  }

  /** Generates the remaining tokens in chunks, so that the pace follows the load. */
  #generate(stream: RunningStream, leftTokens: number): void {
    if (stream.isFinished) return;
    if (leftTokens <= 0) {
      this.#finish(stream, stream.isLate ? "late" : "in-time");
      return;
    }
    const isStalled = this.#targets.hasLost(stream.stages);
    // A stream whose path contains a lost target stalls until it is repathed.
    const tokens = isStalled ? 0 : Math.min(leftTokens, 4 * TOKENS_PER_EVENT);
    const tokenMs = this.#targets.tokenMs(stream.stages);
    if (tokenMs * TOKENS_PER_EVENT > EVENT_GAP_GOAL_MS) stream.isLate = true;
    const tookMs = isStalled ? DISPATCH_INTERVAL_MS : tokens * tokenMs;
    this.#events.after(
      tookMs,
      () => this.#generate(stream, leftTokens - tokens),
    );
  }

  #finish(stream: RunningStream, end: SimulatedRequest["end"]): void {
    if (stream.isFinished) return;
    stream.isFinished = true;
    stream.request.end = end;
    stream.release();
    const { promptTokens, answerTokens } = stream.request;
    this.#targets.release(stream.stages, promptTokens + answerTokens);
    this.#streams.delete(stream);
  }

  #failTargets(ids: readonly string[]): void {
    this.#targets.markLost(ids);
    this.#events.after(DETECTION_DELAY_MS, () => {
      for (const { targetTable } of this.#hosts) {
        for (const id of ids) targetTable.remove(id, true);
      }
      for (const stream of [...this.#streams]) {
        this.#repath(stream, new Set(ids));
      }
    });
  }

  /** Repaths from the current first target, or from another if that one is lost. */
  #repath(stream: RunningStream, lost: ReadonlySet<string>): void {
    const { request, host, stages } = stream;
    if (!stages.some(({ targetId }) => lost.has(targetId))) return;
    const tokens = request.promptTokens + request.answerTokens;
    this.#targets.release(stages, tokens);
    stream.release();
    stream.release = () => {};
    const current = lost.has(stages[0].targetId) ? undefined : stages;
    const next = this.#findPath(host, { tokens, excluded: lost, current });
    if (
      next === undefined ||
      this.#targets.admit(next.stages, tokens) !== undefined
    ) {
      next?.release();
      stream.stages = [];
      this.#finish(stream, "refused");
      return;
    }
    stream.stages = next.stages;
    stream.release = next.release;
    const startMs = this.#events.nowMs() - DETECTION_DELAY_MS;
    this.#targets.prefill(next.stages, tokens, current ?? [], () => {
      next.recordFirstEvent();
      const gapMs = this.#events.nowMs() - startMs;
      if (gapMs > EVENT_GAP_GOAL_MS) stream.isLate = true;
    });
  }
}

/** Counts the streams of a copy, which some baselines select by. */
function reserveCopy(
  { targetTable }: SimulatedHost,
  stages: readonly PathStage[],
): ReservedPath {
  const count = (change: 1 | -1): void => {
    for (const { targetId } of stages) {
      const target = targetTable.get(targetId);
      if (target !== undefined) target.ownLoad.streams += change;
    }
  };
  count(1);
  return {
    stages,
    firstEventMs: 0,
    msPerToken: 0,
    recordFirstEvent: () => undefined,
    release: () => count(-1),
  };
}
