/**
 * Client of the limit owners: has an account for each customer with traffic on
 * this host and renews all shares of a partition in one call. If an owner does
 * not reply, the next host in rendezvous order is used, which renews what is
 * held. After the lease has expired, only a minimum share remains.
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
/** Fraction of the limit that all hosts together may use without a lease. */
const FLOOR_FRACTION = 0.05;
/** Requests are repeated without back-off while shares grow by this factor. */
const MIN_GROWTH_FACTOR = 1.05;
/** A share is reduced early if less than this fraction of it is used. */
const MIN_USE_FRACTION = 0.7;
/**
 * Fraction of the renewal period after which a lease joins a call for others.
 */
const EARLY_RENEWAL_FRACTION = 0.5;
/** Minimum tokens after a renewal if the limit is not scarce. */
const ABUNDANT_TOKENS = 2;
/** An account is removed after this many lease times without use. */
const IDLE_LEASE_COUNT = 3;

export interface LimitClientOptions {
  readonly transport: IPeerTransport;
  readonly clock: Clock;
  readonly owners: LimitOwners;
  readonly memberCount: () => number;
  readonly limitsOf: (customer: string) => CustomerLimits | undefined;
  readonly leaseMs: () => number;
  readonly periodMs: () => number;
  /** Minimum time between two requests for one customer. */
  readonly tickMs: () => number;
  /** Handles a request if this host is the owner itself. */
  readonly allocateLocally: (request: LeaseRequest) => Promise<LeaseResponse>;
}

/** Accounts of this host and their leases. */
export class LimitClient {
  readonly #options: LimitClientOptions;
  readonly #accounts = new Map<string, LimitAccount>();
  /** Accounts by partition. */
  readonly #partitions = new Map<number, Map<string, LimitAccount>>();
  readonly #pendingPartitions = new Set<number>();
  /** Fires with the partition when a request for it has ended. */
  readonly #responses = new Emitter<number>();
  /** Time of the last request for each partition. */
  readonly #lastRequestMs = new Map<number, number>();

  constructor(options: LimitClientOptions) {
    this.#options = options;
  }

  /** Number of customers with an account. */
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
   * Returns the share in effect: the lease, but at least a minimum, because a
   * new owner allocates nothing until every earlier lease has expired.
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

  /** True while the owner has reported demand close to the limit. */
  isScarce(customer: string): boolean {
    const { lease, leaseEndsMs } = this.accountOf(customer);
    const isHeld = this.#options.clock.nowMs() < leaseEndsMs;
    return isHeld && lease?.isScarce === true;
  }

  /** Resolves when the next lease request has ended, or after `waitMs`. */
  async nextResponse(customer: string, waitMs: number): Promise<void> {
    const { partition } = this.accountOf(customer);
    const responded = new AbortController();
    const subscription = this.#responses.event((other) => {
      if (other === partition) responded.abort();
    });
    await this.#options.clock.sleep(waitMs, responded.signal);
    subscription.dispose();
  }

  /**
   * Requests a larger share: at once if that is allowed, else at a later tick.
   */
  requestMore(customer: string): void {
    const account = this.accountOf(customer);
    account.isInsufficient = true;
    if (this.#isUrgent(account)) void this.#requestLeases(account.partition);
  }

  /** Requests all shares that are due and removes unused accounts. */
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

  /** Renewals of a partition are batched, once per period. */
  #isPeriodicRenewalDue(customer: string, account: LimitAccount): boolean {
    const requestedMs = this.#lastRequestMs.get(account.partition) ?? -Infinity;
    const dueMs = requestedMs + this.#options.periodMs();
    return this.#options.clock.nowMs() >= dueMs &&
      this.#isDue(customer, account, { elapsedFraction: 1 });
  }

  /** True if the share is insufficient or far too large. */
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

  /** True if a lease is needed, or `elapsedFraction` of its period is over. */
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
    // No message is sent for a customer whose demand fits the minimum share.
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

  /**
   * Tries the owner twice before it is avoided: if a reply that reduced a share
   * was lost, this host still uses the larger one.
   */
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
    const { transport, clock, owners, allocateLocally } = this.#options;
    if (owners.isSelf(owner)) return allocateLocally(request);
    const outcome = await transport.call(
      owner.url,
      { method: "limits.borrow", parameters: request },
      { deadlineMs: clock.nowMs() + CALL_TIMEOUT_MS },
    );
    return outcome.isOk() ? outcome.value as LeaseResponse : undefined;
  }

  /** Makes requests for all accounts of a partition that are due. */
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

/** True if use is far below the share and far below the use at the request. */
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

/** Rounds to three decimals; undefined for 0, so that JSON omits the field. */
function round(value: number): number | undefined {
  return Math.round(value * 1_000) / 1_000 || undefined;
}
