/**
 * The home's side of limits: lends shares of a customer's rate and slots to
 * the hosts that ask, never more in all than the limit. Shares follow demand
 * (max-min fair between hosts) and what stays free is lent in proportion.
 *
 * A host that has just become home does not know what its predecessor lent.
 * Until each borrower has asked it, it only renews what the borrowers say they
 * hold, and so does a host that does not take itself for the home. Where the
 * predecessor still answers, it hands over what it lent instead.
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
 * A lease that ran out unrenewed stays reserved this many lease times more: its
 * borrower may have renewed it at another host.
 */
const RESERVE_LEASE_COUNT = 1;

/** Demand above this part of a limit makes it scarce. */
const SCARCE_FRACTION = 0.8;
/** How much longer leases run while a limit is not scarce. */
export const ABUNDANT_LEASE_FACTOR = 3;
/** Bound of the credit, as time at the limit's rate, and time to spend it in. */
const MAX_CREDIT_MS = 800;
const SPEND_CREDIT_MS = 1_500;

/** Limits of one customer over the fleet. */
export interface CustomerLimits {
  readonly requestsPerS: number;
  readonly slots: number;
}

/** Collaborators of a {@link LimitAllocator}. */
export interface LimitAllocatorOptions {
  readonly clock: Clock;
  readonly leaseMs: () => number;
  /** Time in which each borrower has asked a new home. */
  readonly settleMs: () => number;
  /** Limits of a customer; undefined when it is not configured. */
  readonly limitsOf: (customer: string) => CustomerLimits | undefined;
  /** Share of the fleet that this host can reach, 1 when nobody is cut off. */
  readonly reachableFraction: () => number;
  /** How long this host has been home of a partition. */
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
  /** Set when the predecessor's loans were taken over. */
  isTakenOver: boolean;
  /** When the loans were handed to a successor. */
  handedOverMs: number;
  readonly customers: Map<string, CustomerState>;
}

interface CustomerState {
  readonly loans: Map<string, Allocation>;
  /** Requests allowed and not made, or if negative made beyond; bounded. */
  credit: number;
  creditAtMs: number;
  /** A limit counts as scarce for some time after demand has come near it. */
  scarceUntilMs: number;
}

/** One ask, and what it is weighed against. */
interface AllocationContext {
  readonly ask: ShareRequest;
  readonly customer: CustomerState;
  readonly limits: CustomerLimits;
  readonly others: readonly Allocation[];
}

/** Lends shares of the customers whose home this host is. */
export class LimitAllocator {
  readonly #options: LimitAllocatorOptions;
  readonly #partitions = new Map<number, PartitionState>();

  constructor(options: LimitAllocatorOptions) {
    this.#options = options;
  }

  /** Answers one host's asks for a partition. */
  allocate(request: LeaseRequest, client: string): LeaseResponse {
    const { clock, leaseMs } = this.#options;
    const state = this.#stateOf(request.partition);
    const leases = request.asks.flatMap((ask): LimitLease[] => {
      const allocation = this.#renew(state, ask, client);
      if (allocation === undefined) return [];
      const { slots, isScarce } = allocation;
      const requestsPerS = Math.round(allocation.requestsPerS * 1_000) / 1_000;
      const lease = { customer: ask.customer, requestsPerS, slots };
      return [isScarce ? { ...lease, isScarce } : lease];
    });
    const wallMs = Math.floor(clock.wallMs());
    return {
      leases,
      scarceUntilWallMs: wallMs + leaseMs(),
      plentyUntilWallMs: wallMs + leaseMs() * ABUNDANT_LEASE_FACTOR,
    };
  }

  /** True when this host, as home, knows all that is lent of a partition. */
  isSettled(partition: number): boolean {
    return this.#isSettled(this.#stateOf(partition));
  }

