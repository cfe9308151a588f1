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
import type {
  BorrowAnswer,
  BorrowAsk,
  BorrowRequest,
  LimitLease,
  LoanRecord,
} from "./types.ts";

/**
 * A lease that ran out unrenewed stays reserved this many lease times more: its
 * borrower may have renewed it at another host.
 */
const RESERVE_LEASES = 1;

/** Demand above this part of a limit makes it scarce. */
const SCARCE_FRACTION = 0.8;
/** How much longer leases run while a limit is not scarce. */
export const PLENTY_LEASE_FACTOR = 3;
/** Part of the limit that all shares together may come to. */
const MAX_LENT_FRACTION = 1.04;
/** Bound of the credit, as time at the limit's rate, and time to spend it in. */
const MAX_CREDIT_MS = 800;
const SPEND_CREDIT_MS = 1_500;
/** The same for slots, of which more lie idle for a moment. */
const MAX_LENT_SLOTS_FRACTION = 1.08;
/** Part of what nobody wants that is lent; the rest waits for the next to ask. */
const SPARE_FRACTION = 0.7;
/** Spare room is divided as if at least this many hosts had asked. */
const MIN_SPARE_PARTS = 10;

/** Limits of one customer over the fleet. */
export interface CustomerLimits {
  readonly requestsPerS: number;
  readonly slots: number;
}

/** Collaborators of a {@link LimitLender}. */
export interface LimitLenderOptions {
  readonly clock: Clock;
  readonly leaseMs: () => number;
  /** Time in which each borrower has asked a new home. */
  readonly settleMs: () => number;
  /** Limits of a customer; undefined when it is not configured. */
  readonly limitsOf: (customer: string) => CustomerLimits | undefined;
  /** Share of the fleet that this host can reach, 1 when nobody is cut off. */
  readonly reachableFraction: () => number;
  /** How long this host has been home of a partition. */
  readonly homeForMs: (partition: number) => number;
}

interface Loan {
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
  readonly loans: Map<string, Loan>;
  /** Requests allowed and not made, or if negative made beyond; bounded. */
  credit: number;
  creditAtMs: number;
  /** A limit counts as scarce for some time after demand has come near it. */
  scarceUntilMs: number;
}

/** Lends shares of the customers whose home this host is. */
export class LimitLender {
  readonly #options: LimitLenderOptions;
  readonly #partitions = new Map<number, PartitionState>();

  constructor(options: LimitLenderOptions) {
    this.#options = options;
  }

  /** Answers one host's asks for a partition. */
  lend(request: BorrowRequest, borrower: string): BorrowAnswer {
    const { clock, leaseMs } = this.#options;
    const state = this.#stateOf(request.partition);
    const leases = request.asks.flatMap((ask): LimitLease[] => {
      const loan = this.#renew(state, ask, borrower);
      if (loan === undefined) return [];
      const { slots, isScarce } = loan;
      const requestsPerS = Math.round(loan.requestsPerS * 1_000) / 1_000;
      const lease = { customer: ask.customer, requestsPerS, slots };
      return [isScarce ? { ...lease, isScarce } : lease];
    });
    const wallMs = Math.floor(clock.wallMs());
    return {
      leases,
      scarceUntilWallMs: wallMs + leaseMs(),
      plentyUntilWallMs: wallMs + leaseMs() * PLENTY_LEASE_FACTOR,
    };
  }

  /** True when this host, as home, knows all that is lent of a partition. */
  isSettled(partition: number): boolean {
    return this.#isSettled(this.#stateOf(partition));
  }

  /** What is lent of a partition, for its next home; lends no more afterwards. */
  handOver(partition: number): LoanRecord[] {
    const state = this.#stateOf(partition);
    const { clock } = this.#options;
    state.handedOverMs = clock.nowMs();
    state.isTakenOver = false;
    return [...state.customers].flatMap(([customer, { loans }]) => {
      this.#dropOld(loans);
      return [...loans].map(([borrower, { expiresMs, ...loan }]) => ({
        ...loan,
        customer,
        borrower,
        expiresAtWallMs: clock.wallMs() + expiresMs - clock.nowMs(),
      }));
    });
  }

