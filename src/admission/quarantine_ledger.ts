/**
 * Counts the targets that one content ended, over all hosts and over all
 * requests that carry it. Entries of several hosts merge to the same
 * result in any order and need no common clock: losses are counted along chains
 * in which each send began after the loss before it was known. Copies that one
 * event ends at the same time therefore count once.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { ContentTrial, LossEntry } from "../ports/types.ts";

/** Contents in memory; the one that changed least recently is evicted. */
const CAPACITY = 10_000;
/** Processes kept in one entry. */
const MAX_PROCESSES = 8;
/** How long a change is repeated to the other hosts, since datagrams get lost. */
const SHARED_MS = 5_000;
/** Longest wait for the result of a trial, whose host may have died. */
const TRIAL_MS = 6_000;

export interface QuarantineLedgerOptions {
  readonly clock: Clock;
  /** Time for which an entry withholds its content, from its last loss. */
  readonly quarantineMs: (entry: LossEntry) => number;
  /** Names this host in trials. */
  readonly hostId?: string;
}

/** What was known of a content when a send of it began. */
export type LossBaseline = Pick<
  LossEntry,
  "clearCount" | "losses" | "totalLosses"
>;

const NO_LOSSES: LossBaseline = { clearCount: 0, losses: 0, totalLosses: 0 };

interface Row {
  readonly entry: LossEntry;
  readonly changedMs: number;
  readonly quarantinedUntilMs: number;
  readonly trialUntilMs: number;
}

/** Losses by content id. */
export class QuarantineLedger {
  readonly #clock: Clock;
  readonly #quarantineMs: (entry: LossEntry) => number;
  readonly #hostId: string;
  /** Entries that took a turn to be shared. */
  #sharedCount = 0;
  readonly #rows = new Map<string, Row>();
  readonly #onLoss = new Emitter<LossEntry>();
  readonly #onTrial = new Emitter<LossEntry>();

  /** Fires for each loss that this host records, not for those of other hosts. */
  readonly onLoss: Event<LossEntry> = this.#onLoss.event;
  /**
   * Fires when a trial of this host begins or ends without a result, and when
   * this host clears a content that was withheld.
   */
  readonly onTrial: Event<LossEntry> = this.#onTrial.event;

  constructor(options: QuarantineLedgerOptions) {
    this.#clock = options.clock;
    this.#quarantineMs = options.quarantineMs;
    this.#hostId = options.hostId ?? "";
  }

