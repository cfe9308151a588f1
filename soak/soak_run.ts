/**
 * Executes one seed: starts back ends behind proxies, hosts as processes and
 * callers, injects the scheduled faults, waits for recovery and checks all
 * invariants.
 *
 * @module
 */

import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { systemClock } from "../src/common/clock.ts";
import { seededRandom } from "../src/common/random.ts";
import { type BackEnd, BackEnds } from "./back_ends.ts";
import { Callers } from "./callers.ts";
import { SERVER_MODES, STORE_FAULTS } from "./fault_modes.ts";
import { injectHostFault } from "./host_faults.ts";
import type { HostProcess } from "./host_process.ts";
import { startHosts } from "./hosts.ts";
import { findViolations } from "./invariants.ts";
import { drawEndings, type DrawnEndings } from "./endings.ts";
import { cutLinks } from "./link_cuts.ts";
import { describeBursts, sendBurst } from "./overload.ts";
import { askForPause, collectPauses } from "./pauses.ts";
import { describeSamples, startSampling } from "./process_samples.ts";
import { drawLimit } from "./request_limits.ts";
import { replaceHosts } from "./other_build.ts";
import { drawSchedule } from "./schedule.ts";
import {
  BOUNDS,
  CHECKED_RECOVERY_MS,
  CRASH_RESTART_MS,
  CRASHING_ROUTES,
  HOST_COUNT,
  MODEL_SERVER_COUNT,
  PLAIN_SERVER_COUNT,
  REST_MS,
  SETTLING_MS,
  STARTUP_TIMEOUT_MS,
} from "./settings.ts";
import { surround } from "./surround.ts";
import { describeSurrounding, drawSurroundings } from "./surroundings.ts";
import type { Fault, History, Interval, LinkCut } from "./types.ts";

const SLOW_DELAY_MS = 40;
const POLL_INTERVAL_MS = 50;
/** A store comes back from a copy of one to fifteen times this age. */
const COPY_AGE_STEP_MS = 400;
/** Time from the return of the store until lost records are written again. */
const REWRITE_DELAY_MS = 800;
/** Time in which servers must cancel the streams of callers that disconnected. */
const CANCEL_TIMEOUT_MS = 1_000;
/** Offset of the seed, so that a seed draws the same faults as without it. */
const PART_SEED_OFFSET = 4_000_037;

export interface SoakOptions {
  readonly seed: number;
  readonly faultPhaseMs: number;
  /** Whether a part of some prompts ends servers. */
  readonly hasCrashingPart?: boolean;
  /** Entry point of another build, which half of the hosts run at the start. */
  readonly otherProgram?: string;
}

export interface SoakOutcome {
  readonly seed: number;
  readonly schedule: readonly Fault[];
  readonly endings: DrawnEndings;
  readonly surroundings: readonly string[];
  readonly violations: readonly string[];
  readonly attempts: number;
  readonly complete: number;
  readonly bursts: readonly string[];
  /** What the hosts used. */
  readonly usage: string;
  /** Settings and logs of the hosts; deleted if there are no violations. */
  readonly folder: string;
}

export class SoakRun {
  readonly #options: SoakOptions;
  readonly #backEnds = new BackEnds();
  readonly #folder: string;
  readonly #hosts: HostProcess[] = [];
  readonly #storeFaults: Interval[] = [];
  readonly #linkCuts: LinkCut[] = [];
  readonly #bursts: Interval[] = [];
  readonly #rests: Interval[] = [];
  readonly #hostFaults: (Interval & { readonly host: string })[] = [];
  #storeFaultStartMs = 0;
  #drills = Promise.resolve();
  /** Number of active faults by the store or server that they affect. */
  readonly #activeFaults = new Map<unknown, number>();

  constructor(options: SoakOptions) {
    this.#options = options;
    this.#folder = mkdtempSync(join(tmpdir(), `soak-${options.seed}-`));
  }

