/**
 * Followers of the store's configuration and target logs. Both logs are shared
 * with the other hosts of the failure domain.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { IMetrics } from "../common/bucket_metrics.ts";
import type { ILog } from "../common/logging.ts";
import type { EraTracker } from "../feeds/era_tracker.ts";
import {
  KeyedFollower,
  type KeyedFollowerOptions,
} from "../feeds/keyed_follower.ts";
import type { KeepAliveAgent } from "../common/keep_alive_agent.ts";
import { readConfigVersion } from "../forward/delegation.ts";
import { LogTransfer } from "../peers/log_transfer.ts";
import { LogResponder } from "../peers/log_responder.ts";
import type { PeerLink } from "../peers/peer_link.ts";
import { SharedLog } from "../peers/shared_log.ts";
import type { IKeyedLog } from "../ports/services.ts";
import type { HostRecord, KeyedRecord } from "../ports/types.ts";

/** How long a read waits for a record; limits the age of the watermark. */
const READ_WAIT_MS = 900;
/**
 * Delay between reads of the target log. A leaving target must receive no
 * requests after two seconds.
 */
const TARGET_PAUSE_MS = 700;

export interface StoreFeedsOptions {
  readonly configLog: IKeyedLog;
  readonly targetLog: IKeyedLog;
  readonly link: PeerLink;
  /** Connections to other hosts. */
  readonly hostAgent: KeepAliveAgent;
  readonly eras: EraTracker;
  readonly clock: Clock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  /**
   * The host that reads the store on behalf of this one; undefined if this host
   * reads it.
   */
  readonly reader: () => HostRecord | undefined;
  readonly random: () => number;
  /** Whether a record is a configuration at least as new as the one in force. */
  readonly isNewestConfig?: (record: KeyedRecord) => boolean;
}

/** Follows both logs and answers other hosts' queries about them. */
export class StoreFeeds {
  readonly #options: StoreFeedsOptions;
  readonly #responder: LogResponder;
  /** Passes large records on to other hosts. */
  readonly transfer: LogTransfer;
  readonly #configLog: SharedLog;
  readonly #targetLog: SharedLog;
  readonly config: KeyedFollower;
  readonly targets: KeyedFollower;

  constructor(options: StoreFeedsOptions) {
    this.#options = options;
    const { configLog, targetLog, clock, link } = options;
    const { log, hostAgent: agent } = options;
    const responder = this.#responder = new LogResponder({ clock });
    this.transfer = new LogTransfer({
      responder,
      agent,
      log,
      isDelegated: (headers) => readConfigVersion(headers) !== undefined,
    });
    this.#configLog = this.#share("config", configLog, READ_WAIT_MS);
    // Target heartbeats would end each wait at once, so reads do not wait.
    this.#targetLog = this.#share("targets", targetLog, 0);
    this.config = this.#follow({
      name: "config",
      log: this.#configLog,
      pauseMs: 0,
      // Each configuration is complete, so the newest one makes up for all.
      isRewritten: options.isNewestConfig,
    });
    this.targets = this.#follow({
      name: "targets",
      log: this.#targetLog,
      pauseMs: TARGET_PAUSE_MS,
    });
    link.onQuery(({ query, reply }) => this.#responder.handle(query, reply));
  }

  /** Whether this host's last reads of both logs from the store succeeded. */
  get isStoreReachable(): boolean {
    return this.#configLog.isSourceReachable &&
      this.#targetLog.isSourceReachable;
  }

  #share(name: string, source: IKeyedLog, sourceWaitMs: number): SharedLog {
    const { link, clock, metrics, reader, eras } = this.#options;
    return new SharedLog({
      era: () => eras.current,
      name,
      source,
      sourceWaitMs,
      ask: (...query) => link.queryLog(...query),
      fetch: (...query) => this.transfer.fetch(...query),
      clock,
      metrics,
      reader,
    });
  }

  #follow(
    { log: source, ...feed }:
      & Pick<KeyedFollowerOptions, "name" | "pauseMs" | "isRewritten">
      & { readonly log: SharedLog },
  ): KeyedFollower {
    const { clock, log, random, eras } = this.#options;
    const follower = new KeyedFollower({
      ...feed,
      source,
      waitMs: READ_WAIT_MS,
      eras,
      clock,
      log,
      random,
    });
    this.#responder.add(feed.name, follower, () => source.isSourceReachable);
    source.onSourceFailure(() => this.#responder.rejectPending(feed.name));
    return follower;
  }
}
