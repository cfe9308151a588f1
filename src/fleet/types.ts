/**
 * Messages that hosts exchange about members and facts. Each is bounded in
 * size, and readers ignore what they do not understand.
 *
 * @module
 */

import type { Fact } from "./services.ts";

/** State of a member in the table; `down` ones are kept for a while. */
export type MemberState = "alive" | "suspect" | "leaving" | "down";

/** Where a member is found. Never changes under one name. */
export interface MemberAddress {
  readonly url: string;
  readonly failureDomain: string;
  readonly region: string;
}

/**
 * What is said of one member. Only the member itself raises its incarnation;
 * of two updates with one incarnation the graver state holds.
 */
export interface MemberUpdate {
  readonly name: string;
  readonly incarnation: number;
  readonly state: MemberState;
  /** Left out where the reader is expected to know the member. */
  readonly address?: MemberAddress;
}

/** A probe, and the answer to it. */
export interface Ping {
  /** Name of the sender. */
  readonly name: string;
  /** Name of the host for which the probe is meant. */
  readonly to: string;
  readonly digest: number;
  readonly updates: readonly MemberUpdate[];
  /** Small values of other services that travel along, by their key. */
  readonly extras: Readonly<Record<string, unknown>>;
  /** Set in an answer whose sender does not know who asked. */
  readonly isStranger?: boolean;
}

/** Asks a member to probe another one. */
export interface IndirectProbe {
  readonly target: string;
  readonly url: string;
  readonly timeoutMs: number;
}

/** Asks for what differs: one digest for each bucket of keys. */
export interface SyncRequest {
  readonly buckets: readonly number[];
  /** Entries that the asking host takes at most, but for a first bucket. */
  readonly maxItems: number;
  /** Buckets that an earlier answer has covered. */
  readonly skip?: readonly number[];
}

/** Entries of buckets that differ, as many as fit. */
export interface MemberSyncResponse {
  readonly updates: readonly MemberUpdate[];
  /** Buckets whose entries are all in the answer. */
  readonly covered: readonly number[];
  readonly isWhole: boolean;
}

/** Facts of buckets that differ, as many as fit. */
export interface FactSyncResponse {
  readonly facts: readonly Fact[];
  readonly covered: readonly number[];
}

/** Facts to be handed on to the members whose hash lies in a range. */
export interface FactPush {
  readonly facts: readonly Fact[];
  /** First hash of the range that the receiver is to serve. */
  readonly firstHash: number;
  /** End of the range, excluded. */
  readonly endHash: number;
}

/** What a host asks of the home of a customer's limits; 0 where left out. */
export interface ShareRequest {
  readonly customer: string;
  /** Requests a second that arrive here. */
  readonly wantedPerS?: number;
  /** Requests admitted here since the last ask that was answered. */
  readonly usedCount?: number;
  /** Share that the host holds by a lease that has not expired. */
  readonly heldPerS?: number;
  /** Requests running here, and more of them when some were refused. */
  readonly wantedSlots?: number;
  /** Requests running here. */
  readonly usedSlots?: number;
  /** Slots held by lease, or in use by running requests if these are more. */
  readonly heldSlots?: number;
}

/** Asks for all customers of one partition. */
export interface LeaseRequest {
  readonly partition: number;
  readonly asks: readonly ShareRequest[];
}

/** A share of one customer's limits. */
export interface LimitLease {
  readonly customer: string;
  readonly requestsPerS: number;
  readonly slots: number;
  /** True while all together want nearly the whole limit, or more. */
  readonly isScarce?: boolean;
}

/** The answer to a {@link LeaseRequest}. */
export interface LeaseResponse {
  readonly leases: readonly LimitLease[];
  /** When the leases of scarce limits run out, and those of the others. */
  readonly scarceUntilWallMs: number;
  readonly plentyUntilWallMs: number;
}

/** One share that the home before lent, as it hands it over. */
export interface AllocationRecord {
  readonly customer: string;
  readonly borrower: string;
  readonly wantedPerS: number;
  readonly requestsPerS: number;
  readonly wantedSlots: number;
  readonly slots: number;
  readonly isScarce: boolean;
  readonly expiresAtWallMs: number;
}

/** What the home before knows; without loans it does not know all of them. */
export interface HandoverResponse {
  readonly loans?: readonly AllocationRecord[];
}
