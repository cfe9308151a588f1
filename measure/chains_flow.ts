/**
 * Compares goodput in tokens per second with the flow bound, on six kinds of
 * accelerators and links that differ by a factor of 100, at loads of up to three
 * times the bound.
 *
 * @module
 */

import { seededRandom } from "../src/common/random.ts";
import { ChainPicker } from "../src/pipelines/chain_picker.ts";
import type { ChainStage } from "../src/clients/types.ts";
import {
  BaselinePicker,
  EventQueue,
  FakeFleet,
  type FakeTarget,
  printTable,
} from "./chains/fakes.ts";

const SEED = 20_261;
const HOSTS = 9;
const LAYERS = 48;
const ANSWER_TOKENS = 64;
const CHUNK_TOKENS = 4;
const ANSWER_DEADLINE_MS = 10_000;
const REPORT_EVERY_MS = 1_000;
const WARM_UP_MS = 20_000;
const MEASURED_MS = 30_000;
const KIND_LAYER_TOKENS_PER_S = [
  6_000,
  12_000,
  20_000,
  32_000,
  50_000,
  80_000,
];
const STAGES = [[0, 12], [12, 28], [28, 36], [36, 48]] as const;
const DOMAINS = ["fd-a", "fd-b", "fd-c"];
const LINK_TOKENS_PER_S = [60, 600, 6_000];

type Policy = "weights" | "by-capacity" | "round-robin" | "least-reported";

interface Load {
  readonly policy: Policy;
  readonly offeredShare: number;
  readonly seed: number;
}

interface Outcome {
  readonly goodputShare: number;
  readonly refusedShare: number;
}

export function run(): Promise<void> {
  const startMs = performance.now();
  const rows: (string | number)[][] = [];
  const policies: Policy[] = [
    "weights",
    "by-capacity",
    "round-robin",
    "least-reported",
  ];
  for (const policy of policies) {
    for (const offeredShare of [0.5, 0.8, 0.95, 1, 1.5, 2, 3]) {
      const outcome = runLoad({ policy, offeredShare, seed: SEED });
      rows.push([
        policy,
        offeredShare,
        percent(outcome.goodputShare),
        percent(outcome.refusedShare),
      ]);
    }
  }
  printTable(["way", "offered/bound", "goodput/bound", "refused"], rows);
  const seconds = ((performance.now() - startMs) / 1_000).toFixed(1);
  console.log(
    `\nseed ${SEED}, ${HOSTS} hosts, ${
      STAGES.length * KIND_LAYER_TOKENS_PER_S.length
    } targets, bound ${boundTokensPerS().toFixed(0)} tokens/s, ` +
      `run time ${seconds} s`,
  );
  return Promise.resolve();
}

function percent(share: number): string {
  return `${(100 * share).toFixed(1)}%`;
}

function makeTargets(): FakeTarget[] {
  return STAGES.flatMap(([first, end], stage) =>
    KIND_LAYER_TOKENS_PER_S.map((layerTokensPerS, kind) => ({
      name: `t-${stage}-${kind}`,
      failureDomain: DOMAINS[(stage + kind) % DOMAINS.length],
      layerTokensPerS,
      first,
      end,
    }))
  );
}

function makeLinks() {
  return DOMAINS.flatMap((from, a) =>
    DOMAINS.filter((to) => to !== from).map((to, b) => ({
      from,
      to,
      tokensPerS: LINK_TOKENS_PER_S[(a + 2 * b) % LINK_TOKENS_PER_S.length],
      delayMs: 1,
    }))
  );
}

function makeFleet(): FakeFleet {
  return new FakeFleet({
    events: new EventQueue(),
    targets: makeTargets(),
    layerCount: LAYERS,
    links: makeLinks(),
  });
}

function boundTokensPerS(): number {
  const fleet = makeFleet();
  const [directory] = fleet.addHosts(1, REPORT_EVERY_MS);
  const picker = new ChainPicker({
    config: fleet.config,
    directory,
    clock: fleet.events,
  });
  return picker.boundTokensPerS("p");
}

interface SelectedChain {
  readonly chain: readonly ChainStage[];
  dispose(): void;
}

function runLoad({ policy, offeredShare, seed }: Load): Outcome {
  const fleet = makeFleet();
  const { events } = fleet;
  const random = seededRandom(seed);
  const bound = boundTokensPerS();
  const requestsPerMs = bound * offeredShare / ANSWER_TOKENS / 1_000;
  const pickers = makePickers(fleet, { policy, random });
  let goodTokens = 0;
  let refused = 0;
  let offered = 0;
  /** Open streams, with the tokens received since the end of the warm-up. */
  const active = new Set<{ readonly startMs: number; tokens: number }>();
  const isInTime = ({ startMs }: { readonly startMs: number }) =>
    events.nowMs() - startMs <= ANSWER_DEADLINE_MS;
  const isMeasured = () => events.nowMs() >= WARM_UP_MS;
  const arrive = () => {
    events.after(-Math.log(1 - random()) / requestsPerMs, arrive);
    const startMs = events.nowMs();
    const selected = pickers[Math.floor(random() * HOSTS)]();
    if (isMeasured()) offered++;
    if (!selected) {
      if (isMeasured()) refused++;
      return;
    }
    const stream = { startMs, tokens: 0 };
    active.add(stream);
    fleet.stream(selected.chain, {
      chunks: ANSWER_TOKENS / CHUNK_TOKENS,
      chunkTokens: CHUNK_TOKENS,
      onChunk: () => {
        if (isMeasured()) stream.tokens += CHUNK_TOKENS;
      },
      onEnd: () => {
        selected.dispose();
        active.delete(stream);
        if (isInTime(stream)) goodTokens += stream.tokens;
      },
    });
  };
  arrive();
  events.runUntil(WARM_UP_MS + MEASURED_MS);
  for (const stream of active) {
    if (isInTime(stream)) goodTokens += stream.tokens;
  }
  return {
    goodputShare: goodTokens / (MEASURED_MS / 1_000) / bound,
    refusedShare: refused / offered,
  };
}

function makePickers(
  fleet: FakeFleet,
  options: { readonly policy: Policy; readonly random: () => number },
): (() => SelectedChain | undefined)[] {
  const { policy, random } = options;
  const directories = fleet.addHosts(HOSTS, REPORT_EVERY_MS);
  const { config, events: clock } = fleet;
  let prefixHash = 0;
  return directories.map((directory) => {
    if (policy !== "weights") {
      const baseline = new BaselinePicker(makeTargets(), {
        policy,
        directory,
        random,
        layerCount: LAYERS,
      });
      return () => ({ chain: baseline.pick(), dispose: () => {} });
    }
    const picker = new ChainPicker({ config, directory, clock, random });
    return () => {
      const request = { pipeline: "p", prefixHash: prefixHash++ };
      const selected = picker.pick({ ...request, avoid: new Set() });
      return selected.isOk() ? selected.value : undefined;
    };
  });
}

if (process.argv[1]?.endsWith("chains_flow.js")) await run();
