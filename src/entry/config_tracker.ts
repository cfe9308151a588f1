/**
 * Holds the newest configuration. Versions never go back within a process,
 * whatever order records come in.
 *
 * @module
 */

import { Emitter, type Event } from "../common/emitter.ts";
import type { ILog } from "../common/logging.ts";
import type { KeyedBatch } from "../feeds/keyed_follower.ts";
import { RouteTable } from "../forward/route_table.ts";
import type { IRecordDecoder } from "../ports/services.ts";

/** Options of a keeper. */
export interface ConfigTrackerOptions {
  readonly decoder: IRecordDecoder;
  readonly log: ILog;
}

/** The configuration in force at this host. */
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

  /** Takes records in the order of the log; all but the newest are skipped. */
  apply(batch: KeyedBatch): void {
    const { decoder, log } = this.#options;
    const values = batch.records.filter(({ key }) => key === decoder.configKey);
    for (const { value } of values.reverse()) {
      if (value === undefined) continue;
      const config = decoder.config(value);
      if (typeof config === "string") {
        log.error("configuration unreadable", {
          reason: config,
          bytes: value.length,
        });
        continue;
      }
      const version = this.#table?.config.version ?? -1;
      if (config.version > version) {
        this.#table = new RouteTable(config);
        log.info("configuration in force", {
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
