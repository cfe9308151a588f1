/**
 * Measures what one host stores, polls and computes for the targets as the fleet
 * grows to full scale, and how evenly the hosts' subsets load the targets.
 *
 * @module
 */

import {
  FakeConfig,
  FakeEngine,
  FakeEngines,
  FakeLog,
  FakeMembership,
  member,
} from "../test/pipelines_fakes.ts";
import { settle } from "../test/manual_clock.ts";
import type { ConfigDocument } from "../src/config/schema.ts";
import { seededRandom } from "../src/common/random.ts";
import { CapacityController } from "../src/pipelines/capacity_controller.ts";
import { ChainPicker } from "../src/pipelines/chain_picker.ts";
import { LeaseService } from "../src/pipelines/lease_service.ts";
import { TargetDirectory } from "../src/pipelines/target_directory.ts";
import { TargetSubset } from "../src/pipelines/target_subset.ts";
import { TargetWatcher } from "../src/pipelines/target_watcher.ts";
import { WatchAssignment } from "../src/pipelines/watch_assignment.ts";
import type { EngineState } from "../src/clients/types.ts";
import { EventQueue, printTable, quantileOf } from "./chains/fakes.ts";

const SEED = 515;
const SIZES = [
  { hosts: 100, targets: 344 },
  { hosts: 400, targets: 1_375 },
  { hosts: 800, targets: 2_750 },
  { hosts: 1_600, targets: 5_500 },
];
const PIPELINES = 25;
const STAGES = 5;
const LAYERS = 40;
const REGIONS = 5;
const CONTROL_SECONDS = 60;
const PICKS = 2_000;
/** Request line, headers and status of one poll on a reused connection. */
const POLL_HEADER_BYTES = 320;
/** State changes per second in a fleet of 1,600 hosts; scaled with its size. */
const CHANGES_PER_S = 0.1;
/** Times that each host sends or receives a disseminated fact. */
const FACT_COPIES = 3;

export async function run(): Promise<void> {
  const startMs = performance.now();
  const rows: (string | number)[][] = [];
  for (const size of SIZES) rows.push(await measureSize(size));
  printTable(
    [
      "hosts",
      "targets",
      "targets polled",
      "polls/s",
      "poll bytes/s",
      "if all were polled each s",
      "change bytes/s",
      "targets used",
      "µs a pick",
      "ms a replan",
      "ms a member change",
      "control ms/s",
      "MB held",
    ],
    rows,
  );
  console.log("");
  printTable(
    ["replicas used", "hosts", "least", "p5", "median", "p95", "most"],
    [4, 8, 16].flatMap((replicas) =>
      SIZES.map(({ hosts, targets }) => imbalance(replicas, hosts, targets))
    ),
  );
  const seconds = ((performance.now() - startMs) / 1_000).toFixed(1);
  console.log(
    `\nseed ${SEED}, ${PIPELINES} pipelines of ${STAGES} stages, ` +
      `run time ${seconds} s`,
  );
}

function document(targetCount: number): ConfigDocument {
  const targets: ConfigDocument["targets"] = {};
  const pipelines: ConfigDocument["pipelines"] = {};
  const perStage = targetCount / PIPELINES / STAGES;
  for (let pipeline = 0; pipeline < PIPELINES; pipeline++) {
    const stages = [];
    for (let stage = 0; stage < STAGES; stage++) {
      const group = pipeline * STAGES + stage;
      const count = Math.floor((group + 1) * perStage) -
        Math.floor(group * perStage);
      const names = Array.from(
        { length: Math.max(1, count) },
        (_, index) => `t-${pipeline}-${stage}-${index}`,
      );
      names.forEach((name, index) => {
        targets[name] = {
          kind: "engine",
          url: `http://${name}`,
          failureDomain: `fd-${index % 14}`,
          region: `r-${index % REGIONS}`,
          layerTokensPerS: 40_000,
        };
      });
      const width = LAYERS / STAGES;
      const span = { first: stage * width, end: (stage + 1) * width };
      stages.push({ ...span, targets: names });
    }
    const model = { model: `m-${pipeline}`, version: "v1" };
    const common = { ...model, layerCount: LAYERS, customers: [] };
    pipelines[`p-${pipeline}`] = { ...common, stages };
  }
  return { targets, pipelines };
}

function publishAll(
  config: FakeConfig,
  directory: TargetDirectory,
  asOfWallMs: number,
): EngineState[] {
  const states: EngineState[] = [];
  const { pipelines } = config.state.config;
  for (const { model, version, stages } of Object.values(pipelines)) {
    for (const { first, end, targets } of stages) {
      for (const target of targets) {
        const load = { running: 20, queued: 0, asOfWallMs };
        const flags = { leaving: false, loading: false };
        const span = { target, first, end, model, version };
        const fixed = { adapters: [], role: "both" as const };
        const numbers = { generation: 1, fence: 0 };
        const state = { ...span, ...fixed, ...numbers, ...flags, load };
        directory.recordState(state);
        states.push(state);
      }
    }
  }
  return states;
}

function hostNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `host-${index}`);
}

