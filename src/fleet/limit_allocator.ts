/**
 * Limit owner: allocates shares of a customer's rate and slots to the
 * requesting hosts, bounded by the limit in total. Shares follow demand
 * (max-min fair between hosts); part of the spare capacity is divided evenly.
 *
 * A host that has just become the owner does not know the allocations of its
 * predecessor. Until each client has sent a request, it only renews what the
 * clients report to hold, and so does a host that is not the owner in its own
 * view. If the predecessor still replies, it hands over its allocations
 * instead.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { grant, grantSlots, sum } from "./limit_grants.ts";
import type {
  AllocationRecord,
  LeaseRequest,
  LeaseResponse,
  LimitLease,
  ShareRequest,
} from "./types.ts";

/**
 * An expired lease stays reserved for this many further lease times, because
 * its client may have renewed it at another host.
 */
const RESERVE_LEASE_COUNT = 1;

/** A limit is scarce if demand exceeds this fraction of it. */
const SCARCE_FRACTION = 0.8;
/** Factor on the duration of leases while the limit is not scarce. */
export const ABUNDANT_LEASE_FACTOR = 3;
/** Maximum credit, as time at the limit's rate, and the time to spend it in. */
const MAX_CREDIT_MS = 800;
const SPEND_CREDIT_MS = 1_500;

/** Fleet-wide limits of one customer. */
export interface CustomerLimits {
  readonly requestsPerS: number;
  readonly slots: number;
}

export interface LimitAllocatorOptions {
  readonly clock: Clock;
  readonly leaseMs: () => number;
  /** Time within which each client has sent a request to a new owner. */
  readonly settleMs: () => number;
  /** Limits of a customer; undefined if it is not configured. */
  readonly limitsOf: (customer: string) => CustomerLimits | undefined;
  /** Fraction of the fleet that this host can reach; 1 if it reaches all. */
  readonly reachableFraction: () => number;
  /** How long this host has owned a partition; 0 if it does not own it. */
  readonly ownedForMs: (partition: number) => number;
}

interface Allocation {
  wantedPerS: number;
  requestsPerS: number;
  wantedSlots: number;
  slots: number;
  isScarce: boolean;
  expiresMs: number;
}

interface PartitionState {
  readonly partition: number;
  usedMs: number;
  /** Set if the allocations of the predecessor were taken over. */
  isTakenOver: boolean;
  /** When the allocations were handed over to a successor. */
  handedOverMs: number;
  readonly customers: Map<string, CustomerState>;
}

interface CustomerState {
  readonly allocations: Map<string, Allocation>;
  /** Requests allowed but not used; negative if more were used than allowed. */
  credit: number;
  creditAtMs: number;
  /** A limit remains scarce for some time after demand was close to it. */
  scarceUntilMs: number;
}

/** A share request with the state that determines its allocation. */
interface AllocationContext {
  readonly request: ShareRequest;
  readonly customer: CustomerState;
  readonly limits: CustomerLimits;
  readonly others: readonly Allocation[];
}

/** Allocates shares of the limits of the customers that this host owns. */
export class LimitAllocator {
  readonly #options: LimitAllocatorOptions;
  readonly #partitions = new Map<number, PartitionState>();

  constructor(options: LimitAllocatorOptions) {
    this.#options = options;
  }

  /** Allocates or renews the shares that one host requests in a partition. */
  allocate(request: LeaseRequest, client: string): LeaseResponse {
    const { clock, leaseMs } = this.#options;
    const state = this.#stateOf(request.partition);
    const leases = request.asks.flatMap((shareRequest): LimitLease[] => {
      const allocation = this.#renew(state, shareRequest, client);
      if (allocation === undefined) return [];
      const { slots, isScarce } = allocation;
      const requestsPerS = Math.round(allocation.requestsPerS * 1_000) / 1_000;
      const lease = { customer: shareRequest.customer, requestsPerS, slots };
      return [isScarce ? { ...lease, isScarce } : lease];
    });
    const wallMs = Math.floor(clock.wallMs());
    return {
      leases,
      scarceUntilWallMs: wallMs + leaseMs(),
      plentyUntilWallMs: wallMs + leaseMs() * ABUNDANT_LEASE_FACTOR,
    };
  }

