/**
 * Messages that hosts exchange about members, facts and limits. Each message
 * is bounded in size, and receivers ignore fields that they do not know.
 *
 * @module
 */

import type { Fact } from "./services.ts";

/** State of a member in the table; `down` members are retained for a while. */
export type MemberState = "alive" | "suspect" | "leaving" | "down";

/** Address of a member. Never changes for a given name. */
export interface MemberAddress {
  readonly url: string;
  readonly failureDomain: string;
  readonly region: string;
}

/**
 * State of one member. Only the member itself raises its incarnation; of two
 * updates with the same incarnation, the more severe state wins.
 */
export interface MemberUpdate {
  readonly name: string;
  readonly incarnation: number;
  readonly state: MemberState;
  /** Omitted if the receiver is expected to know the member. */
  readonly address?: MemberAddress;
}

/** A probe, and the reply to it. */
export interface Ping {
  /** Name of the sender. */
  readonly name: string;
  /** Name of the host to which the probe is addressed. */
  readonly to: string;
  readonly digest: number;
  readonly updates: readonly MemberUpdate[];
  /** Small values of other services, piggybacked on the probe, by key. */
  readonly extras: Readonly<Record<string, unknown>>;
  /** Set in a reply whose sender does not know the probing host. */
  readonly isStranger?: boolean;
}

/** Requests that a member probe another one. */
export interface IndirectProbe {
  readonly target: string;
  readonly url: string;
  readonly timeoutMs: number;
}

/** Requests the entries that differ; has one digest for each bucket of keys. */
export interface SyncRequest {
  readonly buckets: readonly number[];
  /** Maximum number of entries in the reply; the first bucket may exceed it. */
  readonly maxItems: number;
  /** Buckets that an earlier reply has covered. */
  readonly skip?: readonly number[];
}

/** Entries of the buckets that differ, as many as fit. */
export interface MemberSyncResponse {
  readonly updates: readonly MemberUpdate[];
  /** Buckets whose entries are all in the reply. */
  readonly covered: readonly number[];
  readonly isWhole: boolean;
}

/** Facts of the buckets that differ, as many as fit. */
export interface FactSyncResponse {
  readonly facts: readonly Fact[];
  readonly covered: readonly number[];
}

/** Facts to be forwarded to the members whose hash lies in a range. */
export interface FactPush {
  readonly facts: readonly Fact[];
  /** First hash of the range to which the receiver forwards. */
  readonly firstHash: number;
  /** End of the range, exclusive. */
  readonly endHash: number;
}

/** Request for a share of a customer's limits; omitted numbers are 0. */
export interface ShareRequest {
  readonly customer: string;
  /** Requests per second that arrive at the requesting host. */
  readonly wantedPerS?: number;
  /** Requests admitted since the last share request that got a reply. */
  readonly usedCount?: number;
  /** Rate of the unexpired lease that the host holds. */
  readonly heldPerS?: number;
  /** Running requests, and additional slots if requests were rejected. */
  readonly wantedSlots?: number;
  /** Requests running at the requesting host. */
  readonly usedSlots?: number;
  /** Slots held by lease, or the number of running requests if it is larger. */
  readonly heldSlots?: number;
}

/** Requests shares for customers of one partition. */
export interface LeaseRequest {
  readonly partition: number;
  readonly asks: readonly ShareRequest[];
}

/** A share of one customer's limits, valid for a limited time. */
export interface LimitLease {
  readonly customer: string;
  readonly requestsPerS: number;
  readonly slots: number;
  /** True while the total demand is close to the limit or above it. */
  readonly isScarce?: boolean;
}

/** The reply to a {@link LeaseRequest}. */
export interface LeaseResponse {
  readonly leases: readonly LimitLease[];
  /** When leases of scarce limits expire, and when the other leases expire. */
  readonly scarceUntilWallMs: number;
  readonly plentyUntilWallMs: number;
}

/** A share allocated by the previous owner, as transferred at a handover. */
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

/**
 * Allocations of the previous owner; omitted if it does not know all of them.
 */
export interface HandoverResponse {
  readonly loans?: readonly AllocationRecord[];
}
