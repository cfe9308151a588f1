/**
 * A small fleet for tests and measurements of orders: hosts that keep the
 * capacity of one pipeline over fake engines, on a clock moved by hand.
 *
 * @module
 */

import { seededRandom } from "../src/common/random.ts";
import type { ConfigDocument } from "../src/config/schema.ts";
import {
  CapacityController,
  type SentOrder,
} from "../src/pipelines/capacity_controller.ts";
import { ChainPicker } from "../src/pipelines/chain_picker.ts";
import { LeaseService } from "../src/pipelines/lease_service.ts";
import { TargetDirectory } from "../src/pipelines/target_directory.ts";
import { TargetWatcher } from "../src/pipelines/target_watcher.ts";
import { WatchAssignment } from "../src/pipelines/watch_assignment.ts";
import type { ChainStage } from "../src/clients/types.ts";
import { ManualClock } from "./manual_clock.ts";
import {
  FakeConfig,
  FakeEngine,
  FakeEngines,
  FakeGossip,
  FakeLog,
  FakeMembership,
  member,
  PausableProcess,
} from "./pipelines_fakes.ts";

/** What a capacity fleet is made of. */
export interface CapacityFleetOptions {
  readonly seed: number;
  readonly hostCount: number;
  readonly targetsPerStage: number;
  readonly standbyCount: number;
  readonly loadMs: number;
  readonly checksFence: boolean;
  readonly loadTimeoutMs?: number;
  /** Whether standbys begin with a span of the model loaded. */
  readonly standbysReady?: boolean;
}

/** Layers held by each of the two stages. */
const STAGE_LAYERS = 4;
const STAGES = 2;
const GOSSIP_DELAY_MS = 500;

/** One host of the fleet. */
export interface CapacityHost {
  readonly name: string;
  readonly process: PausableProcess;
  readonly directory: TargetDirectory;
  readonly picker: ChainPicker;
  readonly membership: FakeMembership;
  readonly abort: AbortController;
}

/** Hosts, engines and a log around pipeline `p`. */
export class CapacityFleet {
  readonly clock = new ManualClock();
  readonly log = new FakeLog(this.clock);
  readonly engines = new FakeEngines(this.clock);
  readonly config: FakeConfig;
  readonly hosts: CapacityHost[] = [];
  /** Hosts that were removed, which may be paused in mid-order. */
  readonly removedHosts: CapacityHost[] = [];
  readonly sentOrders: (SentOrder & { readonly host: string })[] = [];
  readonly stageTargets: string[] = [];
  readonly standbys: string[] = [];
  readonly #options: CapacityFleetOptions;
  readonly #gossip = new FakeGossip(this.clock, GOSSIP_DELAY_MS);
  #hostNumber = 0;

  constructor(options: CapacityFleetOptions) {
    this.#options = options;
    this.#addEngines();
    this.config = new FakeConfig(this.document("v1"));
    for (let host = 0; host < options.hostCount; host++) this.addHost();
  }

  document(version: string, adapter?: string): ConfigDocument {
    const targets: ConfigDocument["targets"] = {};
    for (const name of [...this.stageTargets, ...this.standbys]) {
      const url = `http://${name}`;
      targets[name] = { kind: "engine", url, failureDomain: "fd" };
    }
    const stages = Array.from({ length: STAGES }, (_, stage) => ({
      first: stage * STAGE_LAYERS,
      end: (stage + 1) * STAGE_LAYERS,
      targets: this.stageTargets.filter((name) =>
        name.startsWith(`s${stage}-`)
      ),
    }));
    const layerCount = STAGES * STAGE_LAYERS;
    const p = {
      ...{ model: "m", version, adapter, layerCount, stages },
      ...{ standbys: this.standbys, customers: [] },
    };
    return { targets, pipelines: { p } };
  }