  /** True if this host owns the partition and knows all of its allocations. */
  isSettled(partition: number): boolean {
    return this.#isSettled(this.#stateOf(partition));
  }

  /**
   * Returns the allocations of a partition for its next owner. For the settle
   * time afterwards this host makes no new ones.
   */
  handOver(partition: number): AllocationRecord[] {
    const state = this.#stateOf(partition);
    const { clock } = this.#options;
    state.handedOverMs = clock.nowMs();
    state.isTakenOver = false;
    return [...state.customers].flatMap(([customer, { allocations }]) => {
      this.#dropExpired(allocations);
      return [...allocations].map(([client, { expiresMs, ...allocation }]) => ({
        ...allocation,
        customer,
        borrower: client,
        expiresAtWallMs: clock.wallMs() + expiresMs - clock.nowMs(),
      }));
    });
  }

  /** Takes over the allocations of the previous owner. */
  takeOver(partition: number, records: readonly AllocationRecord[]): void {
    const state = this.#stateOf(partition);
    const { clock } = this.#options;
    for (
      const { customer, borrower: client, expiresAtWallMs, ...allocation }
        of records
    ) {
      const { allocations } = this.#customerOf(state, customer);
      if (allocations.has(client)) continue;
      const expiresMs = clock.nowMs() + expiresAtWallMs - clock.wallMs();
      allocations.set(client, { ...allocation, expiresMs });
    }
    state.isTakenOver = true;
  }

  /** Removes partitions that have had no request since all leases expired. */
  expire(): void {
    const { clock, leaseMs } = this.#options;
    const staleMs = clock.nowMs() -
      (ABUNDANT_LEASE_FACTOR + RESERVE_LEASE_COUNT + 1) * leaseMs();
    for (const [partition, state] of this.#partitions) {
      if (state.usedMs < staleMs) this.#partitions.delete(partition);
    }
  }

