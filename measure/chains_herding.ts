/**
 * Measures herding: the distribution of queue times when many hosts select
 * targets by load reports that are up to one second old.
 *
 * @module
 */

import { seededRandom } from "../src/common/random.ts";
import { ChainPicker } from "../src/pipelines/chain_picker.ts";
import {
  BaselinePicker,
  EventQueue,
  FakeFleet,
  type FakeTarget,
  printTable,
  quantileOf,
} from "./chains/fakes.ts";

const SEED = 4_107;
const TARGETS = 30;
const LAYERS = 1;
const JOB_TOKENS = 20;
const TARGET_TOKENS_PER_S = 1_000;
const UTILIZATION = 0.8;
const REPORT_EVERY_MS = 1_000;
const WARM_UP_MS = 5_000;
const MEASURED_MS = 20_000;

type Policy = "weights" | "random" | "round-robin" | "least-reported";

export function run(): Promise<void> {
  const startMs = performance.now();
  const rows: (string | number)[][] = [];
  const policies: Policy[] = [
    "weights",
    "random",
    "round-robin",
    "least-reported",
  ];
  for (const hosts of [9, 90, 900]) {
    for (const policy of policies) {
      const waits = queueTimes(policy, hosts);
      const at = (quantile: number) => quantileOf(waits, quantile).toFixed(0);
      rows.push([hosts, policy, at(0.5), at(0.95), at(0.99), at(1)]);
    }
  }
  printTable(["hosts", "way", "p50 ms", "p95 ms", "p99 ms", "max ms"], rows);
  const seconds = ((performance.now() - startMs) / 1_000).toFixed(1);
  console.log(
    `\nseed ${SEED}, ${TARGETS} targets at ${UTILIZATION} of their capacity, ` +
      `20 ms a job, run time ${seconds} s`,
  );
  return Promise.resolve();
}

function queueTimes(policy: Policy, hosts: number): number[] {
  const events = new EventQueue();
  const targets: FakeTarget[] = Array.from(
    { length: TARGETS },
    (_, index) => ({
      name: `t-${index}`,
      failureDomain: "fd-a",
      layerTokensPerS: TARGET_TOKENS_PER_S,
      first: 0,
      end: LAYERS,
    }),
  );
  const fleet = new FakeFleet({
    events,
    targets,
    layerCount: LAYERS,
    links: [],
  });
  const random = seededRandom(SEED);
  const pickers = makePickers(fleet, { policy, hosts, targets, random });
  const requestsPerMs = TARGETS * TARGET_TOKENS_PER_S * UTILIZATION /
    JOB_TOKENS / 1_000;
  const waits: number[] = [];
  const arrive = () => {
    events.after(-Math.log(1 - random()) / requestsPerMs, arrive);
    const { chain, dispose } = pickers[Math.floor(random() * hosts)]();
    const isMeasured = events.nowMs() >= WARM_UP_MS;
    fleet.stream(chain, {
      chunks: 1,
      chunkTokens: JOB_TOKENS,
      onChunk: (waitMs) => {
        if (isMeasured) waits.push(waitMs);
      },
      onEnd: dispose,
    });
  };
  arrive();
  events.runUntil(WARM_UP_MS + MEASURED_MS);
  return waits;
}

function makePickers(
  fleet: FakeFleet,
  options: {
    readonly policy: Policy;
    readonly hosts: number;
    readonly targets: readonly FakeTarget[];
    readonly random: () => number;
  },
) {
  const { policy, hosts, targets, random } = options;
  const { config, events: clock } = fleet;
  let prefixHash = 0;
  return fleet.addHosts(hosts, REPORT_EVERY_MS).map((directory) => {
    if (policy !== "weights") {
      const baselineOptions = {
        policy,
        directory,
        random,
        layerCount: LAYERS,
      };
      const picker = new BaselinePicker(targets, baselineOptions);
      return () => ({ chain: picker.pick(), dispose: () => {} });
    }
    const picker = new ChainPicker({
      config,
      directory,
      clock,
      random,
      maxGapMs: Infinity,
    });
    return () =>
      picker.pick({
        pipeline: "p",
        prefixHash: prefixHash++,
        avoid: new Set(),
      }).unwrap();
  });
}

if (process.argv[1]?.endsWith("chains_herding.js")) await run();