  /** Number of contents that are held or quarantined now. */
  get quarantinedCount(): number {
    return [...this.#rows.keys()].filter((id) => this.isQuarantined(id)).length;
  }

  baseline(contentId: string): LossBaseline {
    return this.#rows.get(contentId)?.entry ?? NO_LOSSES;
  }

  isQuarantined(contentId: string): boolean {
    return this.quarantinedForMs(contentId) > 0;
  }

  /** Time until the content may be sent again; 0 if it is not quarantined. */
  quarantinedForMs(contentId: string): number {
    const untilMs = this.#rows.get(contentId)?.quarantinedUntilMs ?? -Infinity;
    return Math.max(0, untilMs - this.#clock.nowMs());
  }

  /** Whether the content was withheld, and has not been cleared since. */
  needsTrial(contentId: string): boolean {
    const entry = this.#rows.get(contentId)?.entry;
    return entry !== undefined && this.#quarantineMs(entry) > 0;
  }

  /**
   * Whether a request with all of `ids` is withheld for the sake of this one. A
   * request without a companion that may be the cause as well is not: it shows
   * which of them is.
   */
  withholds(contentId: string, ids: readonly string[]): boolean {
    if (!this.needsTrial(contentId)) return false;
    const { companions = [] } = this.#rows.get(contentId)?.entry ?? {};
    return companions.every((id) => ids.includes(id) || !this.needsTrial(id));
  }

  /** Whether the result of a trial, here or on another host, is awaited. */
  isOnTrial(contentId: string): boolean {
    const row = this.#rows.get(contentId);
    return row?.entry.trial !== undefined && row.entry.trial.hostId !== "" &&
      this.#clock.nowMs() < row.trialUntilMs;
  }

  /**
   * Claims the next trial of a content for this host. Of several claims to the
   * same one, the host that comes first by name holds it, see `holdsTrial`.
   */
  claimTrial(contentId: string): ContentTrial {
    return this.#setTrial(contentId, this.#hostId);
  }

  holdsTrial(contentId: string, { number, hostId }: ContentTrial): boolean {
    const trial = this.#rows.get(contentId)?.entry.trial;
    return trial?.number === number && trial.hostId === hostId;
  }

  /** Lets other sends begin, since this one had no result. */
  endTrial(contentId: string, trial: ContentTrial): void {
    if (this.holdsTrial(contentId, trial)) this.#setTrial(contentId, "");
  }

  #setTrial(contentId: string, hostId: string): ContentTrial {
    const entry = this.#rows.get(contentId)?.entry;
    const trial = { number: (entry?.trial?.number ?? 0) + 1, hostId };
    if (entry !== undefined) {
      this.merge({ ...entry, trial });
      this.#onTrial.fire({ ...entry, trial });
    }
    return trial;
  }

  /**
   * Records that a send failed at a target. `process` names what counts once:
   * the target's process if it has ended or, in the entry of a prompt part, the
   * content of the request. `lastEventId` is the last event that the caller has;
   * undefined if none. Returns what a send that begins after this loss knows of
   * it, and whether the loss had not been counted before.
   */
  recordLoss(
    contentId: string,
    { baseline, lastEventId, process, companions }: {
      readonly baseline: LossBaseline;
      readonly lastEventId: number | undefined;
      readonly process?: string;
      readonly companions?: readonly string[];
    },
  ): { readonly after: LossBaseline; readonly isNew: boolean } {
    const known = this.#rows.get(contentId)?.entry;
    if (process !== undefined && known?.processes.includes(process)) {
      return { after: known, isNew: false };
    }
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
      // A run may have completed since the send began.
      totalLosses: 1 +
        Math.min(baseline.totalLosses, known?.totalLosses ?? 0),
      processes: mergeProcesses(
        known?.processes ?? [],
        process === undefined ? [] : [process],
      ),
      lossEventId,
      ...(companions === undefined ? {} : { companions }),
    };
    const isNew = this.merge(entry);
    if (isNew) {
      this.#onLoss.fire({ ...entry, ...this.#rows.get(contentId)?.entry });
    }
    return { after: entry, isNew };
  }

