/**
 * Tells a target that ended while it ran a request from a connection that
 * merely broke. A process can end in several ways, so a target is observed for
 * some seconds after a send failed there: its port may refuse connections, its
 * record may name a later start or disappear, another process may be at its
 * address.
 *
 * @module
 */

import { connect } from "node:net";
import type { IMetrics } from "../common/bucket_metrics.ts";
import type { Clock } from "../common/clock.ts";
import { type Deferred, deferred } from "../common/deferred.ts";
import { countControlCall } from "../paths/control_calls.ts";
import type { Target } from "../paths/target.ts";
import type { TargetTable } from "../paths/target_table.ts";
import type { Endpoint } from "../ports/types.ts";
import { parseAddress } from "./address.ts";

/** A connection is accepted or refused within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 50;
/**
 * How long the refusal of a port stands for other sends that failed at the same
 * process. One that restarts takes two seconds at least, while its record may
 * name the earlier process for longer. A port that accepts is checked for each
 * send, since its process may have ended in between.
 */
const REFUSAL_TTL_MS = 250;
/** Pauses before the checks of a port; a process that ends may close it late. */
const CHECK_PAUSES_MS = [0, 60, 140, 400];
/**
 * How long a target is observed. The record of one that fell silent is removed
 * after three heartbeats, of 1.2 s each.
 */
const OBSERVATION_MS = 6_000;

/** A process of a target: a later start has a later time. */
export interface TargetProcess {
  readonly targetId: string;
  readonly address: string;
  /** Wall-clock start time as the target reports it; 0 if it does not. */
  readonly bornMs: number;
}

/** What the port of a target does with a new connection. */
export type PortState = "refuses" | "accepts" | "silent";

/** Why a target is known to have ended. */
export type EndEvidence =
  | "port-refuses"
  | "restarted"
  | "deregistered"
  | "address-reused";

export interface Observation {
  /** Resolves with the first check of the port; undefined without checks. */
  readonly firstCheck: Promise<PortState | undefined>;
  /** Resolves to undefined if the target is not known to have ended. */
  readonly evidence: Promise<EndEvidence | undefined>;
}

export interface LossDetectorOptions {
  readonly clock: Clock;
  readonly targets: TargetTable;
  /**
   * Whether this host is cut off from all targets of a service, so that a refused connection
   * says nothing about its target.
   */
  readonly confirmCutOff: (service: string) => Promise<boolean>;
  /** Local address of connections; by default, the system's choice. */
  readonly localAddress?: string;
  readonly metrics?: Pick<IMetrics, "count">;
}

/** One failed send that waits for evidence. */
interface Observer {
  readonly untilMs: number;
  readonly evidence: Deferred<EndEvidence | undefined>;
}

interface Watch {
  readonly process: TargetProcess;
  /** In the order of their times. */
  readonly observers: Observer[];
  /** Aborts the pauses before the next checks of the port. */
  pauses: AbortController;
  pendingCheck: Promise<PortState> | undefined;
}

/**
 * Observations of the same process share their evidence and connections. Each ends
 * at its own time, also at a target that goes on failing.
 */
export class LossDetector {
  readonly #clock: Clock;
  readonly #targets: TargetTable;
  readonly #localAddress: string | undefined;
  readonly #metrics: LossDetectorOptions["metrics"];
  readonly #confirmCutOff: LossDetectorOptions["confirmCutOff"];
  readonly #watches = new Map<string, Watch>();
  /** When the ports of processes that ended refused a connection. */
  readonly #refusedMs = new Map<string, number>();

