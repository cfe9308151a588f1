/**
 * Decides whether a request may be sent to targets, by its content and by the
 * parts of its prompt that other requests share. Two ledgers count the failures
 * of each over all hosts: one the targets that ended while they ran it, one the
 * sends that broke off, whose targets may have ended unseen. The former
 * quarantines a content; the latter holds it back for a time that grows with
 * each further failure.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { LossEntry } from "../ports/types.ts";
import { isPromptPartId } from "./quarantine_ids.ts";
import { type LossBaseline, QuarantineLedger } from "./quarantine_ledger.ts";

/** Losses in sequence after which a content is held back for a short time. */
const HOLD_LOSSES = 2;
/**
 * Least and greatest hold. Content that was merely on the same targets as the
 * cause is tried again at another time than the cause, and is cleared.
 */
const MIN_HOLD_MS = 2_000;
const MAX_HOLD_MS = 6_000;
/** Losses in sequence after which a content is quarantined. */
export const QUARANTINE_LOSSES = 3;
/** The same for losses between which it ran on, but never to its end. */
const QUARANTINE_TOTAL_LOSSES = 4;
/** Duration of the first quarantine; each further loss doubles it. */
const QUARANTINE_MS = 600_000;
const MAX_QUARANTINE_MS = 86_400_000;
/**
 * Holds of a prompt part after each further loss from `QUARANTINE_LOSSES` on.
 * Short at first, since a part that all prompts share must not stay withheld
 * when targets ended for another reason.
 */
const PART_HOLDS_MS = [10_000, 40_000, 160_000, 640_000];
/** Prompt parts that ran within this time are not the cause of a failure. */
const RECENT_PROGRESS_MS = 2_000;
/** Prompt parts whose last progress is remembered. */
const PROGRESS_CAPACITY = 10_000;
/** Sends in sequence that broke off, after which a content is held back. */
const HOLD_BREAKS = 3;
/** The same for sends between which it ran on, but never to its end. */
const HOLD_TOTAL_BREAKS = 4;
/** Duration of the first such hold; each further one is four times as long. */
const BREAK_HOLD_MS = 8_000;
const BREAK_HOLD_FACTOR = 4;
const MAX_BREAK_HOLD_MS = 600_000;
/** Time in which the hosts that claim the same trial learn of one another. */
const CLAIM_MS = 120;
/** Time after which a caller that met a trial may come back. */
const TRIAL_RETRY_MS = 500;

/** What was known of a content when a send of it began. */
export interface SendBaseline {
  readonly losses: LossBaseline;
  readonly breaks: LossBaseline;
}

/** Permission to send a content. */
export interface SendPermit {
  /** Called when the send had no result that tells anything of the content. */
  readonly release: () => void;
}

const FREE_PERMIT: SendPermit = { release: () => {} };

export interface ContentQuarantineOptions {
  readonly clock: Clock;
  /** Names this host to the others. */
  readonly hostId?: string;
}

export class ContentQuarantine {
  /** Targets that ended. */
  readonly losses: QuarantineLedger;
  /** Sends that broke off. */
  readonly breaks: QuarantineLedger;
  readonly #clock: Clock;
  /** Times of the last progress of prompt parts, least recent first. */
  readonly #progressAtMs = new Map<string, number>();
  readonly #onTrial = new Emitter<LossEntry>();

  /** Fires with the changes of both ledgers that other hosts wait for. */
  readonly onTrial: Event<LossEntry> = this.#onTrial.event;

  constructor({ clock, hostId }: ContentQuarantineOptions) {
    this.#clock = clock;
    this.losses = new QuarantineLedger({
      clock,
      hostId,
      quarantineMs: lossQuarantineMs,
    });
    this.breaks = new QuarantineLedger({
      clock,
      hostId,
      quarantineMs: breakHoldMs,
    });
    for (const ledger of this.#ledgers) {
      ledger.onTrial((entry) => this.#onTrial.fire(entry));
    }
  }

  get #ledgers(): QuarantineLedger[] {
    return [this.losses, this.breaks];
  }

  baseline(contentId: string): SendBaseline {
    return {
      losses: this.losses.baseline(contentId),
      breaks: this.breaks.baseline(contentId),
    };
  }

  /** Whether a send of the content failed and none has completed since. */
  isSuspect(contentId: string): boolean {
    const { losses, breaks } = this.baseline(contentId);
    return losses.totalLosses > 0 || breaks.totalLosses > 0;
  }

