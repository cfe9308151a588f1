/**
 * The borrowing side of limits: keeps an account of each customer with
 * traffic on this host, and renews all shares of one partition in one call.
 * While a home does not answer, the next one in rendezvous order is asked,
 * which renews what is held; past the lease only a floor is left.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter } from "../common/emitter.ts";
import {
  ABUNDANT_LEASE_FACTOR,
  type CustomerLimits,
} from "./limit_allocator.ts";
import { LimitAccount, type Share } from "./limit_account.ts";
import { type LimitOwners, partitionOf } from "./limit_owners.ts";
import type { IPeerTransport, Member } from "./services.ts";
import type {
  LeaseRequest,
  LeaseResponse,
  LimitLease,
  ShareRequest,
} from "./types.ts";

const CALL_TIMEOUT_MS = 400;
const MAX_ATTEMPTS = 3;
/** Part of the limit that all hosts together may use without any lease. */
const FLOOR_FRACTION = 0.05;
/** Asking again soon is worth while as long as shares grow by this factor. */
const MIN_GROWTH_FACTOR = 1.05;
/** A share of which less than this part is used is given back early. */
const MIN_USE_FRACTION = 0.7;
/** A lease is renewed early when this part of its time is over and a call goes out. */
const EARLY_RENEWAL_FRACTION = 0.5;
/** Tokens that come with a lease where the limit is not scarce. */
const ABUNDANT_TOKENS = 2;
/** An account unused for this many lease times is dropped. */
const IDLE_LEASE_COUNT = 3;

/** Collaborators of a {@link LimitClient}. */
export interface LimitClientOptions {
  readonly transport: IPeerTransport;
  readonly clock: Clock;
  readonly owners: LimitOwners;
  readonly memberCount: () => number;
  readonly limitsOf: (customer: string) => CustomerLimits | undefined;
  readonly leaseMs: () => number;
  readonly periodMs: () => number;
  /** Least time between two asks for one customer. */
  readonly tickMs: () => number;
  /** Answers where this host is the home itself. */
  readonly allocateLocally: (request: LeaseRequest) => Promise<LeaseResponse>;
}

/** Accounts of this host and their leases. */
export class LimitClient {
  readonly #options: LimitClientOptions;
  readonly #accounts = new Map<string, LimitAccount>();
  /** The same accounts by partition. */
  readonly #partitions = new Map<number, Map<string, LimitAccount>>();
  readonly #pendingPartitions = new Set<number>();
  /** Fires the partition whose home has answered. */
  readonly #responses = new Emitter<number>();
  /** When each partition was asked last. */
  readonly #lastRequestMs = new Map<number, number>();