  /** Goes on with the loans of the home before this host. */
  takeOver(partition: number, records: readonly LoanRecord[]): void {
    const state = this.#stateOf(partition);
    const { clock } = this.#options;
    for (const { customer, borrower, expiresAtWallMs, ...loan } of records) {
      const { loans } = this.#customerOf(state, customer);
      if (loans.has(borrower)) continue;
      const expiresMs = clock.nowMs() + expiresAtWallMs - clock.wallMs();
      loans.set(borrower, { ...loan, expiresMs });
    }
    state.isTakenOver = true;
  }

  /** Forgets partitions that nobody has asked about for long. */
  expire(): void {
    const { clock, leaseMs } = this.#options;
    const staleMs = clock.nowMs() -
      (PLENTY_LEASE_FACTOR + RESERVE_LEASES + 1) * leaseMs();
    for (const [partition, state] of this.#partitions) {
      if (state.usedMs < staleMs) this.#partitions.delete(partition);
    }
  }

  #isSettled(state: PartitionState): boolean {
    const { clock, settleMs, homeForMs } = this.#options;
    const homeMs = homeForMs(state.partition);
    if (homeMs === 0) state.isTakenOver = false;
    const isHandedOver = clock.nowMs() - state.handedOverMs < settleMs();
    return !isHandedOver && (state.isTakenOver || homeMs >= settleMs());
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
    ask: BorrowAsk,
    borrower: string,
  ): Loan | undefined {
    const limits = this.#limitsNow(ask.customer);
    if (limits === undefined) return undefined;
    const customer = this.#customerOf(state, ask.customer);
    const { loans } = customer;
    this.#dropOld(loans);
    loans.delete(borrower);
    const others = [...loans.values()];
    const { wantedPerS = 0, usedCount = 0, heldPerS = 0 } = ask;
    const { wantedSlots = 0, usedSlots = 0, heldSlots = 0 } = ask;
    const isSettled = this.#isSettled(state);
    const allowedPerS = this.#allow(customer, {
      limitPerS: limits.requestsPerS,
      usedCount,
    });
    const rate = grant(wantedPerS, {
      limit: allowedPerS,
      others: others.map((loan) => ({
        wanted: loan.wantedPerS,
        held: loan.requestsPerS,
      })),
    });
    const slots = grantSlots(wantedSlots, {
      limit: limits.slots,
      others: others.map((loan) => ({
        wanted: loan.wantedSlots,
        held: loan.slots,
      })),
    });
    const wantedByAll = wantedPerS +
      sum(others.map((loan) => loan.wantedPerS));
    const slotsWanted = wantedSlots +
      sum(others.map((loan) => loan.wantedSlots));
    const isScarceNow = wantedByAll > limits.requestsPerS * SCARCE_FRACTION ||
      slotsWanted > limits.slots * SCARCE_FRACTION;
    const nowMs = this.#options.clock.nowMs();
    if (isScarceNow) customer.scarceUntilMs = nowMs + this.#options.leaseMs();
    const isScarce = nowMs < customer.scarceUntilMs;
    const leaseMs = this.#options.leaseMs() *
      (isScarce ? 1 : PLENTY_LEASE_FACTOR);
    const loan: Loan = {
      wantedPerS,
      requestsPerS: isSettled ? rate : Math.min(rate, heldPerS),
      wantedSlots,
      slots: isSettled ? slots : Math.min(slots, heldSlots),
      isScarce,
      expiresMs: nowMs + leaseMs,
    };
    const isIdle = wantedPerS === 0 && loan.slots === 0;
    if (!isIdle) {
      // Slots in use cannot be lent again before their requests end.
      const slotsInUse = Math.max(loan.slots, usedSlots);
      loans.set(borrower, { ...loan, slots: slotsInUse });
    }
    return loan;
  }

  #limitsNow(customer: string): CustomerLimits | undefined {
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
  #dropOld(loans: Map<string, Loan>): void {
    const nowMs = this.#options.clock.nowMs();
    const reserveMs = RESERVE_LEASES * this.#options.leaseMs();
    for (const [borrower, loan] of loans) {
      if (loan.expiresMs + reserveMs <= nowMs) loans.delete(borrower);
    }
  }

  /**
   * What may be lent now: the limit, and what was left of it lately, less what
   * was used beyond it. Without this all that shares lose by being late or not
   * quite used would be lost.
   */
  #allow(
    customer: CustomerState,
    use: { readonly limitPerS: number; readonly usedCount: number },
  ): number {
    const { limitPerS, usedCount } = use;
    const nowMs = this.#options.clock.nowMs();
    const spanS = (nowMs - customer.creditAtMs) / 1_000;
    const credit = customer.credit + limitPerS * spanS - usedCount;
    const most = limitPerS * MAX_CREDIT_MS / 1_000;
    customer.credit = Math.min(most, Math.max(-most, credit));
    customer.creditAtMs = nowMs;
    return limitPerS + customer.credit * 1_000 / SPEND_CREDIT_MS;
  }
}

