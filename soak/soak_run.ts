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
import { findBroken } from "./promises.ts";
import { drawSchedule } from "./schedule.ts";
import {
  BOUNDS,
  CHECKED_QUIET_MS,
  DOMAINS,
  HOSTS,
  MODEL_SERVERS,
  PLAIN_SERVERS,
  START_MS,
} from "./settings.ts";
import type { Fault, FaultKind, History, Interval } from "./types.ts";

/** Delay of a slow connection, each way. */
const SLOW_MS = 40;
const LOOK_MS = 50;
/** Work of callers that have gone is cancelled within this time. */
const CANCEL_MS = 1_000;

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
  readonly troubleMs: number;
}

/** What came of a run. */
export interface SoakOutcome {
  readonly seed: number;
  readonly schedule: readonly Fault[];
  readonly broken: readonly string[];
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
  readonly #storeTroubles: Interval[] = [];
  #storeTroubledMs = 0;
  /** Troubles of one thing that last at the same time; it is sound when none is left. */
  readonly #active = new Map<unknown, number>();

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#folder = mkdtempSync(join(tmpdir(), `soak-${options.seed}-`));
  }

  /** Ends the hosts at once; for a run that is broken off. */
  killHosts(): void {
    for (const host of this.#hosts) host.signal("SIGKILL");
  }

  async run(): Promise<SoakOutcome> {
    const { seed, troubleMs } = this.#options;
    const schedule = drawSchedule({
      seed,
      troubleMs,
      hosts: HOSTS,
      servers: MODEL_SERVERS + PLAIN_SERVERS,
      plainServers: PLAIN_SERVERS,
    });
    await this.#backEnds.start();
    this.#startHosts();
    const callers = new Callers({
      hosts: this.#hosts,
      random: seededRandom(seed),
    });
    try {
      callers.probe();
      await this.#untilReady(callers);
      callers.start();
      const startMs = performance.now();
      await Promise.all(
        schedule.map((fault) => this.#play(fault, startMs)),
      );
      this.#backEnds.restoreKey();
      const quietFromMs = performance.now();
      await systemClock.sleep(BOUNDS.recoveryMs + CHECKED_QUIET_MS);
      await callers.stop();
      const leftStreams = await this.#untilCancelled();
      const history = this.#history(callers, quietFromMs, leftStreams);
      const broken = findBroken(history, BOUNDS);
      if (broken.length === 0) rmSync(this.#folder, { recursive: true });
      return {
        seed,
        schedule,
        broken,
        attempts: callers.attempts.length,
        complete: callers.attempts.filter(({ status, isWhole }) =>
          status === 200 && isWhole
        ).length,
        folder: this.#folder,
      };
    } finally {
      await callers.stop();
      await this.#end();
    }
  }

  #startHosts(): void {
    // Addresses that no other run on this machine uses at the same time.
    const [high, low] = [process.pid >> 8 & 0xff, process.pid & 0xff];
    for (let i = 0; i < HOSTS; i++) {
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

  async #untilReady(callers: Callers): Promise<void> {
    const endMs = performance.now() + START_MS;
    while (!this.#backEnds.arePlaced || callers.readyHosts < HOSTS) {
      if (performance.now() > endMs) {
        throw new Error(`not ready after ${START_MS} ms; see ${this.#folder}`);
      }
      await systemClock.sleep(LOOK_MS);
    }
    // The records that tell of the placement are read.
    await systemClock.sleep(1_500);
  }

  async #untilCancelled(): Promise<number> {
    const endMs = performance.now() + CANCEL_MS;
    while (this.#backEnds.activeStreams > 0 && performance.now() < endMs) {
      await systemClock.sleep(LOOK_MS);
    }
    return this.#backEnds.activeStreams;
  }

  async #play(fault: Fault, startMs: number): Promise<void> {
    const until = (atMs: number) =>
      systemClock.sleep(Math.max(0, startMs + atMs - performance.now()));
    await until(fault.startMs);
    if (fault.kind.startsWith("host-")) {
      await this.#troubleHost(this.#hosts[fault.index], fault, until);
    } else if (fault.kind.startsWith("server-")) {
      const backEnd = this.#backEnds.servers[fault.index];
      if (fault.kind === "server-leaves") {
        await this.#backEnds.leave(backEnd, fault.endMs - fault.startMs);
      } else await this.#troubleServer(backEnd, fault, until);
    } else await this.#troubleStore(fault, until);
  }

  async #troubleHost(
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
      await host.ended();
      await until(endMs);
      if (!host.isRunning) host.start();
    }
  }

  async #troubleServer(
    { server, proxy }: BackEnd,
    { kind, endMs }: Fault,
    until: (atMs: number) => Promise<void>,
  ): Promise<void> {
    const mode = SERVER_MODES[kind];
    if (kind === "server-reset") {
      proxy.reset();
      return;
    }
    this.#begin(server);
    if (mode !== undefined) server.mode = mode;
    if (kind === "server-silent") proxy.isSilent = true;
    if (kind === "server-delay") proxy.delayMs = SLOW_MS;
    if (kind === "server-answers-lost") proxy.areAnswersLost = true;
    await until(endMs);
    if (!this.#isLast(server)) return;
    server.mode = "good";
    proxy.heal();
  }

  async #troubleStore(
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
      this.#backEnds.revoke();
      await until(endMs);
      this.#backEnds.restoreKey();
      if (isUnseen) this.#endStoreFault();
      return;
    }
    this.#beginStoreFault();
    const storeFault = STORE_FAULTS[kind];
    if (storeFault !== undefined) store.fault = storeFault;
    if (kind === "store-delay") storeProxy.delayMs = SLOW_MS;
    await until(endMs);
    this.#endStoreFault();
  }

  #beginStoreFault(): void {
    const { store } = this.#backEnds;
    if ((this.#active.get(store) ?? 0) === 0) {
      this.#storeTroubledMs = performance.now();
    }
    this.#begin(store);
  }

  #endStoreFault(): void {
    const { store, storeProxy } = this.#backEnds;
    if (!this.#isLast(store)) return;
    const startMs = this.#storeTroubledMs;
    this.#storeTroubles.push({ startMs, endMs: performance.now() });
    store.fault = "none";
    storeProxy.heal();
  }

  #begin(what: unknown): void {
    this.#active.set(what, (this.#active.get(what) ?? 0) + 1);
  }

  #isLast(what: unknown): boolean {
    const left = (this.#active.get(what) ?? 1) - 1;
    this.#active.set(what, left);
    return left === 0;
  }

  #history(
    callers: Callers,
    quietFromMs: number,
    leftStreams: number,
  ): History {
    const { servers, revocations, absences } = this.#backEnds;
    return {
      attempts: callers.attempts,
      runs: servers.flatMap(({ server }) =>
        server.runs.map(({ requestId, atMs }) => ({
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
      storeTroubles: this.#storeTroubles,
      quietFromMs,
      leftStreams,
    };
  }

  async #end(): Promise<void> {
    for (const host of this.#hosts) {
      host.signal("SIGKILL");
      await host.ended();
    }
    this.#backEnds.dispose();
  }
}