  /** Kills the host processes; used when a run is interrupted. */
  killHosts(): void {
    for (const host of this.#hosts) host.signal("SIGKILL");
  }

  async run(): Promise<SoakOutcome> {
    const { seed, faultPhaseMs, hasCrashingPart, otherProgram } = this.#options;
    const schedule = drawSchedule({
      seed,
      faultPhaseMs,
      hosts: HOST_COUNT,
      servers: MODEL_SERVER_COUNT + PLAIN_SERVER_COUNT,
      plainServers: PLAIN_SERVER_COUNT,
    });
    const endings = drawEndings(seed);
    const surroundings = drawSurroundings({
      seed,
      faultPhaseMs,
      hosts: HOST_COUNT,
    });
    await this.#backEnds.start(endings);
    this.#hosts.push(...startHosts({
      folder: this.#folder,
      storeAddress: this.#backEnds.storeProxy.address,
      otherProgram,
    }));
    const sampling = startSampling(this.#hosts);
    const callers = new Callers({
      hosts: this.#hosts,
      random: seededRandom(seed),
      sendsPromptParts: hasCrashingPart,
    });
    try {
      callers.startProbing();
      await this.#waitUntilReady(callers);
      await this.#rest();
      callers.start();
      const startMs = performance.now();
      const { servers } = this.#backEnds;
      const limit = drawLimit(seed, servers.length);
      await Promise.all([
        ...schedule.map((fault) => this.#injectFault(fault, startMs, callers)),
        systemClock.sleep(limit.startMs)
          .then(() => this.#backEnds.limitRequests(limit)),
        cutLinks(seed, this.#hosts, servers)
          .then((cut) => this.#linkCuts.push(cut)),
        askForPause(seed, servers, {
          begin: (server) => this.#beginFault(server),
          end: (server) => this.#endFault(server),
        }),
        this.#sendCrashingPart(callers),
        replaceHosts(this.#hosts, otherProgram)
          .then((absences) => this.#hostFaults.push(...absences)),
        surround({
          drawn: surroundings,
          hosts: this.#hosts,
          store: this.#backEnds.store,
        }).then((absences) => this.#hostFaults.push(...absences)),
        sendBurst(seed, callers, servers)
          .then((burst) => this.#bursts.push(burst)),
      ]);
      this.#backEnds.restoreKey();
      const faultsEndMs = performance.now();
      await systemClock.sleep(BOUNDS.recoveryMs - CRASH_RESTART_MS);
      // Servers that a content ends after that would not be back in time.
      callers.stopCrashing();
      await systemClock.sleep(CRASH_RESTART_MS + CHECKED_RECOVERY_MS);
      await callers.stop();
      const leakedStreams = await this.#waitUntilCancelled();
      await systemClock.sleep(SETTLING_MS);
      await this.#rest();
      const history = this.#collectHistory(callers, faultsEndMs, leakedStreams);
      const violations = findViolations(history, BOUNDS);
      if (violations.length === 0) rmSync(this.#folder, { recursive: true });
      return {
        seed,
        schedule,
        endings,
        surroundings: surroundings.map(describeSurrounding),
        violations,
        attempts: callers.attempts.length,
        complete: callers.attempts.filter(({ status, isWhole }) =>
          status === 200 && isWhole
        ).length,
        bursts: describeBursts(history),
        usage: describeSamples(history),
        folder: this.#folder,
      };
    } finally {
      sampling.dispose();
      await callers.stop();
      await this.#dispose();
    }
  }

  async #sendCrashingPart(callers: Callers): Promise<void> {
    const { seed, faultPhaseMs, hasCrashingPart = false } = this.#options;
    if (!hasCrashingPart) return;
    const random = seededRandom(seed + PART_SEED_OFFSET);
    await systemClock.sleep(random() * faultPhaseMs / 2);
    callers.startCrashingPart(random);
  }

  async #waitUntilReady(callers: Callers): Promise<void> {
    const endMs = performance.now() + STARTUP_TIMEOUT_MS;
    while (!this.#backEnds.isModelPlaced || callers.readyHosts < HOST_COUNT) {
      if (performance.now() > endMs) {
        throw new Error(
          `deployment not ready after ${STARTUP_TIMEOUT_MS} ms; see ${this.#folder}`,
        );
      }
      await systemClock.sleep(POLL_INTERVAL_MS);
    }
  }

  /** Hosts have also read the target records that contain the placement then. */
  async #rest(): Promise<void> {
    const startMs = performance.now();
    await systemClock.sleep(REST_MS);
    this.#rests.push({ startMs, endMs: performance.now() });
  }

  async #waitUntilCancelled(): Promise<number> {
    const endMs = performance.now() + CANCEL_TIMEOUT_MS;
    while (this.#backEnds.activeStreams > 0 && performance.now() < endMs) {
      await systemClock.sleep(POLL_INTERVAL_MS);
    }
    return this.#backEnds.activeStreams;
  }

  async #injectFault(
    fault: Fault,
    startMs: number,
    callers: Callers,
  ): Promise<void> {
    const waitUntil = (atMs: number) =>
      systemClock.sleep(Math.max(0, startMs + atMs - performance.now()));
    await waitUntil(fault.startMs);
    if (fault.kind === "content-crashes") {
      const route = CRASHING_ROUTES[fault.index % CRASHING_ROUTES.length];
      callers.startCrashing(`content ${fault.startMs}`, route);
    } else if (fault.kind.startsWith("host-")) {
      const absences = await injectHostFault(
        this.#hosts[fault.index],
        fault,
        waitUntil,
      );
      this.#hostFaults.push(...absences);
    } else if (fault.kind.startsWith("server-")) {
      const backEnd = this.#backEnds.servers[fault.index];
      if (fault.kind === "server-leaves") {
        await this.#backEnds.deregisterFor(
          backEnd,
          fault.endMs - fault.startMs,
        );
      } else await this.#injectServerFault(backEnd, fault, waitUntil);
    } else await this.#injectStoreFault(fault, waitUntil);
  }

  async #injectServerFault(
    { server, proxy }: BackEnd,
    { kind, endMs }: Fault,
    waitUntil: (atMs: number) => Promise<void>,
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
    await waitUntil(endMs);
    if (!this.#endFault(server)) return;
    server.mode = "good";
    proxy.clearFaults();
  }

  async #injectStoreFault(
    fault: Fault,
    waitUntil: (atMs: number) => Promise<void>,
  ): Promise<void> {
    const { kind, endMs } = fault;
    const { store, storeProxy } = this.#backEnds;
    if (kind === "store-drill") {
      this.#drills = this.#drills.then(() => this.#drillStore(fault));
      await this.#drills;
      return;
    }
    if (kind === "config-written") {
      this.#backEnds.writeConfig();
      return;
    }
    const isStoreDown = kind === "key-revoked-unseen";
    if (isStoreDown) {
      this.#beginStoreFault();
      store.fault = "silent";
    }
    if (isStoreDown || kind === "key-revoked") {
      this.#backEnds.revokeKey();
      await waitUntil(endMs);
      this.#backEnds.restoreKey();
      if (isStoreDown) this.#endStoreFault();
      return;
    }
    this.#beginStoreFault();
    const storeFault = STORE_FAULTS[kind];
    if (storeFault !== undefined) store.fault = storeFault;
    if (kind === "store-delay") storeProxy.delayMs = SLOW_DELAY_MS;
    await waitUntil(endMs);
    this.#endStoreFault();
  }

  async #drillStore({ startMs, endMs, index }: Fault): Promise<void> {
    this.#beginStoreFault();
    await this.#backEnds.store.drill({
      copyAgeMs: COPY_AGE_STEP_MS * (index + 1),
      awayMs: endMs - startMs,
    });
    await systemClock.sleep(REWRITE_DELAY_MS);
    this.#backEnds.rewrite();
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

  #beginFault(component: unknown): void {
    this.#activeFaults.set(
      component,
      (this.#activeFaults.get(component) ?? 0) + 1,
    );
  }

  /** Ends one fault; returns whether no other fault of the component is active. */
  #endFault(component: unknown): boolean {
    const remaining = (this.#activeFaults.get(component) ?? 1) - 1;
    this.#activeFaults.set(component, remaining);
    return remaining === 0;
  }

  #collectHistory(
    callers: Callers,
    faultsEndMs: number,
    leakedStreams: number,
  ): History {
    const { servers } = this.#backEnds;
    return {
      ...this.#backEnds.observations(this.#options),
      attempts: callers.attempts,
      storeFaults: this.#storeFaults,
      hostFaults: this.#hostFaults,
      linkCuts: this.#linkCuts,
      bursts: this.#bursts,
      rests: this.#rests,
      lives: this.#hosts.flatMap(({ lives }) => lives),
      pauses: collectPauses(servers, this.#hosts),
      faultsEndMs,
      leakedStreams,
      untilMs: performance.now(),
    };
  }

  async #dispose(): Promise<void> {
    for (const host of this.#hosts) await host.dispose();
    this.#backEnds.dispose();
  }
}
