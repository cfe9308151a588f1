/**
 * Plays a day on a placed model in virtual time: hosts of the product choose
 * paths and queue requests, targets behave as their published figures say, and
 * callers count what they get.
 *
 * @module
 */

import { WaitQueue } from "../../src/admission/wait_queue.ts";
import { silentLog } from "../../src/common/logging.ts";
import { type Random, seededRandom } from "../../src/common/random.ts";
import {
  PathChooser,
  type PathDemand,
  type ReservedPath,
} from "../../src/paths/path_chooser.ts";
import { TargetTable } from "../../src/paths/target_table.ts";
import { EventQueue } from "../chains/fakes.ts";
import { summarize } from "./outcome.ts";
import { PlacedTargets } from "./placed_targets.ts";
import { PlainPaths } from "./plain_paths.ts";
import { drawPauseMs, drawRequest } from "./request_source.ts";
import { kindOf } from "../../test/reference_site.ts";
import type {
  DayHost,
  DayOptions,
  DayOutcome,
  DayRequest,
  RunningStream,
} from "./types.ts";

const SERVICE = "model";
/** Hosts tell each other of their load this often. */
const TELL_MS = 250;
const PUMP_MS = 25;
/** Longest wait for room. */
const MAX_WAIT_MS = 1_200;
const MAX_WAITING = 400;
/** Time until a lost target is left: overdue events, a question, an order. */
const DETECT_MS = 180;
/** A target that refused a request gets none of that host for this long. */
const AVOID_MS = 600;
/** Targets to which one request may be sent. */
const MAX_SENDS = 2;
const FIRST_GOAL_MS = 500;
const GAP_GOAL_MS = 250;
const EVENT_TOKENS = 5;
/** Share of the expected answer for which hosts keep memory. */
const ANSWER_SHARE = 0.7;

/** Plays one day. */
export function playDay(options: DayOptions): DayOutcome {
  return new Day(options).play();
}

class Day {
  readonly #options: DayOptions;
  readonly #events = new EventQueue();
  readonly #random: Random;
  readonly #targets: PlacedTargets;
  readonly #hosts: DayHost[];
  readonly #plainPaths: PlainPaths;
  readonly #requests: DayRequest[] = [];
  readonly #streams = new Set<RunningStream>();

  constructor(options: DayOptions) {
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
    for (const { book } of this.#hosts) {
      for (const [index, { targetId, span }] of orders.entries()) {
        const plan = targets.find(({ id }) => id === targetId);
        if (plan === undefined) continue;
        book.put({
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
    this.#plainPaths = new PlainPaths({
      figures,
      orders,
      way: options.pathWay,
      random: this.#random,
    });
  }

  play(): DayOutcome {
    const { durationMs, load } = this.#options;
    this.#arrive();
    this.#every(TELL_MS, () => this.#tell());
    this.#every(
      PUMP_MS,
      () => this.#hosts.forEach(({ queue }) => queue.dispatch()),
    );
    if (load.lost !== undefined) {
      const { atMs, ids } = load.lost;
      this.#events.after(atMs, () => this.#lose(ids));
    }
    this.#events.runUntil(durationMs + 30_000);
    return summarize(this.#requests, durationMs);
  }

  #makeHost(domain: string): DayHost {
    const clock = this.#events;
    const book = new TargetTable({ clock, log: silentLog });
    const chooser = new PathChooser({
      targetTable: book,
      clock,
      domain,
      hosts: () => this.#options.hosts,
      random: this.#random,
    });
    return {
      book,
      chooser,
      queue: new WaitQueue({ clock, maxWaiting: MAX_WAITING }),
    };
  }

  #every(pauseMs: number, act: () => void): void {
    const again = (): void => {
      act();
      if (this.#events.nowMs() < this.#options.durationMs + 5_000) {
        this.#events.after(pauseMs, again);
      }
    };
    again();
  }

