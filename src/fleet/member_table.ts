/**
 * What a host knows of each other host. Updates are merged by incarnation and
 * state, so that their order of arrival does not matter.
 *
 * A member that cannot be reached leaves the list of those given work soon,
 * but its entry is kept, and probed now and then, for minutes: the delayed
 * response to unreachability that Pastel uses for its weak links (Cruces,
 * Rodrigues and Ferreira, "Pastel: Bridging the Gap Between Structured and
 * Large-State Overlays"). A region that was cut off returns without a join of
 * each of its hosts; `measure/fleet_membership.ts` compares the two.
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

/** Number of states; ranks are below it. */
export const STATE_COUNT = 4;

/** How grave a state is; of one incarnation the gravest holds. */
export function stateRank(state: MemberState): number {
  return STATE_RANK[state];
}

/** One entry of the table. */
export interface MemberEntry {
  readonly name: string;
  readonly address: MemberAddress;
  incarnation: number;
  state: MemberState;
  /** When a suspect counts as down, or a down member is forgotten. */
  timeoutAtMs: number;
}

/** Settings of a {@link MemberTable}. */
export interface MemberTableOptions {
  /** Name of this host, whose entry is never among the reachable ones. */
  readonly selfName: string;
  /** How long a member may stay suspect before it counts as down. */
  readonly suspicionTimeoutMs: number;
  /** How long a down member is kept. */
  readonly downRetentionMs: number;
}

/** The table of all members. */
export class MemberTable {
  readonly #selfName: string;
  readonly #suspicionTimeoutMs: number;
  readonly #downRetentionMs: number;
  readonly #entries = new Map<string, MemberEntry>();
  readonly #digest = new BucketDigest();
  /** Suspect, down and unreachable leaving entries, which time changes. */
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

  /** Entries of other members that are not down. */
  reachable(): readonly MemberEntry[] {
    this.#reachable ??= [...this.#entries.values()].filter((entry) =>
      entry.state !== "down" && entry.name !== this.#selfName
    );
    return this.#reachable;
  }

  /** Entries of members that are down and not yet forgotten. */
  down(): MemberEntry[] {
    return [...this.#timed].filter((entry) => entry.state === "down");
  }

  /** Takes an update in; false when it says nothing new. */
  apply(update: MemberUpdate, nowMs: number): boolean {
    const known = this.#entries.get(update.name);
    if (known === undefined) return this.#insert(update, nowMs);
    if (!isNewer(update, known)) return false;
    this.#change(known, { ...update, nowMs });
    return true;
  }

  /**
   * Notes that a member does not answer. A leaving one keeps its state until
   * it counts as down. Returns the update to spread, if there is one.
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

  /** Applies what time changes and returns the members newly down. */
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
   * Takes members of a failure domain as alive again without a word of their
   * own; for those that went down together with one that has come back.
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

  /** Restarts the time of each suspect; for a host that was paused itself. */
  restartSuspicions(nowMs: number): void {
    for (const entry of this.#timed) {
      if (entry.state !== "down") {
        entry.timeoutAtMs = nowMs + this.#suspicionTimeoutMs;
      }
    }
  }

  /** The entries in some buckets, as many whole buckets as fit. */
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

  /** Down members are left out: hosts forget them at different times. */
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

/** The entry as the rest of the program sees it. */
export function toMember(entry: MemberEntry): Member {
  const state = entry.state === "down" ? "suspect" : entry.state;
  return { name: entry.name, ...entry.address, state };
}

/** That a member is down is never taken on hearsay: it may refute first. */
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
