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
import { LimitClient } from "./limit_client.ts";
import { LimitHandover } from "./limit_handover.ts";
import { LimitOwners } from "./limit_owners.ts";
import { type CustomerLimits, LimitAllocator } from "./limit_allocator.ts";
import type {
  Admission,
  ILimitService,
  IMembership,
  IPeerTransport,
} from "./services.ts";
import type { LeaseRequest, LeaseResponse } from "./types.ts";

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
const MAX_SHARE_WAIT_MS = 250;
const RECHECK_INTERVAL_MS = 25;
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 30_000;

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
  readonly #owners: LimitOwners;
  readonly #allocator: LimitAllocator;
  readonly #handover: LimitHandover;
  readonly #client: LimitClient;
  readonly #owned = new DisposableStore();

  constructor(options: LimitServiceOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    const clock = this.#clock;
    const { membership, transport } = options;
    const limitsOf = (customer: string) => this.#limitsOf(customer);
    const leaseMs = () => LEASE_PERIODS * this.#periodMs();
    this.#owners = this.#owned.add(new LimitOwners({ membership, clock }));
    this.#allocator = new LimitAllocator({
      clock,
      leaseMs,
      settleMs: () => SETTLE_PERIODS * this.#periodMs(),
      limitsOf,
      reachableFraction: () => membership.reachableFraction ?? 1,
      ownedForMs: (partition) => this.#owners.ownedForMs(partition),
    });
    this.#handover = this.#owned.add(
      new LimitHandover({
        transport,
        clock,
        owners: this.#owners,
        allocator: this.#allocator,
        settleMs: () => SETTLE_PERIODS * this.#periodMs(),
      }),
    );
    this.#client = new LimitClient({
      transport,
      clock,
      owners: this.#owners,
      memberCount: () => Math.max(1, membership.members().length),
      limitsOf,
      leaseMs,
      periodMs: () => this.#periodMs(),
      tickMs: () => this.#tickMs(),
      allocateLocally: (request) =>
        this.#allocate(request, membership.self.name),
    });
    this.#owned.add(
      transport.handle(
        "limits.borrow",
        (request, from) => this.#allocate(request as LeaseRequest, from),
      ),
    );
  }

  /** Number of customers that have an account on this host. */
  get accountCount(): number {
    return this.#client.accountCount;
  }

  admit(customer: string): Outcome<Admission> {
    return this.#admit(customer, { isArrival: true });
  }

  async admitOrWait(
    customer: string,
    options: { readonly deadlineMs: number },
  ): Promise<Outcome<Admission>> {
    const waitUntilMs = Math.min(
      options.deadlineMs,
      this.#clock.nowMs() + MAX_SHARE_WAIT_MS,
    );
    let outcome = this.#admit(customer, { isArrival: true });
    while (outcome.isErr() && outcome.error.code === "rate-limited") {
      const isGrowthPossible = !this.#client.isScarce(customer);
      if (!isGrowthPossible || this.#clock.nowMs() >= waitUntilMs) break;
      await this.#client.nextResponse(customer, RECHECK_INTERVAL_MS);
      outcome = this.#admit(customer, { isArrival: false });
    }
    return outcome;
  }

  /** Renews shares until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#owners.refresh();
      this.#allocator.expire();
      this.#client.tick();
      const jitter = 1 + JITTER_FRACTION * (2 * this.#random() - 1);
      await this.#clock.sleep(this.#tickMs() * jitter, signal);
    }
  }

  async #allocate(
    request: LeaseRequest,
    client: string,
  ): Promise<LeaseResponse> {
    await this.#handover.ensureTakenOver(request.partition);
    return this.#allocator.allocate(request, client);
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
    const account = this.#client.accountOf(customer);
    if (isArrival) account.recordArrival(nowMs);
    const share = this.#client.shareOf(account, limits);
    const result = account.tryAcquire(share, nowMs);
    if (result === "taken") return new Ok(releaseOnce(account));
    this.#client.requestMore(customer);
    return this.#reject(customer, { result, account, share });
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

  #reject(
    customer: string,
    rejection: {
      readonly result: "rate" | "slots";
      readonly account: LimitAccount;
      readonly share: Share;
    },
  ): Outcome<never> {
    const { result, account, share } = rejection;
    const usedShare = result === "rate"
      ? `${share.requestsPerS.toFixed(2)} requests a second`
      : `${share.slots} requests at once`;
    const waitMs = result === "rate" ? account.msUntilNextToken(share) : 0;
    const retryDelayMs = Math.min(
      MAX_RETRY_DELAY_MS,
      Math.max(MIN_RETRY_DELAY_MS, waitMs),
    );
    return notRun(
      "rate-limited",
      `customer ${customer} has used its share of ${usedShare} on this host`,
      { retryAtWallMs: Math.ceil(this.#clock.wallMs() + retryDelayMs) },
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
