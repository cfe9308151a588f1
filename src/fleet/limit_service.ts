/**
 * Limits of customers over the whole fleet: rate and concurrency, admitted or
 * refused at once and without a call. Shares are lent by the home of each
 * customer, spent here, and run out at a deadline.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import {
  type Disposable,
  DisposableStore,
  toDisposable,
} from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import { notRun, type Outcome } from "../common/verdict.ts";
import type { IConfigService } from "../config/services.ts";
import type { LimitAccount, Share } from "./limit_account.ts";
import { LimitBorrower } from "./limit_borrower.ts";
import { LimitHomes } from "./limit_homes.ts";
import { type CustomerLimits, LimitLender } from "./limit_lender.ts";
import type {
  Admission,
  ILimitService,
  IMembership,
  IPeerTransport,
} from "./services.ts";
import type { BorrowRequest } from "./types.ts";

/** Bounds of the time between two renewals. */
const MIN_PERIOD_MS = 1_000;
const MAX_PERIOD_MS = 10_000;
/** Grows the period with the fleet, so that a home is not asked too often. */
const PERIOD_MS_PER_MEMBER = 50;
const LEASE_PERIODS = 4;
const SETTLE_PERIODS = 2;
const MAX_TICK_FRACTION = 1 / 2;
const TICK_FRACTION_PER_MS = 1 / 8_000;
const JITTER_FRACTION = 0.2;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 30_000;

/** Collaborators and defaults of a {@link LimitService}. */
export interface LimitServiceOptions {
  readonly config: IConfigService;
  readonly membership: IMembership & { readonly reachableFraction?: number };
  readonly transport: IPeerTransport;
  readonly clock?: Clock;
  readonly random?: Random;
}

/** Admits requests against shares of the limits in the configuration. */
export class LimitService implements ILimitService, Disposable {
  readonly #options: LimitServiceOptions;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #homes: LimitHomes;
  readonly #lender: LimitLender;
  readonly #borrower: LimitBorrower;
  readonly #owned = new DisposableStore();

  constructor(options: LimitServiceOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    const clock = this.#clock;
    const { membership, transport } = options;
    const limitsOf = (customer: string) => this.#limitsOf(customer);
    const leaseMs = () => LEASE_PERIODS * this.#periodMs();
    this.#homes = this.#owned.add(new LimitHomes({ membership, clock }));
    this.#lender = new LimitLender({
      clock,
      leaseMs,
      settleMs: () => SETTLE_PERIODS * this.#periodMs(),
      limitsOf,
      reachableFraction: () => membership.reachableFraction ?? 1,
      homeForMs: (partition) => this.#homes.homeForMs(partition),
    });
    this.#borrower = new LimitBorrower({
      transport,
      clock,
      homes: this.#homes,
      memberCount: () => Math.max(1, membership.members().length),
      limitsOf,
      leaseMs,
      periodMs: () => this.#periodMs(),
      tickMs: () => this.#tickMs(),
      lendHere: (request) => this.#lender.lend(request, membership.self.name),
    });
    this.#owned.add(
      transport.handle(
        "limits.borrow",
        (request, from) => this.#lender.lend(request as BorrowRequest, from),
      ),
    );
  }

  /** Number of customers that have an account on this host. */
  get accountCount(): number {
    return this.#borrower.accountCount;
  }

  admit(customer: string): Outcome<Admission> {
    const limits = this.#limitsOf(customer);
    if (limits === undefined) {
      return notRun("forbidden", `customer ${customer} is not configured`);
    }
    const account = this.#borrower.accountOf(customer);
    const nowMs = this.#clock.nowMs();
    account.noteArrival(nowMs);
    const share = this.#borrower.shareOf(account, limits);
    const result = account.take(share, nowMs);
    if (result !== "taken") this.#borrower.askSoon(customer);
    if (result === "taken") return new Ok(releaseOnce(account));
    return this.#refuse(customer, { result, account, share });
  }

  /** Renews shares until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#homes.refresh();
      this.#lender.expire();
      this.#borrower.tick();
      const jitter = 1 + JITTER_FRACTION * (2 * this.#random() - 1);
      await this.#clock.sleep(this.#tickMs() * jitter, signal);
    }
  }

  dispose(): void {
    this.#owned.dispose();
  }

  #limitsOf(customer: string): CustomerLimits | undefined {
    const { customers } = this.#options.config.state.config;
    const limits = Object.hasOwn(customers, customer)
      ? customers[customer]
      : undefined;
    if (limits === undefined) return undefined;
    const { requestsPerS, concurrentRequests } = limits;
    return { requestsPerS, slots: concurrentRequests };
  }

  #periodMs(): number {
    const wantedMs = PERIOD_MS_PER_MEMBER *
      this.#options.membership.members().length;
    return Math.min(MAX_PERIOD_MS, Math.max(MIN_PERIOD_MS, wantedMs));
  }

  /** An eighth of the shortest period, and half of a long one. */
  #tickMs(): number {
    const periodMs = this.#periodMs();
    const factor = Math.min(MAX_TICK_FRACTION, periodMs * TICK_FRACTION_PER_MS);
    return periodMs * factor;
  }

  #refuse(
    customer: string,
    refusal: {
      readonly result: "rate" | "slots";
      readonly account: LimitAccount;
      readonly share: Share;
    },
  ): Outcome<never> {
    const { result, account, share } = refusal;
    const what = result === "rate"
      ? `${share.requestsPerS.toFixed(2)} requests a second`
      : `${share.slots} requests at once`;
    const waitMs = result === "rate" ? account.nextTokenMs(share) : 0;
    const retryMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
    return notRun(
      "rate-limited",
      `customer ${customer} has used its share of ${what} on this host`,
      { retryAtWallMs: Math.ceil(this.#clock.wallMs() + retryMs) },
    );
  }
}

function releaseOnce(account: LimitAccount): Admission {
  let isReleased = false;
  return toDisposable(() => {
    if (!isReleased) account.running -= 1;
    isReleased = true;
  });
}
