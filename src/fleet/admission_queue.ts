/**
 * The queue before a bounded resource of this host. A request that cannot be
 * served before its deadline is refused at once, with the time at which the
 * queue would have room for it; nothing waits for a refusal.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import { deferred } from "../common/deferred.ts";
import { toDisposable } from "../common/lifecycle.ts";
import { notRun, type Outcome } from "../common/verdict.ts";
import { FairQueue, type QueueItem } from "./fair_queue.ts";
import type { Admission } from "./services.ts";

const DEFAULT_MAX_QUEUED = 1_000;
const DEFAULT_SERVICE_TIME_MS = 1_000;
/** Weight of the newest observation in the mean time a place is held. */
const SERVICE_TIME_WEIGHT = 0.1;
const MIN_RETRY_DELAY_MS = 100;

/** Collaborators and defaults of an {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  /** Requests that may run at once; asked again at each admission. */
  readonly maxRunning: () => number;
  readonly clock?: Clock;
  readonly maxQueued?: number;
  /** Time a place is held, before any has been observed. */
  readonly initialServiceTimeMs?: number;
}

/** A request at the queue. */
export interface QueueRequest extends QueueItem {
  /** Aborts when the caller hangs up. */
  readonly signal?: AbortSignal;
}

interface Waiter extends QueueRequest {
  readonly settle: (outcome: Outcome<Admission>) => void;
}

/** Admits requests to places in a fair order. */
export class AdmissionQueue {
  readonly #maxRunning: () => number;
  readonly #clock: Clock;
  readonly #maxQueued: number;
  readonly #queue = new FairQueue<Waiter>();
  #running = 0;
  #meanServiceTimeMs: number;

  constructor(options: AdmissionQueueOptions) {
    this.#maxRunning = options.maxRunning;
    this.#clock = options.clock ?? systemClock;
    this.#maxQueued = options.maxQueued ?? DEFAULT_MAX_QUEUED;
    this.#meanServiceTimeMs = options.initialServiceTimeMs ??
      DEFAULT_SERVICE_TIME_MS;
  }

  get queuedCount(): number {
    return this.#queue.size;
  }

  get runningCount(): number {
    return this.#running;
  }

  /** Resolves with a place; the caller disposes it when the request ended. */
  async admit(request: QueueRequest): Promise<Outcome<Admission>> {
    if (request.signal?.aborted) return notRun("cancelled", "caller hung up");
    const isFree = this.#running < this.#maxRunning();
    if (isFree && this.#queue.size === 0) return this.#start();
    const waitMs = this.#expectedWaitMs(request);
    if (this.#clock.nowMs() + waitMs > request.deadlineMs) {
      return this.#reject(
        `a wait of ${Math.ceil(waitMs)} ms is too long`,
        waitMs,
      );
    }
    if (this.#queue.size >= this.#maxQueued && !this.#evictFor(request)) {
      const count = this.#queue.size;
      return this.#reject(`${count} requests are waiting`, waitMs);
    }
    return await this.#enqueue(request);
  }

  /** Admits as many as there are places; to be called when `places` grew. */
  admitQueued(): void {
    while (this.#running < this.#maxRunning()) {
      const waiter = this.#queue.dequeue();
      if (waiter === undefined) return;
      waiter.settle(this.#start());
    }
  }

  #enqueue(request: QueueRequest): Promise<Outcome<Admission>> {
    const { promise, resolve } = deferred<Outcome<Admission>>();
    const ended = new AbortController();
    const waiter: Waiter = {
      ...request,
      settle: (outcome) => {
        ended.abort();
        request.signal?.removeEventListener("abort", cancel);
        resolve(outcome);
      },
    };
    const cancel = () => {
      this.#queue.remove(waiter);
      waiter.settle(notRun("cancelled", "caller hung up"));
    };
    request.signal?.addEventListener("abort", cancel, { once: true });
    this.#queue.add(waiter);
    void this.#rejectAtDeadline(waiter, ended.signal);
    return promise;
  }

  async #rejectAtDeadline(waiter: Waiter, ended: AbortSignal): Promise<void> {
    const waitMs = waiter.deadlineMs - this.#clock.nowMs();
    await this.#clock.sleep(waitMs, ended);
    if (ended.aborted || !this.#queue.remove(waiter)) return;
    const retryDelayMs = this.#expectedWaitMs(waiter);
    waiter.settle(this.#reject("no place before the deadline", retryDelayMs));
  }

  #evictFor(request: QueueRequest): boolean {
    const evicted = this.#queue.evictionCandidate(request);
    if (evicted === undefined || !this.#queue.remove(evicted)) return false;
    const waitMs = this.#expectedWaitMs(evicted);
    evicted.settle(this.#reject("others waited for less", waitMs));
    return true;
  }

  #expectedWaitMs(request: QueueItem): number {
    const maxRunning = Math.max(1, this.#maxRunning());
    const ahead = this.#queue.countAhead(request);
    return (ahead + 1) * this.#meanServiceTimeMs / maxRunning;
  }

  #start(): Outcome<Admission> {
    this.#running += 1;
    const startedMs = this.#clock.nowMs();
    let isReleased = false;
    return new Ok(toDisposable(() => {
      if (isReleased) return;
      isReleased = true;
      this.#running -= 1;
      const serviceTimeMs = this.#clock.nowMs() - startedMs;
      this.#meanServiceTimeMs += SERVICE_TIME_WEIGHT *
        (serviceTimeMs - this.#meanServiceTimeMs);
      this.admitQueued();
    }));
  }

  #reject(reason: string, waitMs: number): Outcome<never> {
    const retryDelayMs = Math.max(MIN_RETRY_DELAY_MS, waitMs);
    return notRun("overloaded", `the queue is full: ${reason}`, {
      retryAtWallMs: Math.ceil(this.#clock.wallMs() + retryDelayMs),
    });
  }
}