  addHost(): CapacityHost {
    const name = `h${this.#hostNumber++}`;
    const names = [...this.hosts.map((host) => host.name), name];
    const { config } = this;
    const process = new PausableProcess();
    const clock = process.clock(this.clock);
    const engines = process.engines(this.engines);
    const random = seededRandom(this.#options.seed + this.#hostNumber);
    const membership = new FakeMembership(name, names);
    const dissemination = this.#gossip.join(name);
    const assignment = new WatchAssignment({ config, membership });
    const directory = new TargetDirectory({ config, clock, dissemination });
    const watcher = new TargetWatcher({
      ...{ config, clock, engines, directory, random },
      watches: (target) => assignment.watches(target),
      pollIntervalMs: () => assignment.intervalMs(),
      uses: () => [...this.stageTargets, ...this.standbys],
    });
    const picker = new ChainPicker({ config, directory, clock, random });
    const leases = new LeaseService({ log: this.log, host: name, clock });
    const controller = new CapacityController({
      ...{ config, clock, engines, directory, membership, leases },
      loadTimeoutMs: this.#options.loadTimeoutMs,
      onOrder: (order) => this.sentOrders.push({ ...order, host: name }),
    });
    const abort = new AbortController();
    const host = { name, process, directory, picker, membership, abort };
    this.hosts.push(host);
    this.#updateMembers();
    void watcher.run(abort.signal);
    void controller.run(abort.signal);
    return host;
  }

  /** Ends a host for good; the others learn of it at once. */
  removeHost(host: CapacityHost): void {
    host.abort.abort();
    this.hosts.splice(this.hosts.indexOf(host), 1);
    this.removedHosts.push(host);
    this.#updateMembers();
  }

  async stop(): Promise<void> {
    for (const host of [...this.hosts, ...this.removedHosts]) {
      host.process.resume();
      host.abort.abort();
    }
    await this.clock.advance(10_000);
  }

  engine(name: string): FakeEngine {
    return this.engines.engines.get(name)!;
  }

  /** Loads started so far, over all engines. */
  loadCount(): number {
    const engines = [...this.engines.engines.values()];
    return engines.reduce((sum, { state }) => sum + state.generation, 0);
  }

  /** Names of engines that hold a span of `version` and answer. */
  serving(version: string): string[] {
    return [...this.engines.engines.values()]
      .filter(({ state, settings }) =>
        !settings.isDown && !settings.isFrozen && !state.loading &&
        state.version === version && state.end > state.first
      )
      .map(({ state }) => state.target);
  }

  /** The least number of holders over the stages, in `version`. */
  countChains(version: string): number {
    const counts = Array.from(
      { length: STAGES },
      (_, stage) =>
        this.serving(version).filter((name) =>
          this.engine(name).state.first === stage * STAGE_LAYERS
        ).length,
    );
    return Math.min(...counts);
  }

  /**
   * Sends one request through a chain as engines would run it: `refused` when
   * a stage is down, loading or of another generation, else whether the spans
   * that ran cover the model once, in one version.
   */
  run(chain: readonly ChainStage[]): "refused" | "right" | "wrong" {
    const states = chain.map(({ target }) => this.engine(target).state);
    const isRefused = chain.some(({ target, generation }, index) => {
      const { isDown, isFrozen } = this.engine(target).settings;
      const { loading, generation: actual } = states[index];
      return isDown || isFrozen || loading || generation !== actual;
    });
    if (isRefused) return "refused";
    let boundary = 0;
    for (const { first, end, version } of states) {
      if (first !== boundary || version !== states[0].version) return "wrong";
      boundary = end;
    }
    return boundary === STAGES * STAGE_LAYERS ? "right" : "wrong";
  }

  #addEngines(): void {
    const { targetsPerStage, standbyCount, loadMs, checksFence } =
      this.#options;
    const settings = { loadMs, checksFence };
    const common = { model: "m", version: "v1", generation: 1 };
    const spanOf = (stage: number) => ({
      first: stage * STAGE_LAYERS,
      end: (stage + 1) * STAGE_LAYERS,
    });
    for (let stage = 0; stage < STAGES; stage++) {
      for (let index = 0; index < targetsPerStage; index++) {
        const target = `s${stage}-${index}`;
        const state = { target, ...common, ...spanOf(stage) };
        this.engines.add(new FakeEngine(state, settings));
        this.stageTargets.push(target);
      }
    }
    for (let index = 0; index < standbyCount; index++) {
      const target = `spare-${index}`;
      const ready = this.#options.standbysReady
        ? { ...common, ...spanOf(index % STAGES) }
        : {};
      this.engines.add(new FakeEngine({ target, ...ready }, settings));
      this.standbys.push(target);
    }
  }

  #updateMembers(): void {
    const members = this.hosts.map(({ name }) => member(name));
    for (const { membership } of this.hosts) membership.set(members);
  }
}