  #isSettled(state: PartitionState): boolean {
    const { clock, settleMs, ownedForMs } = this.#options;
    const ownedMs = ownedForMs(state.partition);
    if (ownedMs === 0) state.isTakenOver = false;
    const isHandedOver = clock.nowMs() - state.handedOverMs < settleMs();
    return !isHandedOver && (state.isTakenOver || ownedMs >= settleMs());
  }

  #stateOf(partition: number): PartitionState {
    const nowMs = this.#options.clock.nowMs();
    let state = this.#partitions.get(partition);
    if (state === undefined) {
      state = {
        partition,
        usedMs: nowMs,
        isTakenOver: false,
        handedOverMs: -Infinity,
        customers: new Map(),
      };
      this.#partitions.set(partition, state);
    }
    state.usedMs = nowMs;
    return state;
  }

  #renew(
    state: PartitionState,
    request: ShareRequest,
    client: string,
  ): Allocation | undefined {
    const limits = this.#effectiveLimits(request.customer);
    if (limits === undefined) return undefined;
    const customer = this.#customerOf(state, request.customer);
    const { allocations } = customer;
    this.#dropExpired(allocations);
    allocations.delete(client);
    const others = [...allocations.values()];
    const allocation = this.#computeAllocation(state, {
      request,
      customer,
      limits,
      others,
    });
    const isIdle = allocation.wantedPerS === 0 && allocation.slots === 0;
    if (!isIdle) {
      // Slots in use cannot be allocated again before their requests end.
      const slots = Math.max(allocation.slots, request.usedSlots ?? 0);
      allocations.set(client, { ...allocation, slots });
    }
    return allocation;
  }

  /** Computes the share of one host given the allocations of the others. */
  #computeAllocation(
    state: PartitionState,
    context: AllocationContext,
  ): Allocation {
    const { request, customer, limits, others } = context;
    const { wantedPerS = 0, wantedSlots = 0 } = request;
    const limitPerS = limits.requestsPerS;
    const usedCount = request.usedCount ?? 0;
    const rate = grant(wantedPerS, {
      limit: this.#allocatableRate(customer, { limitPerS, usedCount }),
      others: others.map((allocation) => ({
        wanted: allocation.wantedPerS,
        held: allocation.requestsPerS,
      })),
    });
    const slots = grantSlots(wantedSlots, {
      limit: limits.slots,
      others: others.map((allocation) => ({
        wanted: allocation.wantedSlots,
        held: allocation.slots,
      })),
    });
    const isScarce = this.#updateScarcity(context);
    const isSettled = this.#isSettled(state);
    const leaseMs = this.#options.leaseMs() *
      (isScarce ? 1 : ABUNDANT_LEASE_FACTOR);
    return {
      wantedPerS,
      requestsPerS: isSettled ? rate : Math.min(rate, request.heldPerS ?? 0),
      wantedSlots,
      slots: isSettled ? slots : Math.min(slots, request.heldSlots ?? 0),
      isScarce,
      expiresMs: this.#options.clock.nowMs() + leaseMs,
    };
  }

  /**
   * True while total demand is close to the limit, and for one lease time
   * after.
   */
  #updateScarcity(
    { request, customer, limits, others }: AllocationContext,
  ): boolean {
    const wantedPerS = (request.wantedPerS ?? 0) +
      sum(others.map((allocation) => allocation.wantedPerS));
    const wantedSlots = (request.wantedSlots ?? 0) +
      sum(others.map((allocation) => allocation.wantedSlots));
    const isScarceNow = wantedPerS > limits.requestsPerS * SCARCE_FRACTION ||
      wantedSlots > limits.slots * SCARCE_FRACTION;
    const nowMs = this.#options.clock.nowMs();
    if (isScarceNow) customer.scarceUntilMs = nowMs + this.#options.leaseMs();
    return nowMs < customer.scarceUntilMs;
  }

  #effectiveLimits(customer: string): CustomerLimits | undefined {
    const limits = this.#options.limitsOf(customer);
    const fraction = this.#options.reachableFraction();
    if (limits === undefined || fraction >= 1) return limits;
    return {
      requestsPerS: limits.requestsPerS * fraction,
      slots: Math.ceil(limits.slots * fraction),
    };
  }

  #customerOf(state: PartitionState, name: string): CustomerState {
    let customer = state.customers.get(name);
    if (customer === undefined) {
      const creditAtMs = this.#options.clock.nowMs();
      customer = {
        allocations: new Map(),
        credit: 0,
        creditAtMs,
        scarceUntilMs: 0,
      };
      state.customers.set(name, customer);
    }
    return customer;
  }

  /** Removes allocations whose lease and reserve time are over. */
  #dropExpired(allocations: Map<string, Allocation>): void {
    const nowMs = this.#options.clock.nowMs();
    const reserveMs = RESERVE_LEASE_COUNT * this.#options.leaseMs();
    for (const [client, allocation] of allocations) {
      if (allocation.expiresMs + reserveMs <= nowMs) allocations.delete(client);
    }
  }

  /**
   * Returns the rate that may be allocated now: the limit, plus credit for what
   * was recently unused, or minus what was used beyond it. Without the credit,
   * capacity in shares that are adjusted late or partly used would be lost.
   */
  #allocatableRate(
    customer: CustomerState,
    usage: { readonly limitPerS: number; readonly usedCount: number },
  ): number {
    const { limitPerS, usedCount } = usage;
    const nowMs = this.#options.clock.nowMs();
    const elapsedS = (nowMs - customer.creditAtMs) / 1_000;
    const credit = customer.credit + limitPerS * elapsedS - usedCount;
    const maxCredit = limitPerS * MAX_CREDIT_MS / 1_000;
    customer.credit = Math.min(maxCredit, Math.max(-maxCredit, credit));
    customer.creditAtMs = nowMs;
    return limitPerS + customer.credit * 1_000 / SPEND_CREDIT_MS;
  }
}