/** What a grant depends on besides the demand of the one who asks. */
interface GrantContext {
  readonly limit: number;
  /** Loans of the others: what each wants, and what it holds. */
  readonly others: readonly { wanted: number; held: number }[];
}

/**
 * The share of one that wants `wanted`. One that wants less than it holds
 * counts with what it wants, so that no part of the limit lies idle; all that
 * is held together never exceeds `MAX_LENT_FRACTION` of the limit.
 */
function grant(wanted: number, { limit, others }: GrantContext): number {
  const demands = [...others.map((loan) => loan.wanted), wanted];
  const total = sum(demands);
  const held = sum(others.map((loan) => loan.held));
  const used = sum(others.map((loan) => Math.min(loan.held, loan.wanted)));
  const most = limit * MAX_LENT_FRACTION;
  const isScarce = total > limit;
  const level = isScarce ? waterLevel(demands, limit) : Infinity;
  const spare = isScarce ? most - limit : (most - total) * SPARE_FRACTION;
  const isLevelled = wanted >= level;
  const bonus = isLevelled
    ? 0
    : spare / Math.max(demands.length, MIN_SPARE_PARTS);
  const target = Math.min(wanted, level) + bonus;
  const free = isLevelled ? limit - used : Infinity;
  return Math.max(0, Math.min(target, free, most - held));
}

/** As {@link grant} for slots, which cannot be divided. */
function grantSlots(wanted: number, { limit, others }: GrantContext): number {
  const most = limit * MAX_LENT_SLOTS_FRACTION;
  const held = sum(others.map((loan) => loan.held));
  const free = Math.max(0, Math.floor(most - held));
  const demands = [...others.map((loan) => loan.wanted), wanted];
  const total = sum(demands);
  const parts = Math.max(demands.length, MIN_SPARE_PARTS);
  const target = total <= most
    ? wanted + Math.floor((most - total) * SPARE_FRACTION / parts)
    : Math.min(
      wanted,
      Math.max(
        Math.ceil(waterLevel(demands, most)),
        Math.floor(free * SPARE_FRACTION),
      ),
    );
  return Math.min(free, wanted > 0 ? Math.max(1, target) : 0);
}

/** The level at which the parts of demand below it add up to `limit`. */
export function waterLevel(demands: readonly number[], limit: number): number {
  const sorted = [...demands].sort((one, other) => one - other);
  let left = limit;
  for (const [index, demand] of sorted.entries()) {
    const even = left / (sorted.length - index);
    if (demand > even) return even;
    left -= demand;
  }
  return Infinity;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
