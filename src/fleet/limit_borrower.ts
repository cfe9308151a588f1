/**
 * The borrowing side of limits: keeps an account of each customer with
 * traffic on this host, and renews all shares of one partition in one call.
 * While a home does not answer, the next one in rendezvous order is asked,
 * which renews what is held; past the lease only a floor is left.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { type CustomerLimits, PLENTY_LEASE_FACTOR } from "./limit_lender.ts";
import { LimitAccount, type Share } from "./limit_account.ts";
import { type LimitHomes, partitionOf } from "./limit_homes.ts";
import type { IPeerTransport, Member } from "./services.ts";
import type {
  BorrowAnswer,
  BorrowAsk,
  BorrowRequest,
  LimitLease,
} from "./types.ts";

const CALL_TIMEOUT_MS = 400;
const MAX_TRIES = 3;
/** Part of the limit that all hosts together may use without any lease. */
const FLOOR_FRACTION = 0.05;
/** Asking again soon is worth while as long as shares grow by this factor. */
const GAIN_FACTOR = 1.05;
/** A share of which less than this part is used is given back early. */
const WASTE_FRACTION = 0.7;
/** A lease is renewed early when this part of its time is over and a call goes out. */
const RIDE_ALONG_PART = 0.5;
/** Tokens that come with a lease where the limit is not scarce. */
const PLENTY_TOKENS = 2;
/** An account unused for this many lease times is dropped. */
const IDLE_LEASES = 3;

/** Collaborators of a {@link LimitBorrower}. */
export interface LimitBorrowerOptions {
  readonly transport: IPeerTransport;
  readonly clock: Clock;
  readonly homes: LimitHomes;
  readonly memberCount: () => number;
  readonly limitsOf: (customer: string) => CustomerLimits | undefined;
  readonly leaseMs: () => number;
  readonly periodMs: () => number;
  /** Least time between two asks for one customer. */
  readonly tickMs: () => number;
  /** Answers where this host is the home itself. */
  readonly lendHere: (request: BorrowRequest) => BorrowAnswer;
}

/** Accounts of this host and their leases. */
export class LimitBorrower {
  readonly #options: LimitBorrowerOptions;
  readonly #accounts = new Map<string, LimitAccount>();
  /** The same accounts by partition. */
  readonly #partitions = new Map<number, Map<string, LimitAccount>>();
  readonly #asking = new Set<number>();
  /** When each partition was asked last. */
  readonly #askedMs = new Map<number, number>();

  constructor(options: LimitBorrowerOptions) {
    this.#options = options;
  }

  /** Number of customers that cost anything now. */
  get accountCount(): number {
    return this.#accounts.size;
  }

  accountOf(customer: string): LimitAccount {
    let account = this.#accounts.get(customer);
    if (account !== undefined) return account;
    const partition = partitionOf(customer);
    account = new LimitAccount(partition, this.#options.clock.nowMs());
    this.#accounts.set(customer, account);
    const others = this.#partitions.get(partition) ?? new Map();
    this.#partitions.set(partition, others.set(customer, account));
    return account;
  }

  /** The share in force: the lease, but never less than the floor. */
  shareOf(account: LimitAccount, limits: CustomerLimits): Share {
    const part = FLOOR_FRACTION / this.#options.memberCount();
    const floor: Share = {
      requestsPerS: limits.requestsPerS * part,
      slots: Math.max(1, Math.floor(limits.slots * part)),
    };
    const { lease } = account;
    const isHeld = this.#options.clock.nowMs() < account.leaseEndsMs;
    if (lease === undefined || !isHeld) return floor;
    return {
      requestsPerS: Math.max(lease.requestsPerS, floor.requestsPerS),
      slots: Math.max(lease.slots, floor.slots),
    };
  }

  /** Asks at once where that is allowed, else at the next tick. */
  askSoon(customer: string): void {
    const account = this.accountOf(customer);
    account.isShort = true;
    if (this.#isUrgent(account)) void this.#ask(account.partition);
  }

  /** Asks for every share that is due, and drops accounts not in use. */
  tick(): void {
    const partitions = new Set<number>();
    const nowMs = this.#options.clock.nowMs();
    const idleMs = IDLE_LEASES * this.#options.leaseMs();
    for (const [customer, account] of this.#accounts) {
      const isIdle = nowMs - account.lastUsedMs > idleMs;
      if (isIdle && account.running === 0) this.#forget(customer, account);
      else if (this.#isUrgent(account) || this.#isRoundDue(customer, account)) {
        partitions.add(account.partition);
      }
    }
    for (const partition of partitions) void this.#ask(partition);
  }

  /** Renewals of a partition go together, once a period. */
  #isRoundDue(customer: string, account: LimitAccount): boolean {
    const askedMs = this.#askedMs.get(account.partition) ?? -Infinity;
    const dueMs = askedMs + this.#options.periodMs();
    return this.#options.clock.nowMs() >= dueMs &&
      this.#isDue(customer, account, { afterPart: 1 });
  }

  /** True when the share is short, or far too large. */
  #isUrgent(account: LimitAccount): boolean {
    const nowMs = this.#options.clock.nowMs();
    if (account.isShort) {
      return nowMs >= account.lastAskedMs + account.askWaitMs;
    }
    const { lease } = account;
    if (lease === undefined || !lease.isScarce) return false;
    return isWasted(account, { lease, demandPerS: account.demandPerS(nowMs) });
  }

