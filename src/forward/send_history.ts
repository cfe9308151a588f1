/**
 * The sends of one streaming call: to which targets or hosts they went, which of
 * these the call avoids, and whether another one is allowed.
 *
 * @module
 */

import type { Route } from "../ports/types.ts";
import type { SendResult } from "./send_result.ts";

/**
 * Retries after which a request is abandoned, refused sends included. Sends that
 * reached nobody do not count once a send may have run: a stream in progress
 * ends with its caller's patience.
 */
const MAX_RETRIES = 4;

export interface SendHistoryOptions {
  readonly route: Pick<Route, "maxAttempts" | "isResumable">;
}

export class SendHistory {
  readonly #route: SendHistoryOptions["route"];
  /** Targets that may have received the request. */
  readonly #targets = new Set<string>();
  /** Sends at other hosts, each of which may have reached one more target. */
  #hostSends = 0;
  readonly #excluded = new Set<string>();
  readonly #refused = new Set<string>();
  #current: { readonly id: string; readonly isHost: boolean } = {
    id: "",
    isHost: false,
  };
  #sends = 0;
  #retries = 0;
  #mayHaveRun = false;

  constructor({ route }: SendHistoryOptions) {
    this.#route = route;
  }

  get sends(): number {
    return this.#sends;
  }

  /** Whether a send may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Targets and hosts to avoid. */
  get excluded(): ReadonlySet<string> {
    return this.#excluded;
  }

  /** Those of them that did not take the request. */
  get refused(): ReadonlySet<string> {
    return this.#refused;
  }

  /** At the route's limit, the targets already used; undefined below it. */
  get allowedTargets(): ReadonlySet<string> | undefined {
    return this.hasAttempts ? undefined : this.#targets;
  }

  get hasAttempts(): boolean {
    return this.#targets.size + this.#hostSends < this.#route.maxAttempts;
  }

  begin(targetId: string): void {
    this.#targets.add(targetId);
    this.#current = { id: targetId, isHost: false };
    this.#sends++;
  }

  /** Begins a send to another host, which chooses the target. */
  beginAtHost(hostId: string): void {
    this.#hostSends++;
    this.#current = { id: hostId, isHost: true };
    this.#sends++;
  }

  exclude(id: string): void {
    this.#excluded.add(id);
  }

  /** Records a failed send; returns whether the request may be sent again. */
  mayRepeat(result: SendResult): boolean {
    const { id, isHost } = this.#current;
    if (result.kind === "broken") {
      this.#mayHaveRun = true;
      this.#excluded.add(id);
    }
    const isRefused = result.kind === "not-run";
    if (isRefused && !result.wasSent) {
      if (isHost) this.#hostSends--;
      else this.#targets.delete(id);
      this.#excluded.add(id);
      this.#refused.add(id);
    }
    const isSafe = isRefused
      ? result.retryAfterMs === undefined
      : this.#route.isResumable;
    // A later stage may have refused; another path can start at the same target.
    const mayReuse = isRefused && result.wasSent &&
      [...this.#targets].some((id) => !this.#excluded.has(id));
    const hasReceiver = mayReuse || this.hasAttempts;
    const isCounted = !this.#mayHaveRun || !isRefused || result.wasSent;
    if (isCounted) this.#retries++;
    return isSafe && hasReceiver && this.#retries <= MAX_RETRIES;
  }
}
