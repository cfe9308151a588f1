/**
 * State of all members known to a host. Updates are merged by incarnation and
 * state, so that their order of arrival does not matter.
 *
 * An unreachable member is soon sent no more work, but its entry is retained
 * for minutes and probed occasionally: the delayed response to unreachability
 * that Pastel uses for its weak links (Cruces, Rodrigues and Ferreira, "Pastel:
 * Bridging the Gap Between Structured and Large-State Overlays"). A region that
 * was partitioned returns without a join of each of its hosts;
 * `measure/fleet_membership.ts` compares this with immediate removal.
 *
 * @module
 */

import { BucketDigest, collectBuckets } from "./bucket_digest.ts";
import type { Member } from "./services.ts";
import type { MemberAddress, MemberState, MemberUpdate } from "./types.ts";

const STATE_RANK: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  down: 3,
};

/** Number of states; ranks are less than this. */
export const STATE_COUNT = 4;

/** Severity of a state; within an incarnation, the most severe state wins. */
export function stateRank(state: MemberState): number {
  return STATE_RANK[state];
}

export interface MemberEntry {
  readonly name: string;
  readonly address: MemberAddress;
  incarnation: number;
  state: MemberState;
  /** When a suspect becomes down, or a down member is removed. */
  timeoutAtMs: number;
}

export interface MemberTableOptions {
  /** Name of this host, which is not included in the reachable members. */
  readonly selfName: string;
  /** Time after which a suspect member becomes down. */
  readonly suspicionTimeoutMs: number;
  /** How long a down member is retained. */
  readonly downRetentionMs: number;
}

/** Table of all members, with a digest for comparison between hosts. */
export class MemberTable {
  readonly #selfName: string;
  readonly #suspicionTimeoutMs: number;
  readonly #downRetentionMs: number;
  readonly #entries = new Map<string, MemberEntry>();
  readonly #digest = new BucketDigest();
  /** Entries with a time-out: suspect, down and unreachable leaving members. */
  readonly #timed = new Set<MemberEntry>();
  #reachable: readonly MemberEntry[] | undefined;

  constructor(options: MemberTableOptions) {
    this.#selfName = options.selfName;
    this.#suspicionTimeoutMs = options.suspicionTimeoutMs;
    this.#downRetentionMs = options.downRetentionMs;
  }

  get digest(): BucketDigest {
    return this.#digest;
  }

  get(name: string): MemberEntry | undefined {
    return this.#entries.get(name);
  }