function makeHost(config: FakeConfig, hosts: number) {
  const clock = new EventQueue();
  const members = hostNames(hosts).map((name, index) =>
    member(name, `r-${index % REGIONS}`)
  );
  const membership = new FakeMembership("host-0", hostNames(hosts), "r-0");
  membership.set(members);
  const assignment = new WatchAssignment({ config, membership });
  const directory = new TargetDirectory({ config, clock });
  const subset = new TargetSubset({ config, directory, membership });
  const picker = new ChainPicker({
    ...{ config, directory, clock, random: seededRandom(SEED) },
    subset: (pipeline, targets) => subset.select(pipeline, targets),
  });
  return { clock, members, membership, assignment, directory, subset, picker };
}

async function measureSize(
  { hosts, targets }: { hosts: number; targets: number },
): Promise<(string | number)[]> {
  const config = new FakeConfig(document(targets));
  const names = Object.keys(config.state.config.targets);
  const heldBefore = heapBytes();
  const host = makeHost(config, hosts);
  const states = publishAll(config, host.directory, host.clock.wallMs());
  for (let index = 0; index < PIPELINES; index++) pickOnce(host, index);
  const heldBytes = heapBytes() - heldBefore;
  const polled = names.filter((name) => host.assignment.watches(name)).length;
  const pollsPerS = polled * 1_000 / host.assignment.intervalMs();
  const stateBytes = JSON.stringify(states[0]).length;
  const pollBytes = stateBytes + POLL_HEADER_BYTES;
  const factBytes = (stateBytes + 120) * FACT_COPIES;
  const changesPerS = CHANGES_PER_S * hosts / 1_600;
  const pickUs = timeMs(() => {
    for (let index = 0; index < PICKS; index++) pickOnce(host, index);
  }) * 1_000 / PICKS;
  const replanMs = timeMs(() => {
    host.directory.recordState({ ...states[0], generation: 2 });
    pickOnce(host, 0);
  });
  const memberMs = timeMs(() => host.membership.set(host.members.slice(1)));
  return [
    hosts,
    names.length,
    polled,
    pollsPerS.toFixed(1),
    (pollsPerS * pollBytes).toFixed(0),
    (names.length * pollBytes).toFixed(0),
    (changesPerS * factBytes).toFixed(0),
    host.subset.all().size,
    pickUs.toFixed(0),
    replanMs.toFixed(1),
    memberMs.toFixed(1),
    (await controlMsPerS(config, host)).toFixed(1),
    (heldBytes / 1e6).toFixed(1),
  ];
}

function pickOnce(host: ReturnType<typeof makeHost>, index: number): void {
  host.picker.pick({
    pipeline: `p-${index % PIPELINES}`,
    prefixHash: index,
    avoid: new Set(),
  }).unwrap().dispose();
}

/** CPU ms per second of watching targets and controlling capacity, without faults. */
async function controlMsPerS(
  config: FakeConfig,
  host: ReturnType<typeof makeHost>,
): Promise<number> {
  const { clock, directory, membership, assignment, subset } = host;
  const engines = new FakeEngines(clock);
  for (const target of Object.keys(config.state.config.targets)) {
    const state = directory.lastState(target)!;
    engines.add(new FakeEngine(state));
  }
  const common = { config, clock, directory, engines };
  const watcher = new TargetWatcher({
    ...common,
    watches: (target) => assignment.watches(target),
    uses: () => subset.all(),
    pollIntervalMs: () => assignment.intervalMs(),
  });
  const log = new FakeLog(clock);
  const leases = new LeaseService({ log, host: "host-0", clock });
  const controller = new CapacityController({ ...common, membership, leases });
  const abort = new AbortController();
  void watcher.run(abort.signal);
  void controller.run(abort.signal);
  await advance(clock, 5);
  const startUs = process.cpuUsage();
  await advance(clock, CONTROL_SECONDS);
  const { user, system } = process.cpuUsage(startUs);
  abort.abort();
  return (user + system) / 1_000 / CONTROL_SECONDS;
}

async function advance(clock: EventQueue, seconds: number): Promise<void> {
  const untilMs = clock.nowMs() + seconds * 1_000;
  while (clock.nowMs() < untilMs) {
    clock.runUntil(clock.nowMs() + 50);
    await settle();
  }
}

/** Load of each target of one stage, relative to an even share. */
function imbalance(
  minReplicas: number,
  hosts: number,
  targets: number,
): (string | number)[] {
  const config = new FakeConfig(document(targets));
  const { pipelines } = config.state.config;
  const stage = pipelines["p-0"].stages[0].targets;
  const clock = new EventQueue();
  const directory = new TargetDirectory({ config, clock });
  const loads = new Map(stage.map((name) => [name, 0]));
  hostNames(hosts).forEach((name, index) => {
    const region = `r-${index % REGIONS}`;
    const membership = new FakeMembership(name, hostNames(hosts), region);
    const options = { config, directory, membership, minReplicas };
    const selected = new TargetSubset(options).select("p-0", stage);
    for (const target of selected) {
      loads.set(target, loads.get(target)! + 1 / selected.length);
    }
  });
  const evenShare = hosts / stage.length;
  const shares = [...loads.values()].map((value) => value / evenShare);
  const at = (quantile: number) => quantileOf(shares, quantile).toFixed(2);
  return [minReplicas, hosts, at(0), at(0.05), at(0.5), at(0.95), at(1)];
}

function timeMs(work: () => void): number {
  const startMs = performance.now();
  work();
  return performance.now() - startMs;
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

if (process.argv[1]?.endsWith("chains_subset.js")) await run();
