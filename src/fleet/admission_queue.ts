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
import { FairBacklog, type Waiting } from "./fair_backlog.ts";
import type { Admission } from "./services.ts";

const DEFAULT_MAX_WAITING = 1_000;
const DEFAULT_HOLD_MS = 1_000;
/** Weight of the newest observation in the mean time a place is held. */
const HOLD_WEIGHT = 0.1;
const MIN_RETRY_MS = 100;

/** Collaborators and defaults of an {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  /** Requests that may run at once; asked again at each admission. */
  readonly places: () => number;
  readonly clock?: Clock;
  readonly maxWaiting?: number;
  /** Time a place is held, before any has been observed. */
  readonly firstHoldMs?: number;
}

/** A request at the queue. */
export interface QueueRequest extends Waiting {
  /** Aborts when the caller hangs up. */
  readonly signal?: AbortSignal;
}

interface Waiter extends QueueRequest {
  readonly settle: (outcome: Outcome<Admission>) => void;
}

/** Admits requests to places in a fair order. */
export class AdmissionQueue {
  readonly #places: () => number;
  readonly #clock: Clock;
  readonly #maxWaiting: number;
  readonly #backlog = new FairBacklog<Waiter>();
  #running = 0;
  #meanHoldMs: number;

  constructor(options: AdmissionQueueOptions) {
    this.#places = options.places;
    this.#clock = options.clock ?? systemClock;
    this.#maxWaiting = options.maxWaiting ?? DEFAULT_MAX_WAITING;
    this.#meanHoldMs = options.firstHoldMs ?? DEFAULT_HOLD_MS;
  }

  get waitingCount(): number {
    return this.#backlog.size;
  }

  get runningCount(): number {
    return this.#running;
  }

  /** Resolves with a place; the caller disposes it when the request ended. */
  async enter(request: QueueRequest): Promise<Outcome<Admission>> {
    if (request.signal?.aborted) return notRun("cancelled", "caller hung up");
    const isFree = this.#running < this.#places();
    if (isFree && this.#backlog.size === 0) return this.#admit();
    const waitMs = this.#expectedWaitMs(request);
    if (this.#clock.nowMs() + waitMs > request.deadlineMs) {
      return this.#refuse(
        `a wait of ${Math.ceil(waitMs)} ms is too long`,
        waitMs,
      );
    }
    if (this.#backlog.size >= this.#maxWaiting && !this.#makeRoom(request)) {
      const count = this.#backlog.size;
      return this.#refuse(`${count} requests are waiting`, waitMs);
    }
    return await this.#wait(request);
  }

  /** Admits as many as there are places; to be called when `places` grew. */
  admitWaiting(): void {
    while (this.#running < this.#places()) {
      const waiter = this.#backlog.take();
      if (waiter === undefined) return;
      waiter.settle(this.#admit());
    }
  }

  #wait(request: QueueRequest): Promise<Outcome<Admission>> {
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
      this.#backlog.remove(waiter);
      waiter.settle(notRun("cancelled", "caller hung up"));
    };
    request.signal?.addEventListener("abort", cancel, { once: true });
    this.#backlog.add(waiter);
    void this.#giveUpAtDeadline(waiter, ended.signal);
    return promise;
  }

  async #giveUpAtDeadline(waiter: Waiter, ended: AbortSignal): Promise<void> {
    const waitMs = waiter.deadlineMs - this.#clock.nowMs();
    await this.#clock.sleep(waitMs, ended);
    if (ended.aborted || !this.#backlog.remove(waiter)) return;
    const backMs = this.#expectedWaitMs(waiter);
    waiter.settle(this.#refuse("no place before the deadline", backMs));
  }

  #makeRoom(request: QueueRequest): boolean {
    const victim = this.#backlog.victimFor(request);
    if (victim === undefined || !this.#backlog.remove(victim)) return false;
    const waitMs = this.#expectedWaitMs(victim);
    victim.settle(this.#refuse("others waited for less", waitMs));
    return true;
  }

  #expectedWaitMs(request: Waiting): number {
    const places = Math.max(1, this.#places());
    const ahead = this.#backlog.countAhead(request);
    return (ahead + 1) * this.#meanHoldMs / places;
  }

  #admit(): Outcome<Admission> {
    this.#running += 1;
    const startedMs = this.#clock.nowMs();
    let isReleased = false;
    return new Ok(toDisposable(() => {
      if (isReleased) return;
      isReleased = true;
      this.#running -= 1;
      const heldMs = this.#clock.nowMs() - startedMs;
      this.#meanHoldMs += HOLD_WEIGHT * (heldMs - this.#meanHoldMs);
      this.admitWaiting();
    }));
  }

  #refuse(reason: string, waitMs: number): Outcome<never> {
    const backMs = Math.max(MIN_RETRY_MS, waitMs);
    return notRun("overloaded", `the queue is full: ${reason}`, {
      retryAtWallMs: Math.ceil(this.#clock.wallMs() + backMs),
    });
  }
}