  constructor(options: LossDetectorOptions) {
    const { clock, targets } = options;
    this.#clock = clock;
    this.#targets = targets;
    this.#localAddress = options.localAddress;
    this.#metrics = options.metrics;
    this.#confirmCutOff = options.confirmCutOff;
    targets.onChange((target) => this.#handleChange(target));
  }

  /** Observes a target after a send failed there. */
  observe(
    process: TargetProcess,
    { checksPort }: { readonly checksPort: boolean },
  ): Observation {
    if (checksPort && this.#hasRefused(process)) {
      return {
        firstCheck: Promise.resolve("refuses"),
        evidence: Promise.resolve("port-refuses"),
      };
    }
    const { watch, observer } = this.#watch(process);
    const firstCheck = checksPort
      ? this.#checkPort(watch)
      : Promise.resolve(undefined);
    if (this.#targets.hasVanished(process.targetId, process.bornMs)) {
      this.#resolve(watch, "deregistered");
    }
    for (const target of this.#targets.all()) this.#compare(watch, target);
    return { firstCheck, evidence: observer.evidence.promise };
  }

  /** Another process than this one responded at its address. */
  recordReplaced({ targetId, bornMs }: Omit<TargetProcess, "address">): void {
    const watch = this.#watches.get(watchKey({ targetId, bornMs }));
    if (watch !== undefined) this.#resolve(watch, "address-reused");
  }

  #watch(
    process: TargetProcess,
  ): { readonly watch: Watch; readonly observer: Observer } {
    const observer: Observer = {
      untilMs: this.#clock.nowMs() + OBSERVATION_MS,
      evidence: deferred(),
    };
    const key = watchKey(process);
    const known = this.#watches.get(key);
    if (known !== undefined) {
      known.observers.push(observer);
      return { watch: known, observer };
    }
    const watch: Watch = {
      process,
      observers: [observer],
      pauses: new AbortController(),
      pendingCheck: undefined,
    };
    this.#watches.set(key, watch);
    void this.#expire(watch);
    return { watch, observer };
  }

  /** Ends each observation at its time, and the watch with the last one. */
  async #expire(watch: Watch): Promise<void> {
    const { observers } = watch;
    while (this.#isOpen(watch) && observers.length > 0) {
      await this.#clock.sleep(observers[0].untilMs - this.#clock.nowMs());
      const nowMs = this.#clock.nowMs();
      while (observers.length > 0 && observers[0].untilMs <= nowMs) {
        observers.shift()?.evidence.resolve(undefined);
      }
    }
    if (this.#isOpen(watch)) this.#resolve(watch, undefined);
  }

  #hasRefused(process: TargetProcess): boolean {
    const sinceMs = this.#clock.nowMs() - REFUSAL_TTL_MS;
    for (const [key, atMs] of this.#refusedMs) {
      if (atMs < sinceMs) this.#refusedMs.delete(key);
    }
    return this.#refusedMs.has(watchKey(process));
  }

  #isOpen(watch: Watch): boolean {
    return this.#watches.get(watchKey(watch.process)) === watch;
  }

  #resolve(watch: Watch, evidence: EndEvidence | undefined): void {
    watch.pauses.abort();
    for (const observer of watch.observers) observer.evidence.resolve(evidence);
    watch.observers.length = 0;
    if (this.#isOpen(watch)) this.#watches.delete(watchKey(watch.process));
  }

  /** Checks the port now and a few times later; resolves with the first state. */
  #checkPort(watch: Watch): Promise<PortState> {
    watch.pauses.abort();
    watch.pauses = new AbortController();
    const { signal } = watch.pauses;
    const first = this.#checkOnce(watch);
    void (async () => {
      for (const pauseMs of CHECK_PAUSES_MS.slice(1)) {
        await this.#clock.sleep(pauseMs, signal);
        if (signal.aborted) return;
        await this.#checkOnce(watch);
      }
    })();
    return first;
  }

  #checkOnce(watch: Watch): Promise<PortState> {
    watch.pendingCheck ??= this.#connect(watch).finally(() =>
      watch.pendingCheck = undefined
    );
    return watch.pendingCheck;
  }

  async #connect(watch: Watch): Promise<PortState> {
    countControlCall(this.#metrics, { call: "port", purpose: "failed-send" });
    const state = await connectOnce({
      ...parseAddress(watch.process.address),
      localAddress: this.#localAddress,
    });
    if (state !== "refuses") return state;
    const target = this.#targets.get(watch.process.targetId);
    const isCutOff = target !== undefined &&
      await this.#confirmCutOff(target.record.service);
    if (isCutOff) return "silent";
    this.#refusedMs.set(watchKey(watch.process), this.#clock.nowMs());
    this.#resolve(watch, "port-refuses");
    return state;
  }

  #handleChange(target: Target): void {
    for (const watch of [...this.#watches.values()]) {
      this.#compare(watch, target);
    }
  }

  #compare(watch: Watch, { record, isRemoved }: Target): void {
    const { targetId, address, bornMs } = watch.process;
    if (this.#targets.hasVanished(targetId, bornMs)) {
      this.#resolve(watch, "deregistered");
    }
    if (isRemoved || record.bornMs <= bornMs) return;
    if (record.id === targetId) this.#resolve(watch, "restarted");
    else if (record.address === address) {
      this.#resolve(watch, "address-reused");
    }
  }
}

function watchKey(
  { targetId, bornMs }: Omit<TargetProcess, "address">,
): string {
  return `${targetId} ${bornMs}`;
}

function connectOnce(
  { ip, port, localAddress }: Endpoint & { readonly localAddress?: string },
): Promise<PortState> {
  return new Promise((resolve) => {
    const socket = connect({ host: ip, port, localAddress });
    const finish = (state: PortState): void => {
      socket.destroy();
      resolve(state);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish("silent"));
    socket.on("connect", () => finish("accepts"));
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) =>
        finish(error.code === "ECONNREFUSED" ? "refuses" : "silent"),
    );
  });
}
