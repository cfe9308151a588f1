/**
 * Measures recovery: the time from a killed, frozen or slowed stage to the next
 * token at the caller, and from the loss of a target to restored capacity.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import { CapacityFleet } from "../test/pipelines_capacity.ts";
import type { Clock } from "../src/common/clock.ts";
import { hash32 } from "../src/common/hash.ts";
import { seededRandom } from "../src/common/random.ts";
import type { ChainPicker } from "../src/pipelines/chain_picker.ts";
import type { IChainPicker } from "../src/pipelines/services.ts";
import { CompletionService } from "../src/requests/completion_service.ts";
import { printTable, quantileOf } from "./chains/fakes.ts";
import { TokenEngines } from "./chains/token_engines.ts";

const SEEDS = 20;
const STREAMS = 12;
const ANSWER_TOKENS = 48;
const WARM_UP_MS = 6_000;
const OBSERVATION_MS = 6_000;
const SLOW_FACTOR = 20;
const WEIGHT_LOAD_MS = 20_000;
const PLAIN_TIMEOUT_MS = 5_000;
const FLEET = {
  hostCount: 3,
  targetsPerStage: 3,
  standbyCount: 2,
  checksFence: true,
};

type Fault = "killed" | "frozen" | "slowed" | "none";
/** `looked at often`: the dispatcher checks for overdue tokens every 20 ms. */
type Variant =
  | "learned deadline"
  | "learned, looked at often"
  | "plain, 5 s timeout";
const VARIANTS: readonly Variant[] = [
  "learned deadline",
  "learned, looked at often",
  "plain, 5 s timeout",
];
const STALL_CHECK_INTERVAL_MS = 20;

export async function run(): Promise<void> {
  const startMs = performance.now();
  const rows: (string | number)[][] = [];
  for (const fault of ["killed", "frozen", "slowed", "none"] as Fault[]) {
    for (const variant of VARIANTS) {
      const gaps: number[] = [];
      let failedCount = 0;
      let stalledCount = 0;
      let answerCount = 0;
      for (let seed = 1; seed <= SEEDS; seed++) {
        const result = await nextTokenGaps(fault, variant, seed);
        gaps.push(...result.gapsMs);
        failedCount += result.failedCount;
        stalledCount += result.stalledCount;
        answerCount += result.answerCount;
      }
      const withinCount = gaps.filter((gapMs) => gapMs <= 360).length;
      const within = gaps.length > 0 ? withinCount / gaps.length : 1;
      rows.push([
        fault,
        variant,
        gaps.length,
        ms(quantileOf(gaps, 0.5)),
        ms(quantileOf(gaps, 0.95)),
        ms(quantileOf(gaps, 1)),
        gaps.length > 0 ? `${(100 * within).toFixed(1)}%` : "",
        stalledCount,
        answerCount,
        failedCount,
      ]);
    }
  }
  printTable(
    [
      "stage",
      "way",
      "streams hit",
      "p50 ms",
      "p95 ms",
      "max ms",
      "within 360 ms",
      "stalls noted",
      "answers",
      "failed answers",
    ],
    rows,
  );
  console.log("");
  await printCapacity();
  const seconds = ((performance.now() - startMs) / 1_000).toFixed(1);
  console.log(
    `\nweights load in ${WEIGHT_LOAD_MS} ms, seeds 1 to ${SEEDS}, run time ${seconds} s`,
  );
}

function ms(value: number): string {
  return value.toFixed(0);
}

interface GapResult {
  readonly gapsMs: number[];
  readonly failedCount: number;
  readonly stalledCount: number;
  readonly answerCount: number;
}

/** Times from the fault to the next token, for streams through the faulty target. */
async function nextTokenGaps(
  fault: Fault,
  variant: Variant,
  seed: number,
): Promise<GapResult> {
  const fleet = makeFleet(seed, {
    loadMs: WEIGHT_LOAD_MS,
    standbysReady: true,
  });
  const random = seededRandom(hash32(`seed ${seed}`));
  const engines = new TokenEngines(fleet.engines, fleet.clock, random);
  const { picker } = fleet.hosts[0];
  const streams = startStreams(fleet, { engines, picker, variant });
  await fleet.clock.advance(WARM_UP_MS + random() * 200);
  const { stageTargets: homes } = fleet;
  const target = homes[Math.floor(random() * homes.length)];
  const faultMs = fleet.clock.nowMs();
  if (fault !== "none") streams.noteFault(target, faultMs);
  const { settings } = fleet.engine(target);
  if (fault === "killed") settings.isDown = true;
  if (fault === "frozen") settings.isFrozen = true;
  if (fault === "slowed") engines.slowFactors.set(target, SLOW_FACTOR);
  await fleet.clock.advance(OBSERVATION_MS);
  streams.stop();
  await fleet.stop();
  return { gapsMs: streams.gapsMs(), ...streams.counts };
}

function makeFleet(
  seed: number,
  options: { readonly loadMs: number; readonly standbysReady: boolean },
): CapacityFleet {
  return new CapacityFleet({ ...FLEET, seed, ...options });
}