  #forget(customer: string, account: LimitAccount): void {
    this.#accounts.delete(customer);
    this.#partitions.get(account.partition)?.delete(customer);
  }

  /** True when a lease is wanted, or this part of the time to its renewal is over. */
  #isDue(
    customer: string,
    account: LimitAccount,
    options: { readonly afterPart: number },
  ): boolean {
    const nowMs = this.#options.clock.nowMs();
    const { lease } = account;
    if (lease !== undefined) {
      const home = this.#options.homes.homeOf(account.partition);
      const isFast = lease.isScarce || home?.name !== account.leaseHome;
      const waitMs = this.#options.periodMs() *
        (isFast ? 1 : PLENTY_LEASE_FACTOR);
      const isOld = nowMs >= account.lastAskedMs + waitMs * options.afterPart;
      return isOld && (lease.isScarce || account.isUsedSinceAsked);
    }
    const limits = this.#options.limitsOf(customer);
    if (limits === undefined) return false;
    // A quiet customer, for which the floor is enough, costs no message.
    const floor = this.shareOf(account, limits);
    const demandPerS = account.demandPerS(nowMs);
    return demandPerS > floor.requestsPerS || account.running > floor.slots;
  }

  async #ask(partition: number): Promise<void> {
    if (this.#asking.has(partition)) return;
    const asks = this.#makeAsks(partition);
    if (asks.length === 0) return;
    this.#asking.add(partition);
    this.#askedMs.set(partition, this.#options.clock.nowMs());
    await this.#askHomes({ partition, asks });
    this.#asking.delete(partition);
  }

  /** Asks the home; twice, since a lost answer may have made a share smaller. */
  async #askHomes(request: BorrowRequest): Promise<void> {
    for (let count = 0; count < MAX_TRIES; count += 1) {
      const home = this.#options.homes.homeOf(request.partition);
      if (home === undefined) return;
      const answer = await this.#send(home, request);
      if (answer !== undefined) {
        this.#noteReported(request.asks);
        return this.#takeLeases(answer, home.name);
      }
      if (count > 0) this.#options.homes.avoid(home);
    }
  }

  async #send(
    home: Member,
    request: BorrowRequest,
  ): Promise<BorrowAnswer | undefined> {
    const { transport, clock, homes, lendHere } = this.#options;
    if (homes.isSelf(home)) return lendHere(request);
    const outcome = await transport.call(
      home.url,
      { method: "limits.borrow", parameters: request },
      { deadlineMs: clock.nowMs() + CALL_TIMEOUT_MS },
    );
    return outcome.isOk() ? outcome.value as BorrowAnswer : undefined;
  }

  /** Asks for all accounts of a partition that are due or hold a lease. */
  #makeAsks(partition: number): BorrowAsk[] {
    const asks: BorrowAsk[] = [];
    const accounts = this.#partitions.get(partition) ?? new Map();
    for (const [customer, account] of accounts) {
      const isDue = this.#isUrgent(account) ||
        this.#isDue(customer, account, { afterPart: RIDE_ALONG_PART });
      if (!isDue) continue;
      asks.push(this.#makeAsk(customer, account));
    }
    return asks;
  }

  #makeAsk(customer: string, account: LimitAccount): BorrowAsk {
    const nowMs = this.#options.clock.nowMs();
    const isHeld = nowMs < account.leaseEndsMs;
    const held = isHeld ? account.lease : undefined;
    const wantedPerS = account.demandPerS(nowMs);
    account.lastAskedMs = nowMs;
    account.lastWantedPerS = wantedPerS;
    account.askWaitMs = Math.max(account.askWaitMs, this.#options.tickMs());
    account.isShort = false;
    return {
      customer,
      wantedPerS: round(wantedPerS),
      usedCount: account.usedCount || undefined,
      heldPerS: round(held?.requestsPerS ?? 0),
      wantedSlots: account.takeWantedSlots(),
      usedSlots: account.running || undefined,
      heldSlots: Math.max(account.running, held?.slots ?? 0) || undefined,
    };
  }

  #noteReported(asks: readonly BorrowAsk[]): void {
    for (const { customer, usedCount = 0 } of asks) {
      const account = this.#accounts.get(customer);
      if (account !== undefined) account.usedCount -= usedCount;
    }
  }

  #takeLeases(answer: BorrowAnswer, home: string): void {
    const { clock, limitsOf } = this.#options;
    const nowMs = clock.nowMs();
    for (const lease of answer.leases) {
      const account = this.#accounts.get(lease.customer);
      const limits = limitsOf(lease.customer);
      if (account === undefined || limits === undefined) continue;
      const share = this.shareOf(account, limits);
      account.refill(share, nowMs);
      const isMore = lease.requestsPerS > share.requestsPerS * GAIN_FACTOR ||
        lease.slots > share.slots;
      account.askWaitMs = isMore
        ? this.#options.tickMs()
        : Math.min(account.askWaitMs * 2, this.#options.periodMs() / 2);
      account.lease = lease;
      account.lastIdleSlots = lease.slots - account.running;
      account.leaseEndsMs = nowMs - clock.wallMs() +
        (lease.isScarce ? answer.scarceUntilWallMs : answer.plentyUntilWallMs);
      account.leaseHome = home;
      if (!lease.isScarce) account.fillTo(PLENTY_TOKENS);
    }
  }
}

/** True when much less is used than is held, and than when it was asked for. */
function isWasted(
  account: LimitAccount,
  held: { readonly lease: LimitLease; readonly demandPerS: number },
): boolean {
  const { lease, demandPerS } = held;
  const isRateIdle = demandPerS < lease.requestsPerS * WASTE_FRACTION &&
    demandPerS < account.lastWantedPerS * WASTE_FRACTION;
  const idleSlots = lease.slots - account.running;
  return isRateIdle ||
    idleSlots > lease.slots * (1 - WASTE_FRACTION) &&
      idleSlots > account.lastIdleSlots + 1;
}

/** Three digits after the point; left out when nothing is left. */
function round(value: number): number | undefined {
  return Math.round(value * 1_000) / 1_000 || undefined;
}
