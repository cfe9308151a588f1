/**
 * Which requests a stopping host accepts: those that it can end before it ends
 * itself. Pure but for the clock.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { Route } from "../ports/types.ts";
import { DecayedQuantile } from "./decayed_quantile.ts";

/**
 * The load balancer sends no new connection after two failed checks, one second
 * apart, and what it sent before may still be on its way.
 */
const BALANCER_REACTION_MS = 2_600;
/** Time for requests on the connections that callers keep open. */
const KEPT_CONNECTIONS_MS = 1_000;
/** A stopping host cancels what still runs this long before it would be killed. */
const MAX_MARGIN_MS = 900;
/** The same, as a share of a short grace period. */
const MARGIN_SHARE = 0.15;
/** Time to write a response, also on a machine that is short of time. */
const RESPONSE_MS = 100;
/**
 * Share of a route's requests that end in time if they are accepted. The caller
 * of a request that may be repeated loses no more by a response that is broken
 * off than by a few refusals.
 */
const REPEATABLE_SHARE = 0.9;
const UNREPEATABLE_SHARE = 0.99;
/** Time of a plain request of a route without any yet, in latency goals. */
const UNKNOWN_GOALS = 2;
/** Time of a stream of such a route, as a share of the grace period. */
const UNKNOWN_GRACE_SHARE = 1 / 2;
/** Routes come and go with configurations. */
const MAX_ROUTES = 400;

/** What the decision needs of a request. */
export interface StoppableRequest {
  readonly route: Pick<
    Route,
    "firstByteGoalMs" | "isResumable" | "name" | "retryPolicy"
  >;
  /** Time on the host's clock at which the request times out. */
  readonly deadlineMs: number;
}

/** Times on the host's clock. */
export interface StopTimes {
  readonly graceMs: number;
  /** Until then the load balancer may send new connections. */
  readonly balancerMs: number;
  /** From then on the host may exit when it is idle. */
  readonly idleExitMs: number;
  /** What still runs is cancelled. */
  readonly cancelMs: number;
}

export class StopAdmission {
  readonly #clock: Clock;
  readonly #durations = new Map<string, DecayedQuantile>();
  #times: StopTimes | undefined;

  constructor({ clock }: { readonly clock: Clock }) {
    this.#clock = clock;
  }

  get isStopping(): boolean {
    return this.#times !== undefined;
  }

  /** Records how long a request of a route took from its start to a whole response. */
  recordRun(route: string, durationMs: number): void {
    let durations = this.#durations.get(route);
    if (durations === undefined) {
      const [oldest] = this.#durations.keys();
      if (this.#durations.size >= MAX_ROUTES) this.#durations.delete(oldest);
      durations = new DecayedQuantile({ clock: this.#clock });
      this.#durations.set(route, durations);
    }
    durations.record(durationMs);
  }

  /** Starts the stop; the host would be killed after `graceMs`. */
  begin(graceMs: number): StopTimes {
    const nowMs = this.#clock.nowMs();
    const cancelMs = nowMs +
      graceMs - Math.min(MAX_MARGIN_MS, graceMs * MARGIN_SHARE);
    const balancerMs = Math.min(nowMs + BALANCER_REACTION_MS, cancelMs);
    this.#times = {
      graceMs,
      balancerMs,
      idleExitMs: Math.min(balancerMs + KEPT_CONNECTIONS_MS, cancelMs),
      cancelMs,
    };
    return this.#times;
  }

  /**
   * Whether a request that has been read is served. When the balancer has
   * reacted, only short ones are that surely get a whole response, as a stream
   * whose target stalls does not.
   */
  accepts(request: StoppableRequest): boolean {
    if (this.#times === undefined) return true;
    const nowMs = this.#clock.nowMs();
    if (nowMs > this.latestStartMs(request)) return false;
    if (nowMs <= this.#times.balancerMs) return true;
    if (request.route.retryPolicy === "stream") return false;
    const remainingMs = request.deadlineMs - nowMs;
    return Math.min(this.#runMs(request, this.#times), remainingMs) <=
      KEPT_CONNECTIONS_MS;
  }

  /**
   * Time on the host's clock after which a request could not end in time;
   * Infinity if there is none.
   */
  latestStartMs(request: StoppableRequest): number {
    const times = this.#times;
    if (times === undefined) return Infinity;
    const endMs = times.cancelMs - RESPONSE_MS;
    if (request.deadlineMs <= endMs) return Infinity;
    return endMs - this.#runMs(request, times);
  }

  #runMs(
    { route }: StoppableRequest,
    { graceMs }: Pick<StopTimes, "graceMs">,
  ): number {
    const isRepeatable = route.retryPolicy === "idempotent" ||
      route.isResumable;
    const knownMs = this.#durations.get(route.name)
      ?.at(isRepeatable ? REPEATABLE_SHARE : UNREPEATABLE_SHARE);
    if (knownMs !== undefined) return knownMs;
    return route.retryPolicy === "stream"
      ? graceMs * UNKNOWN_GRACE_SHARE
      : route.firstByteGoalMs * UNKNOWN_GOALS;
  }
}
