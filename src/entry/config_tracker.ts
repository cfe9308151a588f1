/**
 * Holds the newest configuration. Within a process the version never decreases,
 * in whatever order records arrive.
 *
 * @module
 */

import { Emitter, type Event } from "../common/emitter.ts";
import type { ILog } from "../common/logging.ts";
import type { KeyedBatch } from "../feeds/keyed_follower.ts";
import { RouteTable } from "../forward/route_table.ts";
import type { IRecordDecoder } from "../ports/services.ts";
import type { KeyedRecord } from "../ports/types.ts";

export interface ConfigTrackerOptions {
  readonly decoder: IRecordDecoder;
  readonly log: ILog;
}

/** The configuration that is active on this host. */
export class ConfigTracker {
  readonly #options: ConfigTrackerOptions;
  readonly #onChange = new Emitter<RouteTable>();
  #table: RouteTable | undefined;

  readonly onChange: Event<RouteTable> = this.#onChange.event;

  constructor(options: ConfigTrackerOptions) {
    this.#options = options;
  }

  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Whether a record holds a configuration at least as new as the one in force. */
  isNewest({ key, value }: KeyedRecord): boolean {
    const { decoder } = this.#options;
    if (key !== decoder.configKey || value === undefined) return false;
    const config = decoder.config(value);
    return typeof config !== "string" &&
      config.version >= (this.#table?.config.version ?? -1);
  }

  /**
   * Applies the last valid configuration of a batch, if its version is newer;
   * earlier records are skipped.
   */
  apply(batch: KeyedBatch): void {
    const { decoder, log } = this.#options;
    const values = batch.records.filter(({ key }) => key === decoder.configKey);
    for (const { value } of values.reverse()) {
      if (value === undefined) continue;
      const config = decoder.config(value);
      if (typeof config === "string") {
        log.error("failed to decode configuration record", {
          reason: config,
          bytes: value.length,
        });
        continue;
      }
      const version = this.#table?.config.version ?? -1;
      if (config.version > version) {
        this.#table = new RouteTable(config);
        log.info("configuration applied", {
          version: config.version,
          previousVersion: version,
          routes: config.routes.length,
          keys: config.customersByKey?.size,
        });
        this.#onChange.fire(this.#table);
      }
      return;
    }
  }
}