  /** What is lent of a partition, for its next home; lends no more afterwards. */
  handOver(partition: number): AllocationRecord[] {
    const state = this.#stateOf(partition);
    const { clock } = this.#options;
    state.handedOverMs = clock.nowMs();
    state.isTakenOver = false;
    return [...state.customers].flatMap(([customer, { loans }]) => {
      this.#dropExpired(loans);
      return [...loans].map(([client, { expiresMs, ...allocation }]) => ({
        ...allocation,
        customer,
        borrower: client,
        expiresAtWallMs: clock.wallMs() + expiresMs - clock.nowMs(),
      }));
    });
  }

  /** Goes on with the loans of the home before this host. */
  takeOver(partition: number, records: readonly AllocationRecord[]): void {
    const state = this.#stateOf(partition);
    const { clock } = this.#options;
    for (
      const { customer, borrower: client, expiresAtWallMs, ...allocation }
        of records
    ) {
      const { loans } = this.#customerOf(state, customer);
      if (loans.has(client)) continue;
      const expiresMs = clock.nowMs() + expiresAtWallMs - clock.wallMs();
      loans.set(client, { ...allocation, expiresMs });
    }
    state.isTakenOver = true;
  }

  /** Forgets partitions that nobody has asked about for long. */
  expire(): void {
    const { clock, leaseMs } = this.#options;
    const staleMs = clock.nowMs() -
      (ABUNDANT_LEASE_FACTOR + RESERVE_LEASE_COUNT + 1) * leaseMs();
    for (const [partition, state] of this.#partitions) {
      if (state.usedMs < staleMs) this.#partitions.delete(partition);
    }
  }

  #isSettled(state: PartitionState): boolean {
    const { clock, settleMs, ownedForMs: ownedForMs } = this.#options;
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
    ask: ShareRequest,
    client: string,
  ): Allocation | undefined {
    const limits = this.#effectiveLimits(ask.customer);
    if (limits === undefined) return undefined;
    const customer = this.#customerOf(state, ask.customer);
    const { loans } = customer;
    this.#dropExpired(loans);
    loans.delete(client);
    const others = [...loans.values()];
    const allocation = this.#computeAllocation(state, {
      ask,
      customer,
      limits,
      others,
    });
    const isIdle = allocation.wantedPerS === 0 && allocation.slots === 0;
    if (!isIdle) {
      // Slots in use cannot be lent again before their requests end.
      const slots = Math.max(allocation.slots, ask.usedSlots ?? 0);
      loans.set(client, { ...allocation, slots });
    }
    return allocation;
  }

  /** What one host gets beside the loans of the others. */
  #computeAllocation(
    state: PartitionState,
    context: AllocationContext,
  ): Allocation {
    const { ask, customer, limits, others } = context;
    const { wantedPerS = 0, wantedSlots = 0 } = ask;
    const limitPerS = limits.requestsPerS;
    const usedCount = ask.usedCount ?? 0;
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
      requestsPerS: isSettled ? rate : Math.min(rate, ask.heldPerS ?? 0),
      wantedSlots,
      slots: isSettled ? slots : Math.min(slots, ask.heldSlots ?? 0),
      isScarce,
      expiresMs: this.#options.clock.nowMs() + leaseMs,
    };
  }

  /** True while all together want nearly the limit, and for a lease after that. */
  #updateScarcity(
    { ask, customer, limits, others }: AllocationContext,
  ): boolean {
    const wantedPerS = (ask.wantedPerS ?? 0) +
      sum(others.map((allocation) => allocation.wantedPerS));
    const wantedSlots = (ask.wantedSlots ?? 0) +
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
      customer = { loans: new Map(), credit: 0, creditAtMs, scarceUntilMs: 0 };
      state.customers.set(name, customer);
    }
    return customer;
  }

  /** Drops loans that no longer count. */
  #dropExpired(loans: Map<string, Allocation>): void {
    const nowMs = this.#options.clock.nowMs();
    const reserveMs = RESERVE_LEASE_COUNT * this.#options.leaseMs();
    for (const [client, allocation] of loans) {
      if (allocation.expiresMs + reserveMs <= nowMs) loans.delete(client);
    }
  }

  /**
   * What may be lent now: the limit, and what was left of it lately, less what
   * was used beyond it. Without this all that shares lose by being late or not
   * quite used would be lost.
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