  /** Each host learns what the others put on targets. */
  #tell(): void {
    for (const host of this.#hosts) {
      for (const target of host.book.all()) {
        const sum = { streams: 0, tokenLayers: 0 };
        for (const { book } of this.#hosts) {
          if (book === host.book) continue;
          const use = book.get(target.id)?.ownLoad;
          sum.streams += use?.streams ?? 0;
          sum.tokenLayers += use?.tokenLayers ?? 0;
        }
        target.peerLoad = sum;
      }
    }
  }

  #arrive(): void {
    const { load, durationMs } = this.#options;
    const nowMs = this.#events.nowMs();
    const pauseMs = drawPauseMs(load, nowMs, this.#random);
    if (nowMs + pauseMs > durationMs) return;
    this.#events.after(pauseMs, () => {
      const request = drawRequest(this.#events.nowMs(), this.#random);
      this.#requests.push(request);
      this.#offer(request);
      this.#arrive();
    });
  }

  #offer(request: DayRequest): void {
    const { queueWay } = this.#options;
    const host = this.#hosts[Math.floor(this.#random() * this.#hosts.length)];
    const tryStart = (): boolean => this.#start(host, request);
    const refuse = (): void => {
      request.end = "refused";
    };
    if (queueWay === "none") {
      if (!tryStart()) refuse();
      return;
    }
    host.queue.add({
      rank: queueWay === "ranked" ? request.rank : 0,
      untilMs: this.#events.nowMs() + MAX_WAIT_MS,
      tryStart,
      refuse,
    });
  }

  #start(host: DayHost, request: DayRequest): boolean {
    const path = this.#choose(host, request);
    if (path === undefined) return false;
    const needed = request.promptTokens + request.answerTokens;
    const refusing = this.#targets.admit(path.stages, needed);
    if (refusing !== undefined) {
      path.release();
      const target = host.book.get(refusing);
      if (target !== undefined) {
        target.avoidUntilMs = this.#events.nowMs() + AVOID_MS;
      }
      request.refusedBy.add(refusing);
      if (++request.sends < MAX_SENDS) {
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
      isOver: false,
    };
    this.#streams.add(stream);
    this.#targets.read(path.stages, request.promptTokens, [], () => {
      const eventMs = this.#targets.tokenMs(stream.stages) * EVENT_TOKENS;
      request.firstMs = this.#events.nowMs() + eventMs - request.startMs;
      if (request.firstMs > FIRST_GOAL_MS) stream.isLate = true;
      const leftTokens = request.answerTokens - EVENT_TOKENS;
      this.#events.after(eventMs, () => this.#write(stream, leftTokens));
    });
    return true;
  }

  #choose(host: DayHost, request: DayRequest): ReservedPath | undefined {
    return this.#pathFor(host, {
      tokens: request.promptTokens + ANSWER_SHARE * request.likelyTokens,
      excluded: request.refusedBy,
    });
  }

  /** A plain way always takes a whole copy; a stream then begins it anew. */
  #pathFor(
    host: DayHost,
    demand: Omit<PathDemand, "service" | "figures">,
  ): ReservedPath | undefined {
    const { figures, pathWay } = this.#options;
    if (pathWay !== "cost") {
      const stages = this.#plainPaths.next(host.book);
      return stages && { stages, msPerToken: 0, release: () => {} };
    }
    return host.chooser.choose({ service: SERVICE, figures, ...demand });
  }

  /** Writes the rest in pieces, so that the pace follows the load. */
  #write(stream: RunningStream, leftTokens: number): void {
    if (stream.isOver) return;
    if (leftTokens <= 0) {
      this.#end(stream, stream.isLate ? "late" : "in-time");
      return;
    }
    const isHeld = this.#targets.hasLost(stream.stages);
    // A stream without a sound path waits for its repair.
    const tokens = isHeld ? 0 : Math.min(leftTokens, 4 * EVENT_TOKENS);
    const tokenMs = this.#targets.tokenMs(stream.stages);
    if (tokenMs * EVENT_TOKENS > GAP_GOAL_MS) stream.isLate = true;
    const tookMs = isHeld ? PUMP_MS : tokens * tokenMs;
    this.#events.after(tookMs, () => this.#write(stream, leftTokens - tokens));
  }

  #end(stream: RunningStream, end: DayRequest["end"]): void {
    if (stream.isOver) return;
    stream.isOver = true;
    stream.request.end = end;
    stream.release();
    const { promptTokens, answerTokens } = stream.request;
    this.#targets.leave(stream.stages, promptTokens + answerTokens);
    this.#streams.delete(stream);
  }

  #lose(ids: readonly string[]): void {
    this.#targets.lose(ids);
    this.#events.after(DETECT_MS, () => {
      for (const { book } of this.#hosts) {
        for (const id of ids) book.remove(id, true);
      }
      for (const stream of [...this.#streams]) {
        this.#repair(stream, new Set(ids));
      }
    });
  }

  /** Another path from the same first target, else a start at another. */
  #repair(stream: RunningStream, lost: ReadonlySet<string>): void {
    const { request, host, stages } = stream;
    if (!stages.some(({ targetId }) => lost.has(targetId))) return;
    const tokens = request.promptTokens + request.answerTokens;
    this.#targets.leave(stages, tokens);
    stream.release();
    stream.release = () => {};
    const current = lost.has(stages[0].targetId) ? undefined : stages;
    const next = this.#pathFor(host, { tokens, excluded: lost, current });
    if (
      next === undefined ||
      this.#targets.admit(next.stages, tokens) !== undefined
    ) {
      next?.release();
      stream.stages = [];
      this.#end(stream, "refused");
      return;
    }
    stream.stages = next.stages;
    stream.release = next.release;
    const startMs = this.#events.nowMs() - DETECT_MS;
    this.#targets.read(next.stages, tokens, current ?? [], () => {
      const gapMs = this.#events.nowMs() - startMs;
      if (gapMs > GAP_GOAL_MS) stream.isLate = true;
    });
  }
}
