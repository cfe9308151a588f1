/**
 * One run: hosts as processes, back ends behind proxies, callers, and the
 * troubles of a schedule; then a quiet time, and the check of all promises.
 *
 * @module
 */

import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { systemClock } from "../src/common/clock.ts";
import { seededRandom } from "../src/common/random.ts";
import type { ServerMode } from "../standins/users_platform/model_server.ts";
import type { StoreFault } from "../standins/users_platform/store_standin.ts";
import { type BackEnd, BackEnds } from "./back_ends.ts";
import { Callers } from "./callers.ts";
import { HostProcess } from "./host_process.ts";
import { findViolations } from "./invariants.ts";
import { drawSchedule } from "./schedule.ts";
import {
  BOUNDS,
  CHECKED_RECOVERY_MS,
  DOMAINS,
  HOST_COUNT,
  MODEL_SERVER_COUNT,
  PLAIN_SERVER_COUNT,
  STARTUP_TIMEOUT_MS,
} from "./settings.ts";
import type { Fault, FaultKind, History, Interval } from "./types.ts";

/** Delay of a slow connection, each way. */
const SLOW_DELAY_MS = 40;
const POLL_INTERVAL_MS = 50;
/** Work of callers that have gone is cancelled within this time. */
const CANCEL_TIMEOUT_MS = 1_000;

const SERVER_MODES: Partial<Record<FaultKind, ServerMode>> = {
  "server-errors": "error",
  "server-refuses": "shed",
  "server-cuts": "cut",
};
const STORE_FAULTS: Partial<Record<FaultKind, StoreFault>> = {
  "store-silent": "silent",
  "store-busy": "busy",
  "store-reset": "reset",
};

/** Options of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly faultPhaseMs: number;
}

/** What came of a run. */
export interface SoakOutcome {
  readonly seed: number;
  readonly schedule: readonly Fault[];
  readonly violations: readonly string[];
  readonly attempts: number;
  readonly complete: number;
  /** Logs of the hosts; removed where nothing was broken. */
  readonly folder: string;
}