  /** Returns the entries of other members that are not down. */
  reachable(): readonly MemberEntry[] {
    this.#reachable ??= [...this.#entries.values()].filter((entry) =>
      entry.state !== "down" && entry.name !== this.#selfName
    );
    return this.#reachable;
  }

  /** Returns the entries of down members that are still retained. */
  down(): MemberEntry[] {
    return [...this.#timed].filter((entry) => entry.state === "down");
  }

  /** Applies an update; returns false if it is not newer than the entry. */
  apply(update: MemberUpdate, nowMs: number): boolean {
    const known = this.#entries.get(update.name);
    if (known === undefined) return this.#insert(update, nowMs);
    if (!isNewer(update, known)) return false;
    this.#change(known, { ...update, nowMs });
    return true;
  }

  /**
   * Marks an unresponsive member as suspect. A leaving member keeps its state
   * until it is down. Returns the update to broadcast, if there is one.
   */
  suspect(name: string, nowMs: number): MemberUpdate | undefined {
    const entry = this.#entries.get(name);
    if (entry === undefined || this.#timed.has(entry)) return undefined;
    if (entry.state === "leaving") {
      entry.timeoutAtMs = nowMs + this.#suspicionTimeoutMs;
      this.#timed.add(entry);
      return undefined;
    }
    const { incarnation } = entry;
    this.#change(entry, { incarnation, state: "suspect", nowMs });
    return { name, incarnation, state: "suspect" };
  }

  /**
   * Applies expired time-outs; returns updates for members that became down.
   */
  expire(nowMs: number): MemberUpdate[] {
    const updates: MemberUpdate[] = [];
    for (const entry of [...this.#timed]) {
      if (entry.timeoutAtMs > nowMs) continue;
      if (entry.state === "down") {
        this.#remove(entry);
        continue;
      }
      const { name, incarnation } = entry;
      this.#change(entry, { incarnation, state: "down", nowMs });
      updates.push({ name, incarnation, state: "down" });
    }
    return updates;
  }

  /**
   * Marks the down members of a failure domain as alive without an update of
   * their own, when a member that went down with them has returned.
   */
  restoreDomain(
    failureDomain: string,
    options: {
      readonly isListed: (name: string) => boolean;
      readonly nowMs: number;
    },
  ): number {
    const restored = this.down().filter((entry) =>
      entry.address.failureDomain === failureDomain &&
      options.isListed(entry.name)
    );
    for (const entry of restored) {
      const { incarnation } = entry;
      this.#change(entry, {
        incarnation,
        state: "alive",
        nowMs: options.nowMs,
      });
    }
    return restored.length;
  }

  /**
   * Restarts the time-out of each suspect, after a pause of this host itself.
   */
  restartSuspicions(nowMs: number): void {
    for (const entry of this.#timed) {
      if (entry.state !== "down") {
        entry.timeoutAtMs = nowMs + this.#suspicionTimeoutMs;
      }
    }
  }

  /**
   * Returns the entries of the given buckets, as many complete buckets as fit.
   */
  entriesIn(
    indexes: readonly number[],
    maxItems: number,
  ): { items: MemberEntry[]; covered: number[] } {
    return collectBuckets(this.#entries.values(), {
      keyOf: (entry) => entry.name,
      indexes,
      maxItems,
    });
  }

  #insert(update: MemberUpdate, nowMs: number): boolean {
    if (update.address === undefined) return false;
    const entry: MemberEntry = {
      name: update.name,
      address: update.address,
      incarnation: update.incarnation,
      state: "alive",
      timeoutAtMs: 0,
    };
    this.#entries.set(entry.name, entry);
    this.#toggle(entry);
    this.#change(entry, { ...update, nowMs });
    return true;
  }

  #change(
    entry: MemberEntry,
    next: { incarnation: number; state: MemberState; nowMs: number },
  ): void {
    this.#toggle(entry);
    entry.incarnation = next.incarnation;
    entry.state = next.state;
    this.#toggle(entry);
    this.#setTimer(entry, next.nowMs);
    this.#reachable = undefined;
  }

  #setTimer(entry: MemberEntry, nowMs: number): void {
    if (entry.state === "alive" || entry.state === "leaving") {
      this.#timed.delete(entry);
      return;
    }
    const durationMs = entry.state === "down"
      ? this.#downRetentionMs
      : this.#suspicionTimeoutMs;
    entry.timeoutAtMs = nowMs + durationMs;
    this.#timed.add(entry);
  }

  /**
   * Omits down members from the digest: hosts remove them at different times.
   */
  #toggle(entry: MemberEntry): void {
    if (entry.state === "down") return;
    const leaving = entry.state === "leaving" ? 1 : 0;
    this.#digest.toggle(entry.name, entry.incarnation * 2 + leaving);
  }

  #remove(entry: MemberEntry): void {
    this.#timed.delete(entry);
    this.#entries.delete(entry.name);
    this.#reachable = undefined;
  }
}

/** Converts an entry for users of the membership; down becomes suspect. */
export function toMember(entry: MemberEntry): Member {
  const state = entry.state === "down" ? "suspect" : entry.state;
  return { name: entry.name, ...entry.address, state };
}

/**
 * Converts an entry to an update. A down member is sent as suspect, so that it
 * can refute before another host marks it as down.
 */
export function toUpdate(entry: MemberEntry): MemberUpdate {
  const { name, incarnation, address } = entry;
  const state = entry.state === "down" ? "suspect" : entry.state;
  return { name, incarnation, state, address };
}

function isNewer(update: MemberUpdate, known: MemberEntry): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return STATE_RANK[update.state] > STATE_RANK[known.state];
}
