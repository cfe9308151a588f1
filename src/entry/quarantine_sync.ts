/**
 * Shares failed content among hosts: changes go out with the broadcasts of this
 * host, and contents that ended targets and are under quarantine are kept in the
 * store, so that a fleet that restarts as a whole still knows them.
 *
 * @module
 */

import {
  type ContentQuarantine,
  QUARANTINE_LOSSES,
} from "../admission/content_quarantine.ts";
import { isPromptPartId } from "../admission/quarantine_ids.ts";
import type { QuarantineLedger } from "../admission/quarantine_ledger.ts";
import type { ILog } from "../common/logging.ts";
import type { IHostRegistry } from "../ports/services.ts";
import type { LossEntry } from "../ports/types.ts";

/** A shorter quarantine ends before a host that starts could need it. */
const MIN_SAVED_MS = 60_000;
/** How long a prompt part that may be tried again is kept in the store. */
const PART_RETENTION_MS = 600_000;
/** Entries in one broadcast; each takes some 30 bytes of its datagram. */
const MAX_SHARED_ENTRIES = 32;
/** The same for sends that broke off, which are many while targets fail. */
const MAX_SHARED_BREAKS = 16;

export interface QuarantineSyncOptions {
  readonly quarantine: ContentQuarantine;
  readonly registry: IHostRegistry;
  readonly log: ILog;
  /** Only the leader removes records from the store. */
  readonly isLeader: () => boolean;
}

export class QuarantineSync {
  readonly #options: QuarantineSyncOptions;

  constructor(options: QuarantineSyncOptions) {
    this.#options = options;
    const { losses, breaks } = options.quarantine;
    losses.onLoss((entry) => this.#handleLoss(entry));
    breaks.onLoss((entry) => this.#handleBreak(entry));
  }

  lossesToShare(): LossEntry[] {
    return this.#options.quarantine.losses.entriesToShare(MAX_SHARED_ENTRIES);
  }

  breaksToShare(): LossEntry[] {
    return this.#options.quarantine.breaks.entriesToShare(MAX_SHARED_BREAKS);
  }

  /** Merges losses that another host or the store knows. */
  mergeLosses(entries: readonly LossEntry[], source: string): void {
    this.#merge(this.#options.quarantine.losses, entries, source);
  }

  /** Merges broken sends that another host knows. */
  mergeBreaks(entries: readonly LossEntry[], source: string): void {
    this.#merge(this.#options.quarantine.breaks, entries, source);
  }

  #merge(
    ledger: QuarantineLedger,
    entries: readonly LossEntry[],
    source: string,
  ): void {
    const { log, quarantine } = this.#options;
    for (const entry of entries) {
      const { contentId, losses } = entry;
      const wasQuarantined = ledger.isQuarantined(contentId);
      ledger.merge(entry);
      // A host whose sends all fail suspects parts that run elsewhere.
      if (losses > 0 && quarantine.hasRecentProgress(contentId)) {
        quarantine.recordProgress(contentId, Infinity);
      }
      if (!wasQuarantined && ledger.isQuarantined(entry.contentId)) {
        log.info("quarantine learned", {
          content: entry.contentId,
          losses: entry.losses,
          source,
        });
      }
    }
  }

  /**
   * Applies the contents that the store lists. The leader also saves those that
   * the store lacks, and removes those whose quarantine has ended. Rejects when
   * the store fails.
   */
  async synchronize(stored: readonly LossEntry[]): Promise<void> {
    const { quarantine: { losses: ledger }, registry, isLeader } =
      this.#options;
    this.mergeLosses(stored, "store");
    if (!isLeader()) return;
    const storedIds = new Set(stored.map(({ contentId }) => contentId));
    const saved = new Set([
      ...ledger.entriesQuarantinedFor(MIN_SAVED_MS),
      ...ledger.withheldEntries().filter((entry) => this.#isSuspectPart(entry)),
    ]);
    for (const entry of saved) {
      if (!storedIds.has(entry.contentId)) {
        await registry.writeQuarantine(entry);
      }
    }
    for (const { contentId } of stored) {
      if (ledger.isQuarantined(contentId)) continue;
      const isKept = ledger.needsTrial(contentId) &&
        isPromptPartId(contentId) &&
        ledger.sinceHeldMs(contentId) < PART_RETENTION_MS;
      if (!isKept) await registry.removeQuarantine(contentId);
    }
  }

  /**
   * Whether a part ended enough targets to be saved. Its holds are short, so a
   * fleet that restarts as a whole must know how many there were.
   */
  #isSuspectPart({ contentId, losses }: LossEntry): boolean {
    const { quarantine: { losses: ledger } } = this.#options;
    return isPromptPartId(contentId) && losses >= QUARANTINE_LOSSES &&
      ledger.sinceHeldMs(contentId) < PART_RETENTION_MS;
  }

  #handleLoss(entry: LossEntry): void {
    const { quarantine, registry, log } = this.#options;
    const { contentId, losses, totalLosses } = entry;
    const forMs = Math.round(quarantine.losses.quarantinedForMs(contentId));
    if (forMs === 0) return;
    log.warn("content quarantined", {
      content: contentId,
      losses,
      totalLosses,
      forMs,
    });
    if (forMs < MIN_SAVED_MS && !this.#isSuspectPart(entry)) return;
    registry.writeQuarantine(entry).catch((error) =>
      log.info("quarantine not saved; the leader will retry", {
        content: contentId,
        reason: String(error),
      })
    );
  }

  #handleBreak({ contentId, losses }: LossEntry): void {
    const { quarantine, log } = this.#options;
    const forMs = Math.round(quarantine.breaks.quarantinedForMs(contentId));
    if (forMs === 0) return;
    log.warn("content held after broken sends", {
      content: contentId,
      breaks: losses,
      forMs,
    });
  }
}
