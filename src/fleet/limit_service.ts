/**
 * Limits of customers: rate and concurrency, admitted or refused at once.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import { type Disposable, toDisposable } from "../common/lifecycle.ts";
import { notRun, type Outcome } from "../common/verdict.ts";
import type { IConfigService } from "../config/services.ts";
import type {
  Admission,
  ILimitService,
  IMembership,
  IPeerTransport,
} from "./services.ts";

const BURST_MS = 1_000;
const RETRY_WAIT_MS = 250;

/** Collaborators and defaults of a {@link LimitService}. */
export interface LimitServiceOptions {
  readonly config: IConfigService;
  readonly membership: IMembership;
  readonly transport: IPeerTransport;
  readonly clock?: Clock;
}

interface Usage {
  tokens: number;
  atMs: number;
  running: number;
}

/** Admits requests against the limits in the configuration. */
export class LimitService implements ILimitService, Disposable {
  readonly #config: IConfigService;
  readonly #clock: Clock;
  readonly #usage = new Map<string, Usage>();

  constructor(options: LimitServiceOptions) {
    this.#config = options.config;
    this.#clock = options.clock ?? systemClock;
  }

  admit(customer: string): Outcome<Admission> {
    const limit = this.#config.state.config.customers[customer];
    if (limit === undefined) {
      return notRun("forbidden", `customer ${customer} is not configured`);
    }
    const nowMs = this.#clock.nowMs();
    const burst = Math.max(1, limit.requestsPerS * BURST_MS / 1_000);
    const usage = this.#usage.get(customer) ??
      { tokens: burst, atMs: nowMs, running: 0 };
    const earned = (nowMs - usage.atMs) * limit.requestsPerS / 1_000;
    usage.tokens = Math.min(burst, usage.tokens + earned);
    usage.atMs = nowMs;
    this.#usage.set(customer, usage);
    const message = `customer ${customer} is over its limit`;
    if (usage.running >= limit.concurrentRequests) {
      const retryAtWallMs = this.#clock.wallMs() + RETRY_WAIT_MS;
      return notRun("rate-limited", message, { retryAtWallMs });
    }
    if (usage.tokens < 1) {
      const waitMs = (1 - usage.tokens) * 1_000 / limit.requestsPerS;
      const retryAtWallMs = Math.ceil(this.#clock.wallMs() + waitMs);
      return notRun("rate-limited", message, { retryAtWallMs });
    }
    usage.tokens -= 1;
    usage.running += 1;
    return new Ok(releaseOnce(usage));
  }

  /** Keeps shares fresh until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) await this.#clock.sleep(1_000, signal);
  }

  dispose(): void {
    this.#usage.clear();
  }
}

function releaseOnce(usage: Usage): Admission {
  let released = false;
  return toDisposable(() => {
    if (!released) usage.running -= 1;
    released = true;
  });
}
