/**
 * Record of the targets lost while running each content. Merging entries of
 * several hosts is commutative.
 *
 * @module
 */

import { z } from "zod";

const strikeEntrySchema = z.strictObject({
  fingerprint: z.string().min(1).max(64),
  losses: z.array(
    z.strictObject({
      target: z.string().max(128),
      atWallMs: z.number(),
      /** Layer span of the target; `end` is exclusive. */
      first: z.int().min(0),
      end: z.int().min(0),
      /** Whether the content was isolated from other suspect content. */
      isAlone: z.boolean(),
    }),
  ).max(16),
  /** Losses up to this time don't count: the content has run past them. */
  absolvedAtWallMs: z.number(),
});

/** Losses attributed to one content. */
export type StrikeEntry = z.infer<typeof strikeEntrySchema>;

/** Parses an entry received from a peer; undefined if malformed. */
export function parseStrikeEntry(sent: unknown): StrikeEntry | undefined {
  return strikeEntrySchema.safeParse(sent).data;
}

export interface StrikeLedgerOptions {
  /** Losses after which content is quarantined. */
  readonly maxTargetsLost: number;
  readonly retentionMs: number;
  readonly capacity: number;
}

/** Reports of one target this close in time are one loss seen by many hosts. */
const SAME_LOSS_WINDOW_MS = 10_000;

/** Work started on a target this soon after its loss found it already down. */
const DOWN_AFTER_LOSS_MS = 10_000;
/** Maximum number of targets whose last loss is kept. */
const MAX_TARGETS = 10_000;

export class StrikeLedger {
  readonly #options: StrikeLedgerOptions;
  readonly #entries = new Map<string, StrikeEntry>();
  /** Time of the last known loss of each target. */
  readonly #lostAtWallMs = new Map<string, number>();

  constructor(options: StrikeLedgerOptions) {
    this.#options = options;
  }

  /**
   * Whether the content has reached the maximum of lost targets with a common
   * layer, at least one of them while isolated. Without isolation, other
   * content may have caused a loss; and content that crashes one layer does not
   * crash the layers before it.
   */
  isQuarantined(fingerprint: string, wallMs: number): boolean {
    const entry = this.#entries.get(fingerprint);
    return entry !== undefined && this.#isQuarantined(entry) &&
      this.lossCount(fingerprint, wallMs) > 0;
  }

  /** Number of distinct losses of the content within the retention time. */
  lossCount(fingerprint: string, wallMs: number): number {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined) return 0;
    const { retentionMs } = this.#options;
    return entry.losses.filter((loss) => loss.atWallMs + retentionMs > wallMs)
      .length;
  }

  /** Whether a target was lost, by any content, shortly before `wallMs`. */
  wasDownAt(target: string, wallMs: number): boolean {
    const lostAtWallMs = this.#lostAtWallMs.get(target) ?? -Infinity;
    return lostAtWallMs <= wallMs && wallMs < lostAtWallMs + DOWN_AFTER_LOSS_MS;
  }

  /** Adds a loss; undefined if another host has already reported it. */
  strike(
    fingerprint: string,
    loss: StrikeEntry["losses"][number],
  ): StrikeEntry | undefined {
    return this.merge({ fingerprint, losses: [loss], absolvedAtWallMs: -1 });
  }

  /** Clears the losses so far; undefined if none or quarantined. */
  clearLosses(fingerprint: string, wallMs: number): StrikeEntry | undefined {
    const isSuspect = this.lossCount(fingerprint, wallMs) > 0 &&
      !this.isQuarantined(fingerprint, wallMs);
    if (!isSuspect) return undefined;
    return this.merge({ fingerprint, losses: [], absolvedAtWallMs: wallMs });
  }

  /** Merges an entry received from a peer; undefined if nothing changed. */
  merge(incoming: StrikeEntry): StrikeEntry | undefined {
    const { fingerprint } = incoming;
    const known = this.#entries.get(fingerprint) ??
      { fingerprint, losses: [], absolvedAtWallMs: -1 };
    const merged = this.#merged(known, incoming);
    const isNew = merged.losses.length !== known.losses.length ||
      this.#isQuarantined(merged) !== this.#isQuarantined(known) ||
      merged.absolvedAtWallMs !== known.absolvedAtWallMs;
    if (!isNew) return undefined;
    for (const loss of incoming.losses) this.#recordLossTime(loss);
    this.#entries.delete(fingerprint);
    this.#entries.set(fingerprint, merged);
    this.#evictOldest();
    return merged;
  }

  /** All entries, for the synchronization of a host that has just started. */
  entries(): readonly StrikeEntry[] {
    return [...this.#entries.values()];
  }

  #merged(known: StrikeEntry, incoming: StrikeEntry): StrikeEntry {
    const absolvedAtWallMs = this.#isQuarantined(known)
      ? known.absolvedAtWallMs
      : Math.max(known.absolvedAtWallMs, incoming.absolvedAtWallMs);
    const losses = [...known.losses];
    for (const loss of incoming.losses) addLoss(losses, loss);
    return {
      fingerprint: known.fingerprint,
      losses: losses.filter((loss) => loss.atWallMs > absolvedAtWallMs),
      absolvedAtWallMs,
    };
  }

  /** Keeps the time of the first report of each loss. */
  #recordLossTime({ target, atWallMs }: StrikeEntry["losses"][number]): void {
    const known = this.#lostAtWallMs.get(target);
    if (known !== undefined && atWallMs - known < SAME_LOSS_WINDOW_MS) return;
    this.#lostAtWallMs.delete(target);
    this.#lostAtWallMs.set(target, atWallMs);
    if (this.#lostAtWallMs.size <= MAX_TARGETS) return;
    const [oldest] = this.#lostAtWallMs.keys();
    this.#lostAtWallMs.delete(oldest);
  }

  #isQuarantined(entry: StrikeEntry): boolean {
    return entry.losses.filter((loss) => loss.isAlone).some((loss) =>
      entry.losses.filter((other) => layersOverlap(loss, other)).length >=
        this.#options.maxTargetsLost
    );
  }

  #evictOldest(): void {
    if (this.#entries.size <= this.#options.capacity) return;
    const [oldest] = this.#entries.keys();
    this.#entries.delete(oldest);
  }
}

function layersOverlap(
  one: StrikeEntry["losses"][number],
  other: StrikeEntry["losses"][number],
): boolean {
  return one.first < other.end && other.first < one.end;
}

/** Adds a loss, or merges it with an earlier report of the same loss. */
function addLoss(
  losses: StrikeEntry["losses"],
  loss: StrikeEntry["losses"][number],
): void {
  const at = losses.findIndex((other) =>
    other.target === loss.target &&
    Math.abs(other.atWallMs - loss.atWallMs) < SAME_LOSS_WINDOW_MS
  );
  if (at < 0) losses.push(loss);
  else if (loss.isAlone) losses[at] = { ...losses[at], isAlone: true };
}