/** Runs one seed. */
export class SoakRun {
  readonly #options: SoakOptions;
  readonly #backEnds = new BackEnds();
  readonly #folder: string;
  readonly #hosts: HostProcess[] = [];
  readonly #storeFaults: Interval[] = [];
  #storeFaultStartMs = 0;
  /** Troubles of one thing that last at the same time; it is sound when none is left. */
  readonly #activeFaults = new Map<unknown, number>();

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#folder = mkdtempSync(join(tmpdir(), `soak-${options.seed}-`));
  }

  /** Ends the hosts at once; for a run that is broken off. */
  killHosts(): void {
    for (const host of this.#hosts) host.signal("SIGKILL");
  }

  async run(): Promise<SoakOutcome> {
    const { seed, faultPhaseMs: troubleMs } = this.#options;
    const schedule = drawSchedule({
      seed,
      faultPhaseMs: troubleMs,
      hosts: HOST_COUNT,
      servers: MODEL_SERVER_COUNT + PLAIN_SERVER_COUNT,
      plainServers: PLAIN_SERVER_COUNT,
    });
    await this.#backEnds.start();
    this.#startHosts();
    const callers = new Callers({
      hosts: this.#hosts,
      random: seededRandom(seed),
    });
    try {
      callers.startProbing();
      await this.#waitUntilReady(callers);
      callers.start();
      const startMs = performance.now();
      await Promise.all(
        schedule.map((fault) => this.#injectFault(fault, startMs)),
      );
      this.#backEnds.restoreKey();
      const quietFromMs = performance.now();
      await systemClock.sleep(BOUNDS.recoveryMs + CHECKED_RECOVERY_MS);
      await callers.stop();
      const leftStreams = await this.#waitUntilCancelled();
      const history = this.#collectHistory(callers, quietFromMs, leftStreams);
      const broken = findViolations(history, BOUNDS);
      if (broken.length === 0) rmSync(this.#folder, { recursive: true });
      return {
        seed,
        schedule,
        violations: broken,
        attempts: callers.attempts.length,
        complete: callers.attempts.filter(({ status, isWhole }) =>
          status === 200 && isWhole
        ).length,
        folder: this.#folder,
      };
    } finally {
      await callers.stop();
      await this.#dispose();
    }
  }

  #startHosts(): void {
    // Addresses that no other run on this machine uses at the same time.
    const [high, low] = [process.pid >> 8 & 0xff, process.pid & 0xff];
    for (let i = 0; i < HOST_COUNT; i++) {
      const host = new HostProcess({
        name: `host-${i}`,
        domain: DOMAINS[i % DOMAINS.length],
        ip: `127.${1 + high % 250}.${low}.${i + 1}`,
        storeAddress: this.#backEnds.storeProxy.address,
        folder: this.#folder,
        bounds: {
          "revoke-ms": BOUNDS.revokeMs,
          "drain-ms": BOUNDS.drainMs,
          "grace-s": 8,
          "retry-ratio": BOUNDS.retryRatio,
          "retry-window-s": BOUNDS.retryWindowMs / 1_000,
          "retry-slack": BOUNDS.retrySlack,
          "stall_ms": 3_000,
        },
      });
      host.start();
      this.#hosts.push(host);
    }
  }

  async #waitUntilReady(callers: Callers): Promise<void> {
    const endMs = performance.now() + STARTUP_TIMEOUT_MS;
    while (!this.#backEnds.isModelPlaced || callers.readyHosts < HOST_COUNT) {
      if (performance.now() > endMs) {
        throw new Error(
          `not ready after ${STARTUP_TIMEOUT_MS} ms; see ${this.#folder}`,
        );
      }
      await systemClock.sleep(POLL_INTERVAL_MS);
    }
    // The records that tell of the placement are read.
    await systemClock.sleep(1_500);
  }

  async #waitUntilCancelled(): Promise<number> {
    const endMs = performance.now() + CANCEL_TIMEOUT_MS;
    while (this.#backEnds.activeStreams > 0 && performance.now() < endMs) {
      await systemClock.sleep(POLL_INTERVAL_MS);
    }
    return this.#backEnds.activeStreams;
  }

  async #injectFault(fault: Fault, startMs: number): Promise<void> {
    const until = (atMs: number) =>
      systemClock.sleep(Math.max(0, startMs + atMs - performance.now()));
    await until(fault.startMs);
    if (fault.kind.startsWith("host-")) {
      await this.#injectHostFault(this.#hosts[fault.index], fault, until);
    } else if (fault.kind.startsWith("server-")) {
      const backEnd = this.#backEnds.servers[fault.index];
      if (fault.kind === "server-leaves") {
        await this.#backEnds.deregisterFor(
          backEnd,
          fault.endMs - fault.startMs,
        );
      } else await this.#injectServerFault(backEnd, fault, until);
    } else await this.#injectStoreFault(fault, until);
  }

  async #injectHostFault(
    host: HostProcess,
    { kind, endMs }: Fault,
    until: (atMs: number) => Promise<void>,
  ): Promise<void> {
    if (kind === "host-reload") host.signal("SIGHUP");
    else if (kind === "host-clock-jump") host.signal("SIGUSR2");
    else if (kind === "host-pause") {
      host.signal("SIGSTOP");
      await until(endMs);
      host.signal("SIGCONT");
    } else {
      host.signal(kind === "host-kill" ? "SIGKILL" : "SIGTERM");
      // A paused host would not see a request to stop.
      host.signal("SIGCONT");
      await host.waitForExit();
      await until(endMs);
      if (!host.isRunning) host.start();
    }
  }

  async #injectServerFault(
    { server, proxy }: BackEnd,
    { kind, endMs }: Fault,
    until: (atMs: number) => Promise<void>,
  ): Promise<void> {
    const mode = SERVER_MODES[kind];
    if (kind === "server-reset") {
      proxy.reset();
      return;
    }
    this.#beginFault(server);
    if (mode !== undefined) server.mode = mode;
    if (kind === "server-silent") proxy.dropsAll = true;
    if (kind === "server-delay") proxy.delayMs = SLOW_DELAY_MS;
    if (kind === "server-answers-lost") proxy.dropsAnswers = true;
    await until(endMs);
    if (!this.#endFault(server)) return;
    server.mode = "good";
    proxy.clearFaults();
  }

  async #injectStoreFault(
    { kind, endMs }: Fault,
    until: (atMs: number) => Promise<void>,
  ): Promise<void> {
    const { store, storeProxy } = this.#backEnds;
    if (kind === "config-written") {
      this.#backEnds.writeConfig();
      return;
    }
    const isUnseen = kind === "key-revoked-unseen";
    if (isUnseen) {
      this.#beginStoreFault();
      store.fault = "silent";
    }
    if (isUnseen || kind === "key-revoked") {
      this.#backEnds.revokeKey();
      await until(endMs);
      this.#backEnds.restoreKey();
      if (isUnseen) this.#endStoreFault();
      return;
    }
    this.#beginStoreFault();
    const storeFault = STORE_FAULTS[kind];
    if (storeFault !== undefined) store.fault = storeFault;
    if (kind === "store-delay") storeProxy.delayMs = SLOW_DELAY_MS;
    await until(endMs);
    this.#endStoreFault();
  }

  #beginStoreFault(): void {
    const { store } = this.#backEnds;
    if ((this.#activeFaults.get(store) ?? 0) === 0) {
      this.#storeFaultStartMs = performance.now();
    }
    this.#beginFault(store);
  }

  #endStoreFault(): void {
    const { store, storeProxy } = this.#backEnds;
    if (!this.#endFault(store)) return;
    const startMs = this.#storeFaultStartMs;
    this.#storeFaults.push({ startMs, endMs: performance.now() });
    store.fault = "none";
    storeProxy.clearFaults();
  }

  #beginFault(what: unknown): void {
    this.#activeFaults.set(what, (this.#activeFaults.get(what) ?? 0) + 1);
  }

  #endFault(what: unknown): boolean {
    const left = (this.#activeFaults.get(what) ?? 1) - 1;
    this.#activeFaults.set(what, left);
    return left === 0;
  }

  #collectHistory(
    callers: Callers,
    quietFromMs: number,
    leftStreams: number,
  ): History {
    const { servers, revocations, absences } = this.#backEnds;
    return {
      attempts: callers.attempts,
      executions: servers.flatMap(({ server }) =>
        server.executions.map(({ requestId, atMs }) => ({
          attemptId: requestId,
          serverId: server.id,
          atMs,
        }))
      ),
      orders: servers.flatMap(({ server }) =>
        server.orders.map((order) => ({ serverId: server.id, order }))
      ),
      revocations,
      absences,
      storeFaults: this.#storeFaults,
      faultsEndMs: quietFromMs,
      leakedStreams: leftStreams,
    };
  }

  async #dispose(): Promise<void> {
    for (const host of this.#hosts) {
      host.signal("SIGKILL");
      await host.waitForExit();
    }
    this.#backEnds.dispose();
  }
}
