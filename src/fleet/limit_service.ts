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
import { LimitHandover } from "./limit_handover.ts";
import { LimitHomes } from "./limit_homes.ts";
import { type CustomerLimits, LimitLender } from "./limit_lender.ts";
import type {
  Admission,
  ILimitService,
  IMembership,
  IPeerTransport,
} from "./services.ts";
import type { BorrowAnswer, BorrowRequest } from "./types.ts";

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
/** How long a request waits while the home is asked for a larger share. */
const ASK_WITHIN_MS = 250;
const ASK_AGAIN_MS = 25;
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
  readonly #handover: LimitHandover;
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
    this.#handover = this.#owned.add(
      new LimitHandover({
        transport,
        clock,
        homes: this.#homes,
        lender: this.#lender,
        settleMs: () => SETTLE_PERIODS * this.#periodMs(),
      }),
    );
    this.#borrower = new LimitBorrower({
      transport,
      clock,
      homes: this.#homes,
      memberCount: () => Math.max(1, membership.members().length),
      limitsOf,
      leaseMs,
      periodMs: () => this.#periodMs(),
      tickMs: () => this.#tickMs(),
      lendHere: (request) => this.#lend(request, membership.self.name),
    });
    this.#owned.add(
      transport.handle(
        "limits.borrow",
        (request, from) => this.#lend(request as BorrowRequest, from),
      ),
    );
  }

  /** Number of customers that have an account on this host. */
  get accountCount(): number {
    return this.#borrower.accountCount;
  }

  admit(customer: string): Outcome<Admission> {
    return this.#admit(customer, { isArrival: true });
  }

  async admitSoon(
    customer: string,
    options: { readonly deadlineMs: number },
  ): Promise<Outcome<Admission>> {
    const askUntilMs = Math.min(
      options.deadlineMs,
      this.#clock.nowMs() + ASK_WITHIN_MS,
    );
    let outcome = this.#admit(customer, { isArrival: true });
    while (outcome.isErr() && outcome.error.code === "rate-limited") {
      const mayGrow = !this.#borrower.isScarce(customer);
      if (!mayGrow || this.#clock.nowMs() >= askUntilMs) break;
      await this.#borrower.nextAnswer(customer, ASK_AGAIN_MS);
      outcome = this.#admit(customer, { isArrival: false });
    }
    return outcome;
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

  async #lend(request: BorrowRequest, borrower: string): Promise<BorrowAnswer> {
    await this.#handover.ensure(request.partition);
    return this.#lender.lend(request, borrower);
  }

  dispose(): void {
    this.#owned.dispose();
  }

  #admit(
    customer: string,
    { isArrival }: { readonly isArrival: boolean },
  ): Outcome<Admission> {
    const limits = this.#limitsOf(customer);
    if (limits === undefined) {
      return notRun("forbidden", `customer ${customer} is not configured`);
    }
    const nowMs = this.#clock.nowMs();
    const account = this.#borrower.accountOf(customer);
    if (isArrival) account.noteArrival(nowMs);
    const share = this.#borrower.shareOf(account, limits);
    const result = account.take(share, nowMs);
    if (result === "taken") return new Ok(releaseOnce(account));
    this.#borrower.askSoon(customer);
    return this.#refuse(customer, { result, account, share });
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