  /**
   * Records that a target ran the content up to an event; `Infinity` for its
   * end. Content that runs past the point of its losses did not cause them.
   */
  recordProgress(contentId: string, eventId: number): void {
    const entry = this.#rows.get(contentId)?.entry;
    if (entry === undefined) return;
    const isComplete = eventId === Infinity;
    const hasPassed = entry.losses > 0 && eventId > entry.lossEventId;
    if (!hasPassed && !(isComplete && entry.totalLosses > 0)) return;
    const wasWithheld = this.needsTrial(contentId);
    const cleared: LossEntry = {
      contentId,
      clearCount: entry.clearCount + 1,
      losses: 0,
      totalLosses: isComplete ? 0 : entry.totalLosses,
      processes: isComplete ? [] : entry.processes,
      lossEventId: -1,
    };
    this.merge(cleared);
    if (wasWithheld) this.#onTrial.fire(cleared);
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
      entry.losses > known.entry.losses ||
      entry.totalLosses > known.entry.totalLosses;
    const isNewTrial = entry.trial !== undefined &&
      !isSameTrial(entry, known?.entry);
    this.#rows.delete(contentId);
    this.#rows.set(contentId, {
      entry,
      changedMs: nowMs,
      trialUntilMs: isNewTrial
        ? nowMs + TRIAL_MS
        : known?.trialUntilMs ?? -Infinity,
      quarantinedUntilMs: hasMoreLosses
        ? nowMs + this.#quarantineMs(entry)
        : known.quarantinedUntilMs,
    });
    if (this.#rows.size > CAPACITY) {
      const [oldest] = this.#rows.keys();
      this.#rows.delete(oldest);
    }
    return true;
  }

  /** Time since the last hold of a content ended; 0 while it is held. */
  sinceHeldMs(contentId: string): number {
    const untilMs = this.#rows.get(contentId)?.quarantinedUntilMs ?? -Infinity;
    return Math.max(0, this.#clock.nowMs() - untilMs);
  }

  /** Entries of contents that are held, or were and have not been cleared. */
  withheldEntries(): LossEntry[] {
    return [...this.#rows.values()].map(({ entry }) => entry)
      .filter((entry) => this.#quarantineMs(entry) > 0);
  }

  /** Contents that are quarantined for at least this long from now. */
  entriesQuarantinedFor(durationMs: number): LossEntry[] {
    const fromMs = this.#clock.nowMs() + durationMs;
    return [...this.#rows.values()]
      .filter((row) => row.quarantinedUntilMs >= fromMs)
      .map(({ entry }) => entry);
  }

  /**
   * Recent changes and quarantined contents, those with most losses first. Of
   * more than `limit`, the second half takes turns, so that a clear gets through
   * beside many quarantined contents.
   */
  entriesToShare(limit: number): LossEntry[] {
    const nowMs = this.#clock.nowMs();
    const entries = [...this.#rows.values()].reverse()
      .filter((row) =>
        nowMs - row.changedMs < SHARED_MS || nowMs < row.quarantinedUntilMs
      )
      .map(({ entry }) => entry)
      .sort((a, b) => b.losses - a.losses);
    if (entries.length <= limit) return entries;
    const first = entries.slice(0, limit / 2);
    const others = entries.slice(limit / 2);
    const start = this.#sharedCount % others.length;
    const turn = [...others, ...others].slice(start, start + limit / 2);
    this.#sharedCount += turn.length;
    return [...first, ...turn];
  }
}

function mergeEntries(a: LossEntry, b: LossEntry): LossEntry {
  if (a.clearCount !== b.clearCount) return a.clearCount > b.clearCount ? a : b;
  const trial = laterTrial(a.trial, b.trial);
  const companions = commonCompanions(a, b);
  return {
    ...a,
    losses: Math.max(a.losses, b.losses),
    totalLosses: Math.max(a.totalLosses, b.totalLosses),
    processes: mergeProcesses(a.processes, b.processes),
    lossEventId: Math.max(a.lossEventId, b.lossEventId),
    ...(companions === undefined ? {} : { companions }),
    ...(trial === undefined ? {} : { trial }),
  };
}

/** Entries without losses say nothing of companions. */
function commonCompanions(
  a: LossEntry,
  b: LossEntry,
): readonly string[] | undefined {
  if (a.companions === undefined || b.companions === undefined) {
    return a.companions ?? b.companions;
  }
  const others = new Set(b.companions);
  return a.companions.filter((id) => others.has(id)).sort();
}

/** Of trials with the same number, that of the host that comes first by name. */
function laterTrial(
  a: ContentTrial | undefined,
  b: ContentTrial | undefined,
): ContentTrial | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  if (a.number !== b.number) return a.number > b.number ? a : b;
  return a.hostId <= b.hostId ? a : b;
}

function isSameTrial(a: LossEntry, b: LossEntry | undefined): boolean {
  return a.trial?.number === b?.trial?.number &&
    a.trial?.hostId === b?.trial?.hostId;
}

/** The same result in any order of merges. */
function mergeProcesses(
  a: readonly string[],
  b: readonly string[],
): readonly string[] {
  return [...new Set([...a, ...b])].sort().slice(0, MAX_PROCESSES);
}

function isSame(a: LossEntry, b: LossEntry): boolean {
  return a.clearCount === b.clearCount && a.losses === b.losses &&
    a.processes.join() === b.processes.join() &&
    a.totalLosses === b.totalLosses && a.lossEventId === b.lossEventId &&
    a.companions?.join() === b.companions?.join() && isSameTrial(a, b);
}
