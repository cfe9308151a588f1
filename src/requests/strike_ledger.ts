/**
 * Which content was running when which targets were lost. Entries of several
 * hosts merge to the same result in any order.
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
      /** Layers that the target held, the last excluded. */
      first: z.int().min(0),
      end: z.int().min(0),
      /** Whether the content ran apart from other suspects. */
      isAlone: z.boolean(),
    }),
  ).max(16),
  /** Losses up to this time are void: the content has run past them. */
  absolvedAtWallMs: z.number(),
});

/** All that is known of one content. */
export type StrikeEntry = z.infer<typeof strikeEntrySchema>;

/** Reads an entry sent by a peer; undefined when it is malformed. */
export function parseStrikeEntry(sent: unknown): StrikeEntry | undefined {
  return strikeEntrySchema.safeParse(sent).data;
}

/** Options of `StrikeLedger`. */
export interface StrikeLedgerOptions {
  /** Targets that one content may cost. */
  readonly maxTargetsLost: number;
  readonly retentionMs: number;
  readonly capacity: number;
}

/** Losses of one target closer than this are one loss seen by several hosts. */
const SAME_LOSS_WINDOW_MS = 10_000;

/** A target found dead by work that began this soon after its loss was dead before. */
const DOWN_AFTER_LOSS_MS = 10_000;
/** Targets whose losses are remembered. */
const MAX_TARGETS = 10_000;

/** Counts the losses of each content. */
export class StrikeLedger {
  readonly #options: StrikeLedgerOptions;
  readonly #entries = new Map<string, StrikeEntry>();
  /** Times of the last known loss of each target. */
  readonly #lostAtWallMs = new Map<string, number>();

  constructor(options: StrikeLedgerOptions) {
    this.#options = options;
  }

  /**
   * Whether the content has cost its full number of targets of some layer,
   * one of them while it ran apart: copies that ran in company prove nothing,
   * and content that crashes one layer does not crash those before it.
   */
  isQuarantined(fingerprint: string, wallMs: number): boolean {
    const entry = this.#entries.get(fingerprint);
    return entry !== undefined && this.#isQuarantined(entry) &&
      this.lossCount(fingerprint, wallMs) > 0;
  }

  /** Distinct losses that count against the content. */
  lossCount(fingerprint: string, wallMs: number): number {
    const entry = this.#entries.get(fingerprint);
    if (entry === undefined) return 0;
    const { retentionMs: retentionMs } = this.#options;
    return entry.losses.filter((loss) => loss.atWallMs + retentionMs > wallMs)
      .length;
  }

  /** Whether a target was lost shortly before `wallMs`, to whatever content. */
  wasDownAt(target: string, wallMs: number): boolean {
    const lostAtWallMs = this.#lostAtWallMs.get(target) ?? -Infinity;
    return lostAtWallMs <= wallMs && wallMs < lostAtWallMs + DOWN_AFTER_LOSS_MS;
  }

  /** Adds a loss; undefined when another host has already reported it. */
  strike(
    fingerprint: string,
    loss: StrikeEntry["losses"][number],
  ): StrikeEntry | undefined {
    return this.merge({ fingerprint, losses: [loss], absolvedAtWallMs: -1 });
  }

  /** Voids the losses so far; undefined when there were none to void. */
  clearLosses(fingerprint: string, wallMs: number): StrikeEntry | undefined {
    const isSuspect = this.lossCount(fingerprint, wallMs) > 0 &&
      !this.isQuarantined(fingerprint, wallMs);
    if (!isSuspect) return undefined;
    return this.merge({ fingerprint, losses: [], absolvedAtWallMs: wallMs });
  }

  /** Takes in what a peer knows; undefined when nothing of it is new. */
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

  /** All entries, for a host that has just started. */
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

  /** Keeps the first of the reports of one loss. */
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

/** Adds a loss, or joins it with the report of the same loss. */
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