  /**
   * Time until a request with all of these ids may be sent again; 0 if it may be
   * sent now.
   */
  heldForMs(ids: readonly string[]): number {
    return Math.max(
      0,
      ...this.#withholding(ids).map(({ ledger, id }) =>
        ledger.quarantinedForMs(id)
      ),
    );
  }

  /** Time after which a caller may come back; 0 if the request may be sent now. */
  retryAfterMs(ids: readonly string[]): number {
    const isOnTrial = this.#withholding(ids).some(({ ledger, id }) =>
      ledger.isOnTrial(id)
    );
    return Math.max(this.heldForMs(ids), isOnTrial ? TRIAL_RETRY_MS : 0);
  }

  /**
   * Asks for permission to send a request; resolves to undefined without it.
   * What was withheld runs on one target of the fleet at a time, since its
   * callers all come back when it is no longer held.
   */
  async acquire(ids: readonly string[]): Promise<SendPermit | undefined> {
    if (this.retryAfterMs(ids) > 0) return undefined;
    const claims = this.#withholding(ids).map(({ ledger, id }) => ({
      ledger,
      id,
      trial: ledger.claimTrial(id),
    }));
    if (claims.length === 0) return FREE_PERMIT;
    const release = (): void => {
      for (const { ledger, id, trial } of claims) ledger.endTrial(id, trial);
    };
    await this.#clock.sleep(CLAIM_MS);
    const isGranted = this.heldForMs(ids) === 0 &&
      claims.every(({ ledger, id, trial }) =>
        ledger.holdsTrial(id, trial) || !ledger.needsTrial(id)
      );
    if (!isGranted) release();
    return isGranted ? { release } : undefined;
  }

  /** The entries for whose sake a request with these ids is withheld. */
  #withholding(
    ids: readonly string[],
  ): { readonly ledger: QuarantineLedger; readonly id: string }[] {
    return this.#ledgers.flatMap((ledger) =>
      ids.filter((id) => ledger.withholds(id, ids))
        .map((id) => ({ ledger, id }))
    );
  }

  /** Records that a prompt with a part had its first event. */
  recordPartProgress(id: string): void {
    this.#progressAtMs.delete(id);
    this.#progressAtMs.set(id, this.#clock.nowMs());
    if (this.#progressAtMs.size > PROGRESS_CAPACITY) {
      const [oldest] = this.#progressAtMs.keys();
      this.#progressAtMs.delete(oldest);
    }
    this.recordProgress(id, Infinity);
  }

  /** Whether this host lately saw prompts with the part run. */
  hasRecentProgress(id: string): boolean {
    const atMs = this.#progressAtMs.get(id) ?? -Infinity;
    return this.#clock.nowMs() - atMs < RECENT_PROGRESS_MS;
  }

  /**
   * Records that a target ran the content up to an event; `Infinity` for its
   * end.
   */
  recordProgress(contentId: string, eventId: number): void {
    this.losses.recordProgress(contentId, eventId);
    this.breaks.recordProgress(contentId, eventId);
  }
}

/** Time for which losses withhold a content or a part; used by their ledger. */
export function lossQuarantineMs(entry: LossEntry): number {
  const { contentId, losses, totalLosses } = entry;
  if (isPromptPartId(contentId) && losses >= QUARANTINE_LOSSES) {
    return PART_HOLDS_MS[losses - QUARANTINE_LOSSES] ?? MAX_QUARANTINE_MS;
  }
  if (isPromptPartId(contentId)) {
    return losses < HOLD_LOSSES ? 0 : holdMs(contentId);
  }
  const excess = Math.max(
    losses - QUARANTINE_LOSSES,
    totalLosses - QUARANTINE_TOTAL_LOSSES,
  );
  if (excess >= 0) {
    return Math.min(MAX_QUARANTINE_MS, QUARANTINE_MS * 2 ** excess);
  }
  return losses < HOLD_LOSSES ? 0 : holdMs(contentId);
}

/** Time for which broken sends withhold a content; used by their ledger. */
export function breakHoldMs({ losses, totalLosses }: LossEntry): number {
  const excess = Math.max(
    losses - HOLD_BREAKS,
    totalLosses - HOLD_TOTAL_BREAKS,
  );
  if (excess < 0) return 0;
  return Math.min(
    MAX_BREAK_HOLD_MS,
    BREAK_HOLD_MS * BREAK_HOLD_FACTOR ** excess,
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
