/**
 * Applies the store's target records to the target table. A malformed record
 * counts as a deletion of its target; other targets are not affected.
 *
 * @module
 */

import type { ILog } from "../common/logging.ts";
import type { KeyedBatch } from "../feeds/keyed_follower.ts";
import type { TargetTable } from "../paths/target_table.ts";
import type { IRecordDecoder } from "../ports/services.ts";
import type { KeyedRecord, TargetRecord } from "../ports/types.ts";

/**
 * Targets whose records expired during an outage register again within 2 s of
 * its end.
 */
const REREGISTRATION_MS = 2_000;

export interface TargetFeedOptions {
  readonly targets: TargetTable;
  readonly decoder: IRecordDecoder;
  readonly log: ILog;
  /** Time since the store's last outage ended. */
  readonly sinceRecoveryMs: () => number;
  /** Whether records that the store lost are expected to be back. */
  readonly isEraSettled: () => boolean;
}

export class TargetFeed {
  readonly #options: TargetFeedOptions;
  readonly #unreadable = new Set<string>();

  constructor(options: TargetFeedOptions) {
    this.#options = options;
  }

  apply(batch: KeyedBatch): void {
    const { targets, sinceRecoveryMs, isEraSettled } = this.#options;
    const isStoreStable = sinceRecoveryMs() >= REREGISTRATION_MS &&
      isEraSettled();
    if (batch.isRestored === true) {
      this.#merge(batch);
      return;
    }
    if (batch.isSnapshot) {
      const records = batch.records.flatMap((record) =>
        this.#decode(record) ?? []
      );
      targets.replaceAll(records, isStoreStable);
      return;
    }
    for (const record of batch.records) {
      const target = this.#decode(record);
      if (target === undefined) {
        targets.remove(record.key, isStoreStable || record.value !== undefined);
      } else targets.put(target);
    }
    targets.sweep();
  }

  /** Merges a copy of the store that is older than what this host knows. */
  #merge({ records }: KeyedBatch): void {
    const { targets } = this.#options;
    const restored = records.flatMap((record) => this.#decode(record) ?? []);
    const present = new Set(restored.map(({ id }) => id));
    for (const { id } of targets.all()) {
      if (!present.has(id)) targets.remove(id, false);
    }
    for (const record of restored) targets.putRestored(record);
  }

  #decode(record: KeyedRecord): TargetRecord | undefined {
    if (record.value === undefined) return undefined;
    const target = this.#options.decoder.target(record.key, record.value);
    if (typeof target !== "string") {
      this.#unreadable.delete(record.key);
      return target;
    }
    // A faulty writer repeats its record with each heartbeat; log it once.
    if (!this.#unreadable.has(record.key)) {
      this.#unreadable.add(record.key);
      this.#options.log.warn("failed to decode target record", {
        target: record.key,
        reason: target,
      });
    }
    return undefined;
  }
}
