import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { BucketMetrics } from "../common/bucket_metrics.ts";
import { silentLog } from "../common/logging.ts";
import { EraTracker } from "../feeds/era_tracker.ts";
import { KeyedFollower } from "../feeds/keyed_follower.ts";
import type { IKeyedLog } from "../ports/services.ts";
import type { HostRecord, KeyedRead } from "../ports/types.ts";
import { LogResponder } from "./log_responder.ts";
import { SharedLog } from "./shared_log.ts";

const WAIT_MS = 900;
/** Age of the configuration at which a host becomes unready. */
const UNREADY_AGE_MS = 2_500;

/** Three hosts: each asks the one before it; the first reads the log. */
class HostChain {
  readonly clock = new ManualClock();
  readonly stop = new AbortController();
  readonly followers: KeyedFollower[] = [];
  readonly responders: LogResponder[] = [];
  /** Hosts whose reads of the log fail. */
  readonly refused = new Set<number>();
  sourceReads = 0;

  constructor() {
    for (let i = 0; i < 3; i++) this.#addHost(i);
    for (const follower of this.followers) void follower.run(this.stop.signal);
  }

  #addHost(index: number): void {
    const { clock } = this;
    const eras = new EraTracker({ clock, log: silentLog });
    const log: SharedLog = new SharedLog({
      era: () => eras.current,
      name: "test",
      source: this.#sourceOf(index),
      sourceWaitMs: WAIT_MS,
      ask: (host, query, timeoutMs) =>
        Promise.race([
          new Promise<never>((resolve) =>
            this.responders[host.port].handle(
              { ...query, id: 1 },
              ({ read }) => resolve(read as never),
            )
          ),
          clock.sleep(timeoutMs).then(() => undefined),
        ]),
      clock,
      metrics: new BucketMetrics(),
      reader: () => this.#readerOf(index, log),
    });
    const follower = new KeyedFollower({
      name: "test",
      source: log,
      waitMs: WAIT_MS,
      pauseMs: 0,
      eras,
      clock,
      log: silentLog,
      random: () => 1,
    });
    const responder = new LogResponder({ clock });
    responder.add("test", follower, () => log.isSourceReachable);

    log.onSourceFailure(() => responder.rejectPending("test"));
    this.followers.push(follower);
    this.responders.push(responder);
  }

  /** The first host asks the second as soon as its own reads fail. */
  #readerOf(index: number, log: SharedLog): HostRecord | undefined {
    const isFirst = index === 0;
    if (isFirst && log.isSourceReachable) return undefined;
    const port = isFirst ? 1 : index - 1;
    return { id: `host-${port}`, domain: "a", ip: "10.0.0.1", port, bornMs: 0 };
  }

  #sourceOf(index: number): IKeyedLog {
    const check = (): void => {
      this.sourceReads++;
      if (this.refused.has(index)) throw new Error("refused");
    };
    return {
      newest: async () => {
        await this.clock.sleep(4);
        check();
        return { records: [], nextOffset: 0 };
      },
      read: async (fromOffset, waitMs): Promise<KeyedRead> => {
        // A refusal comes at once; a read that is waiting is reset as well.
        const untilMs = this.clock.nowMs() + Math.max(4, waitMs);
        do {
          await this.clock.sleep(4);
          if (this.refused.has(index)) break;
        } while (this.clock.nowMs() < untilMs);
        check();
        return {
          kind: "records",
          records: [],
          nextOffset: fromOffset,
          isComplete: true,
        };
      },
    };
  }
}

test("no host becomes unready when the store refuses the host that reads for all", async () => {
  for (let phaseMs = 0; phaseMs < 1_800; phaseMs += 100) {
    const chain = new HostChain();
    await chain.clock.advance(4_000 + phaseMs);
    chain.refused.add(0);
    const readsBefore = chain.sourceReads;
    let worstMs = 0;
    for (let i = 0; i < 160; i++) {
      await chain.clock.advance(25);
      const agesMs = chain.followers.map(({ ageMs }) => ageMs);
      worstMs = Math.max(worstMs, ...agesMs);
    }
    expect(worstMs).toBeLessThan(UNREADY_AGE_MS);
    // Two hosts with access, in 4 s: reads of 0.9 s, and a few after the failure.
    expect(chain.sourceReads - readsBefore).toBeLessThan(20);
    chain.stop.abort();
  }
});
