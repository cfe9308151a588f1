/**
 * The two logs of the store that a host follows, configuration and targets,
 * shared with the other hosts of its failure domain.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { IMetrics } from "../common/light_metrics.ts";
import type { ILog } from "../common/logging.ts";
import { KeyedFollower } from "../feeds/keyed_follower.ts";
import { LogResponder } from "../peers/log_responder.ts";
import type { PeerLink } from "../peers/peer_link.ts";
import { SharedLog } from "../peers/shared_log.ts";
import type { IKeyedLog } from "../ports/services.ts";
import type { HostRecord } from "../ports/types.ts";

/** A read waits this long for a record; it bounds the age of the proof. */
const READ_WAIT_MS = 900;
/** Pause between reads of the targets' records; a leaving target gets nothing after two seconds. */
const TARGET_PAUSE_MS = 700;

/** Options of the feeds. */
export interface StoreFeedsOptions {
  readonly configLog: IKeyedLog;
  readonly targetLog: IKeyedLog;
  readonly link: PeerLink;
  readonly clock: Clock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  /** The host that reads the store for this one; undefined where none does. */
  readonly reader: () => HostRecord | undefined;
  readonly random: () => number;
}

/** Follows both logs and answers for them. */
export class StoreFeeds {
  readonly #options: StoreFeedsOptions;
  readonly #responder: LogResponder;
  readonly #configLog: SharedLog;
  readonly #targetLog: SharedLog;
  readonly config: KeyedFollower;
  readonly targets: KeyedFollower;

  constructor(options: StoreFeedsOptions) {
    this.#options = options;
    const { configLog, targetLog, clock, link } = options;
    this.#responder = new LogResponder({ clock });
    this.#configLog = this.#share("config", configLog, READ_WAIT_MS);
    // Heartbeats of targets end each wait at once, so none is asked for.
    this.#targetLog = this.#share("targets", targetLog, 0);
    this.config = this.#follow("config", this.#configLog, 0);
    this.targets = this.#follow("targets", this.#targetLog, TARGET_PAUSE_MS);
    link.onQuery(({ query: question, reply }) =>
      this.#responder.handle(question, reply)
    );
  }

  /** Whether the store answers this host's reads of both logs. */
  get isStoreReachable(): boolean {
    return this.#configLog.isSourceReachable &&
      this.#targetLog.isSourceReachable;
  }

  #share(name: string, source: IKeyedLog, sourceWaitMs: number): SharedLog {
    const { link, clock, metrics, reader } = this.#options;
    return new SharedLog({
      name,
      source,
      sourceWaitMs,
      ask: (...question) => link.queryLog(...question),
      clock,
      metrics,
      reader,
    });
  }

  #follow(name: string, source: IKeyedLog, pauseMs: number): KeyedFollower {
    const { clock, log, random } = this.#options;
    const follower = new KeyedFollower({
      name,
      source,
      waitMs: READ_WAIT_MS,
      pauseMs,
      clock,
      log,
      random,
    });
    this.#responder.add(name, follower);
    return follower;
  }
}