  constructor(options: LimitClientOptions) {
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

  /**
   * The share in force: the lease, but never less than the floor, since a home
   * that is new lends nothing until every earlier lease has run out.
   */
  shareOf(account: LimitAccount, limits: CustomerLimits): Share {
    const fraction = FLOOR_FRACTION / this.#options.memberCount();
    const floor = {
      requestsPerS: limits.requestsPerS * fraction,
      slots: Math.max(1, Math.floor(limits.slots * fraction)),
    };
    const { lease } = account;
    const isHeld = this.#options.clock.nowMs() < account.leaseEndsMs;
    if (lease === undefined || !isHeld) return floor;
    return {
      requestsPerS: Math.max(lease.requestsPerS, floor.requestsPerS),
      slots: Math.max(lease.slots, floor.slots),
    };
  }

  /** True while the home has said that nearly the whole limit is in use. */
  isScarce(customer: string): boolean {
    const { lease, leaseEndsMs } = this.accountOf(customer);
    const isHeld = this.#options.clock.nowMs() < leaseEndsMs;
    return isHeld && lease?.isScarce === true;
  }

  /** Resolves at the next answer of a customer's home, or after `waitMs`. */
  async nextResponse(customer: string, waitMs: number): Promise<void> {
    const { partition } = this.accountOf(customer);
    const responded = new AbortController();
    const subscription = this.#responses.event((other) => {
      if (other === partition) responded.abort();
    });
    await this.#options.clock.sleep(waitMs, responded.signal);
    subscription.dispose();
  }

  /** Asks at once where that is allowed, else at the next tick. */
  requestMore(customer: string): void {
    const account = this.accountOf(customer);
    account.isInsufficient = true;
    if (this.#isUrgent(account)) void this.#requestLeases(account.partition);
  }

  /** Asks for every share that is due, and drops accounts not in use. */
  tick(): void {
    const partitions = new Set<number>();
    const nowMs = this.#options.clock.nowMs();
    const idleMs = IDLE_LEASE_COUNT * this.#options.leaseMs();
    for (const [customer, account] of this.#accounts) {
      const isIdle = nowMs - account.lastUsedMs > idleMs;
      if (isIdle && account.running === 0) {
        this.#removeAccount(customer, account);
      } else if (
        this.#isUrgent(account) || this.#isPeriodicRenewalDue(customer, account)
      ) {
        partitions.add(account.partition);
      }
    }
    for (const partition of partitions) void this.#requestLeases(partition);
  }

  /** Renewals of a partition go together, once a period. */
  #isPeriodicRenewalDue(customer: string, account: LimitAccount): boolean {
    const requestedMs = this.#lastRequestMs.get(account.partition) ?? -Infinity;
    const dueMs = requestedMs + this.#options.periodMs();
    return this.#options.clock.nowMs() >= dueMs &&
      this.#isDue(customer, account, { elapsedFraction: 1 });
  }

  /** True when the share is short, or far too large. */
  #isUrgent(account: LimitAccount): boolean {
    const nowMs = this.#options.clock.nowMs();
    if (account.isInsufficient) {
      return nowMs >= account.lastRequestedMs + account.requestDelayMs;
    }
    const { lease } = account;
    if (lease === undefined || !lease.isScarce) return false;
    return isUnderused(account, {
      lease,
      demandPerS: account.demandPerS(nowMs),
    });
  }

  #removeAccount(customer: string, account: LimitAccount): void {
    this.#accounts.delete(customer);
    this.#partitions.get(account.partition)?.delete(customer);
  }

  /** True when a lease is wanted, or this part of the time to its renewal is over. */
  #isDue(
    customer: string,
    account: LimitAccount,
    options: { readonly elapsedFraction: number },
  ): boolean {
    const nowMs = this.#options.clock.nowMs();
    const { lease } = account;
    if (lease !== undefined) {
      const owner = this.#options.owners.ownerOf(account.partition);
      const isFast = lease.isScarce || owner?.name !== account.leaseOwner;
      const waitMs = this.#options.periodMs() *
        (isFast ? 1 : ABUNDANT_LEASE_FACTOR);
      const isOld =
        nowMs >= account.lastRequestedMs + waitMs * options.elapsedFraction;
      return isOld && (lease.isScarce || account.isUsedSinceRequest);
    }
    const limits = this.#options.limitsOf(customer);
    if (limits === undefined) return false;
    // A quiet customer, for which the floor is enough, costs no message.
    const floor = this.shareOf(account, limits);
    const demandPerS = account.demandPerS(nowMs);
    return demandPerS > floor.requestsPerS || account.running > floor.slots;
  }

  async #requestLeases(partition: number): Promise<void> {
    if (this.#pendingPartitions.has(partition)) return;
    const requests = this.#makeRequests(partition);
    if (requests.length === 0) return;
    this.#pendingPartitions.add(partition);
    this.#lastRequestMs.set(partition, this.#options.clock.nowMs());
    await this.#requestFromOwner({ partition, asks: requests });
    this.#pendingPartitions.delete(partition);
    this.#responses.fire(partition);
  }

  /** Asks the home; twice, since a lost answer may have made a share smaller. */
  async #requestFromOwner(request: LeaseRequest): Promise<void> {
    for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
      const owner = this.#options.owners.ownerOf(request.partition);
      if (owner === undefined) return;
      const response = await this.#send(owner, request);
      if (response !== undefined) {
        this.#subtractReported(request.asks);
        return this.#applyLeases(response, owner.name);
      }
      if (count > 0) this.#options.owners.avoid(owner);
    }
  }

  async #send(
    owner: Member,
    request: LeaseRequest,
  ): Promise<LeaseResponse | undefined> {
    const { transport, clock, owners: owners, allocateLocally: lendHere } =
      this.#options;
    if (owners.isSelf(owner)) return lendHere(request);
    const outcome = await transport.call(
      owner.url,
      { method: "limits.borrow", parameters: request },
      { deadlineMs: clock.nowMs() + CALL_TIMEOUT_MS },
    );
    return outcome.isOk() ? outcome.value as LeaseResponse : undefined;
  }

  /** Asks for all accounts of a partition that are due or hold a lease. */
  #makeRequests(partition: number): ShareRequest[] {
    const requests: ShareRequest[] = [];
    const accounts = this.#partitions.get(partition) ?? new Map();
    for (const [customer, account] of accounts) {
      const isDue = this.#isUrgent(account) ||
        this.#isDue(customer, account, {
          elapsedFraction: EARLY_RENEWAL_FRACTION,
        });
      if (!isDue) continue;
      requests.push(this.#makeRequest(customer, account));
    }
    return requests;
  }

  #makeRequest(customer: string, account: LimitAccount): ShareRequest {
    const nowMs = this.#options.clock.nowMs();
    const isHeld = nowMs < account.leaseEndsMs;
    const held = isHeld ? account.lease : undefined;
    const wantedPerS = account.demandPerS(nowMs);
    account.lastRequestedMs = nowMs;
    account.lastWantedPerS = wantedPerS;
    account.requestDelayMs = Math.max(
      account.requestDelayMs,
      this.#options.tickMs(),
    );
    account.isInsufficient = false;
    return {
      customer,
      wantedPerS: round(wantedPerS),
      usedCount: account.usedCount || undefined,
      heldPerS: round(held?.requestsPerS ?? 0),
      wantedSlots: account.consumeWantedSlots(),
      usedSlots: account.running || undefined,
      heldSlots: Math.max(account.running, held?.slots ?? 0) || undefined,
    };
  }

  #subtractReported(requests: readonly ShareRequest[]): void {
    for (const { customer, usedCount = 0 } of requests) {
      const account = this.#accounts.get(customer);
      if (account !== undefined) account.usedCount -= usedCount;
    }
  }

  #applyLeases(response: LeaseResponse, owner: string): void {
    const { clock, limitsOf } = this.#options;
    const nowMs = clock.nowMs();
    for (const lease of response.leases) {
      const account = this.#accounts.get(lease.customer);
      const limits = limitsOf(lease.customer);
      if (account === undefined || limits === undefined) continue;
      const share = this.shareOf(account, limits);
      account.refill(share, nowMs);
      const isLarger =
        lease.requestsPerS > share.requestsPerS * MIN_GROWTH_FACTOR ||
        lease.slots > share.slots;
      account.requestDelayMs = isLarger
        ? this.#options.tickMs()
        : Math.min(account.requestDelayMs * 2, this.#options.periodMs() / 2);
      account.lease = lease;
      account.lastIdleSlots = lease.slots - account.running;
      account.leaseEndsMs = nowMs - clock.wallMs() +
        (lease.isScarce
          ? response.scarceUntilWallMs
          : response.plentyUntilWallMs);
      account.leaseOwner = owner;
      if (!lease.isScarce) account.raiseTokensTo(ABUNDANT_TOKENS);
    }
  }
}

/** True when much less is used than is held, and than when it was asked for. */
function isUnderused(
  account: LimitAccount,
  held: { readonly lease: LimitLease; readonly demandPerS: number },
): boolean {
  const { lease, demandPerS } = held;
  const isRateIdle = demandPerS < lease.requestsPerS * MIN_USE_FRACTION &&
    demandPerS < account.lastWantedPerS * MIN_USE_FRACTION;
  const idleSlots = lease.slots - account.running;
  return isRateIdle ||
    idleSlots > lease.slots * (1 - MIN_USE_FRACTION) &&
      idleSlots > account.lastIdleSlots + 1;
}

/** Three digits after the point; left out when nothing is left. */
function round(value: number): number | undefined {
  return Math.round(value * 1_000) / 1_000 || undefined;
}
