/**
 * Limits the number of targets that one content may end, over all hosts and
 * over all requests that carry it. Entries of several hosts merge to the same
 * result in any order and need no common clock: losses are counted along chains
 * in which each send began after the loss before it was known. Copies that one
 * event ends at the same time therefore count once.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { LossEntry } from "../ports/types.ts";

/** Losses in sequence after which a content is held back for a short time. */
const HOLD_LOSSES = 2;
/**
 * Least and greatest hold. Content that was merely on the same targets as the
 * cause is tried again at another time than the cause, and is cleared.
 */
const MIN_HOLD_MS = 2_000;
const MAX_HOLD_MS = 6_000;
/** Losses in sequence after which a content is quarantined. */
const QUARANTINE_LOSSES = 3;
/** Duration of the first quarantine; each further loss doubles it. */
const QUARANTINE_MS = 600_000;
const MAX_QUARANTINE_MS = 86_400_000;
/** Contents in memory; the one that changed least recently is evicted. */
const CAPACITY = 10_000;
/** How long a change is repeated to the other hosts, since datagrams get lost. */
const SHARED_MS = 5_000;

export interface QuarantineLedgerOptions {
  readonly clock: Clock;
}

/** What was known of a content when a send of it began. */
export type LossBaseline = Pick<LossEntry, "clearCount" | "losses">;

interface Row {
  readonly entry: LossEntry;
  readonly changedMs: number;
  readonly quarantinedUntilMs: number;
}

/** Losses by content id. */
export class QuarantineLedger {
  readonly #clock: Clock;
  readonly #rows = new Map<string, Row>();
  readonly #onLoss = new Emitter<LossEntry>();

  /** Fires for each loss that this host records, not for those of other hosts. */
  readonly onLoss: Event<LossEntry> = this.#onLoss.event;

  constructor(options: QuarantineLedgerOptions) {
    this.#clock = options.clock;
  }

  /** Number of contents that are held or quarantined now. */
  get quarantinedCount(): number {
    return [...this.#rows.keys()].filter((id) => this.isQuarantined(id)).length;
  }

  baseline(contentId: string): LossBaseline {
    return this.#rows.get(contentId)?.entry ?? { clearCount: 0, losses: 0 };
  }

  isQuarantined(contentId: string): boolean {
    return this.quarantinedForMs(contentId) > 0;
  }

  /** Time until the content may be sent again; 0 if it is not quarantined. */
  quarantinedForMs(contentId: string): number {
    const untilMs = this.#rows.get(contentId)?.quarantinedUntilMs ?? -Infinity;
    return Math.max(0, untilMs - this.#clock.nowMs());
  }

  /**
   * Records that a send ended its target. `lastEventId` is the last event that
   * the caller has; undefined if none. Returns false if the loss was counted
   * before.
   */
  recordLoss(
    contentId: string,
    { baseline, lastEventId }: {
      readonly baseline: LossBaseline;
      readonly lastEventId: number | undefined;
    },
  ): boolean {
    const known = this.#rows.get(contentId)?.entry;
    const clearCount = known?.clearCount ?? 0;
    const lossEventId = lastEventId ?? -1;
    const isSameSequence = baseline.clearCount === clearCount;
    // It ran past this point before, so it did not end both targets.
    const isContradiction = isSameSequence && known !== undefined &&
      known.losses > 0 && lossEventId < known.lossEventId;
    const entry: LossEntry = {
      contentId,
      clearCount: isContradiction ? clearCount + 1 : clearCount,
      losses: isSameSequence && !isContradiction ? baseline.losses + 1 : 1,
      lossEventId,
    };
    if (!this.merge(entry)) return false;
    this.#onLoss.fire({ ...entry, ...this.#rows.get(contentId)?.entry });
    return true;
  }

  /**
   * Records that a target ran the content up to an event; `Infinity` for its
   * end. Content that runs past the point of its losses did not cause them.
   */
  recordProgress(contentId: string, eventId: number): void {
    const row = this.#rows.get(contentId);
    if (row === undefined || row.entry.losses === 0) return;
    if (eventId <= row.entry.lossEventId) return;
    this.merge({
      contentId,
      clearCount: row.entry.clearCount + 1,
      losses: 0,
      lossEventId: -1,
    });
  }

  /** Merges an entry of this or another host; returns whether it added anything. */
  merge(incoming: LossEntry): boolean {
    const { contentId } = incoming;
    const known = this.#rows.get(contentId);
    const entry = known === undefined
      ? incoming
      : mergeEntries(known.entry, incoming);
    if (known !== undefined && isSame(known.entry, entry)) return false;
    const nowMs = this.#clock.nowMs();
    const hasMoreLosses = entry.clearCount !== known?.entry.clearCount ||
      entry.losses > known.entry.losses;
    this.#rows.delete(contentId);
    this.#rows.set(contentId, {
      entry,
      changedMs: nowMs,
      quarantinedUntilMs: hasMoreLosses
        ? nowMs + quarantineMs(entry)
        : known.quarantinedUntilMs,
    });
    if (this.#rows.size > CAPACITY) {
      const [oldest] = this.#rows.keys();
      this.#rows.delete(oldest);
    }
    return true;
  }

  /** Contents that are quarantined for at least this long from now. */
  entriesQuarantinedFor(durationMs: number): LossEntry[] {
    const fromMs = this.#clock.nowMs() + durationMs;
    return [...this.#rows.values()]
      .filter((row) => row.quarantinedUntilMs >= fromMs)
      .map(({ entry }) => entry);
  }

  /** Recent changes and quarantined contents, those with most losses first. */
  entriesToShare(limit: number): LossEntry[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#rows.values()].reverse()
      .filter((row) =>
        nowMs - row.changedMs < SHARED_MS || nowMs < row.quarantinedUntilMs
      )
      .map(({ entry }) => entry)
      .sort((a, b) => b.losses - a.losses)
      .slice(0, limit);
  }
}

function quarantineMs({ contentId, losses }: LossEntry): number {
  if (losses < HOLD_LOSSES) return 0;
  if (losses < QUARANTINE_LOSSES) return holdMs(contentId);
  return Math.min(
    MAX_QUARANTINE_MS,
    QUARANTINE_MS * 2 ** (losses - QUARANTINE_LOSSES),
  );
}

/**
 * The same on every host, and different for most contents, whose ids are
 * hexadecimal digests.
 */
function holdMs(contentId: string): number {
  const share = Number.parseInt(contentId.slice(0, 8), 16) / 2 ** 32 || 0;
  return MIN_HOLD_MS + share * (MAX_HOLD_MS - MIN_HOLD_MS);
}

function mergeEntries(a: LossEntry, b: LossEntry): LossEntry {
  if (a.clearCount !== b.clearCount) return a.clearCount > b.clearCount ? a : b;
  return {
    ...a,
    losses: Math.max(a.losses, b.losses),
    lossEventId: Math.max(a.lossEventId, b.lossEventId),
  };
}

function isSame(a: LossEntry, b: LossEntry): boolean {
  return a.clearCount === b.clearCount && a.losses === b.losses &&
    a.lossEventId === b.lossEventId;
}