/** Sends streams continuously and records when affected ones get the next token. */
function startStreams(
  fleet: CapacityFleet,
  options: {
    readonly engines: TokenEngines;
    readonly picker: ChainPicker;
    readonly variant: Variant;
  },
) {
  const { clock } = fleet;
  const { engines, variant } = options;
  const abort = new AbortController();
  const chains = new Map<string, string[]>();
  const affected = new Map<string, number>();
  const gapsMs: number[] = [];
  const counts = { failedCount: 0, stalledCount: 0, answerCount: 0 };
  const service = new CompletionService({
    config: allowCustomer(fleet),
    picker: variant === "plain, 5 s timeout"
      ? withFixedTimeout(options.picker)
      : options.picker,
    engines,
    clock: variant === "learned, looked at often"
      ? withShortSleeps(clock)
      : clock,
    journal: {
      note: (requestId, step, details) => {
        if (step === "attempt") {
          chains.set(requestId, details?.chain as string[]);
        }
        if (details?.fault === "stalled") counts.stalledCount++;
      },
      explain: () => undefined,
    },
    quarantine: {
      admit: () => new Ok(undefined),
      strike: () => Promise.resolve(),
      isolate: () => Promise.resolve({ kind: "unsuspected" as const }),
      clearSuspicion: () => {},
    },
  });
  for (let stream = 0; stream < STREAMS; stream++) void sendRequests(stream);
  return {
    noteFault: (target: string, faultMs: number) => {
      for (const [requestId, chain] of chains) {
        if (chain.includes(target)) affected.set(requestId, faultMs);
      }
    },
    gapsMs: () => [
      ...gapsMs,
      ...[...affected.values()].map((sinceMs) => clock.nowMs() - sinceMs),
    ],
    counts,
    stop: () => abort.abort(),
  };

  async function sendRequests(stream: number): Promise<void> {
    for (let count = 0; !abort.signal.aborted; count++) {
      await clock.sleep(7 * stream + 1);
      const requestId = `r-${stream}-${count}`;
      const ended = await service.complete({
        requestId,
        customer: "c",
        pipeline: "p",
        prompt: requestId,
        maxTokens: ANSWER_TOKENS,
        deadlineMs: clock.nowMs() + 60_000,
        signal: abort.signal,
      }, () => recordToken(requestId));
      chains.delete(requestId);
      if (ended.isOk()) counts.answerCount++;
      if (ended.isErr() && !abort.signal.aborted) counts.failedCount++;
    }
  }

  function recordToken(requestId: string): void {
    const sinceMs = affected.get(requestId);
    if (sinceMs === undefined) return;
    gapsMs.push(clock.nowMs() - sinceMs);
    affected.delete(requestId);
  }

  function allowCustomer({ config }: CapacityFleet) {
    const document = fleet.document("v1");
    const customer = {
      keyDigests: [],
      requestsPerS: 1_000,
      concurrentRequests: 1_000,
    };
    document.pipelines!.p.customers = ["c"];
    config.set({ ...document, customers: { c: customer } });
    return config;
  }
}

/** Selects the same chains, but with a fixed timeout instead of a learned one. */
function withFixedTimeout(picker: ChainPicker): IChainPicker {
  return {
    pick: (request) => picker.pick(request),
    reportFailure: (target, kind) => {
      if (kind === "connect") picker.reportFailure(target, kind);
    },
    reportLoad: (target, load) => picker.reportLoad(target, load),
    progressTimeoutMs: () => PLAIN_TIMEOUT_MS,
    reportProgress: () => {},
  };
}

/** Shortens sleeps, so that the dispatcher checks for stalls more often. */
function withShortSleeps(clock: Clock): Clock {
  return {
    nowMs: () => clock.nowMs(),
    wallMs: () => clock.wallMs(),
    sleep: (waitMs, signal) =>
      clock.sleep(Math.min(waitMs, STALL_CHECK_INTERVAL_MS), signal),
  };
}

async function printCapacity(): Promise<void> {
  const rows: (string | number)[][] = [];
  const cases = [
    ["span ready on a standby", { standbyCount: 2, stage: 0 }],
    ["standby has another span, weights to fetch", {
      standbyCount: 1,
      stage: 1,
    }],
    ["no standby", { standbyCount: 0, stage: 0 }],
  ] as const;
  for (const [name, options] of cases) {
    const times: number[] = [];
    for (let seed = 1; seed <= SEEDS; seed++) {
      times.push(await restoredAfterMs(seed, options));
    }
    const at = (quantile: number) => {
      const value = quantileOf(times, quantile);
      return Number.isFinite(value) ? ms(value) : "never";
    };
    rows.push([name, at(0.5), at(0.95), at(1)]);
  }
  printTable(["capacity after a kill", "p50 ms", "p95 ms", "max ms"], rows);
}

/** Time until every host again plans with the full capacity. */
async function restoredAfterMs(
  seed: number,
  options: { readonly standbyCount: number; readonly stage: number },
): Promise<number> {
  const { standbyCount, stage } = options;
  const ready = { loadMs: WEIGHT_LOAD_MS, standbysReady: true };
  const fleet = new CapacityFleet({ ...FLEET, ...ready, seed, standbyCount });
  const random = seededRandom(hash32(`seed ${seed}`));
  await fleet.clock.advance(WARM_UP_MS + random() * 2_000);
  const normal = FLEET.targetsPerStage * 10_000 / 4;
  const homes = fleet.stageTargets.filter((name) =>
    name.startsWith(`s${stage}-`)
  );
  const target = homes[Math.floor(random() * homes.length)];
  fleet.engine(target).settings.isDown = true;
  const startMs = fleet.clock.nowMs();
  const isRestored = () =>
    fleet.hosts.every(({ picker, directory }) =>
      !directory.acceptsNewWork(target) &&
      picker.boundTokensPerS("p") >= normal * 0.999
    );
  while (!isRestored() && fleet.clock.nowMs() - startMs < 60_000) {
    await fleet.clock.advance(20);
  }
  const tookMs = isRestored() ? fleet.clock.nowMs() - startMs : Infinity;
  await fleet.stop();
  return tookMs;
}

if (process.argv[1]?.endsWith("recovery.js")) await run();
