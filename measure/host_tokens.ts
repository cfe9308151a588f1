/**
 * Measures the overhead and the throughput of one host: streams directly from
 * token sources, then the same streams through a host, at increasing rates.
 *
 * @module
 */

import got from "got";
import { chainSignature } from "../src/clients/types.ts";
import {
  LocalFleet,
  type LocalHost,
  OPERATOR_KEY,
  urlOf,
} from "../test/local_fleet.ts";
import { describeFit, fitLine, type Point } from "./tables/linear_fit.ts";
import { openStreams, type StreamStatistics } from "./streams/open_streams.ts";
import { sourceDocument, startTokenSources } from "./streams/source_fleet.ts";

const SEED = 20_261;
const SOURCE_COUNT = 4;
const THREAD_COUNT = 3;
const TOKENS_PER_STREAM = 231;
const GAP_MS = 30;
const DURATION_MS = 16_000;
const WARM_UP_MS = 7_000;
const STREAMS_PER_S = [6, 11, 22, 44, 66, 88];
const KEY = "measure-key";

/** Resource usage of the host's process at one time. */
interface Usage {
  readonly cpuS: number;
  readonly residentBytes: number;
  readonly atMs: number;
}

export async function run(): Promise<void> {
  const fleet = new LocalFleet();
  try {
    await fleet.startPlatform();
    const sources = await startTokenSources(fleet, {
      count: SOURCE_COUNT,
      gapMs: GAP_MS,
    });
    const host = await fleet.startHost();
    await fleet.waitForVersion(
      await fleet.apply(sourceDocument(fleet, { key: KEY })),
    );
    console.log(
      `seed ${SEED}, ${TOKENS_PER_STREAM} tokens per stream, one every ${GAP_MS} ms\n`,
    );
    console.log(
      "| streams/s | tokens/s | first token p50/p95 ms, direct | through the host | " +
        "gap p95 ms, direct | through the host | host CPU % | CPU µs a token | resident MB |",
    );
    console.log(
      "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    );
    const cpuPoints: Point[] = [];
    const memoryPoints: Point[] = [];
    for (const streamsPerS of STREAMS_PER_S) {
      const direct = await openDirect(
        urlOf(sources[0]),
        Math.min(streamsPerS, 22),
      );
      const before = await readUsage(host);
      const probe = sampleMemory(host);
      const through = await openThrough(host, streamsPerS);
      const after = await readUsage(host);
      const peakBytes = await probe.stop();
      const busyS = after.cpuS - before.cpuS;
      const tokensPerS = through.tokenCount /
        ((after.atMs - before.atMs) / 1_000);
      cpuPoints.push({ x: through.tokenCount, y: busyS });
      memoryPoints.push({
        x: streamsPerS * TOKENS_PER_STREAM * GAP_MS / 1_000,
        y: peakBytes / 1e6,
      });
      printRow({
        streamsPerS,
        tokensPerS,
        direct,
        through,
        busyS,
        before,
        after,
        peakBytes,
      });
    }
    console.log();
    console.log(
      describeFit("processor seconds against tokens", fitLine(cpuPoints)),
    );
    console.log(
      describeFit("resident MB against open streams", fitLine(memoryPoints)),
    );
  } finally {
    await fleet.stop();
  }
}

function printRow(row: {
  readonly streamsPerS: number;
  readonly tokensPerS: number;
  readonly direct: StreamStatistics;
  readonly through: StreamStatistics;
  readonly busyS: number;
  readonly before: Usage;
  readonly after: Usage;
  readonly peakBytes: number;
}): void {
  const { direct, through } = row;
  const share = 100 * row.busyS / ((row.after.atMs - row.before.atMs) / 1_000);
  const incompleteCount = through.startedCount - through.completeCount;
  const firstTokenCells = [direct, through].map((figures) =>
    `${figures.firstTokenMs(50).toFixed(1)} / ${
      figures.firstTokenMs(95).toFixed(1)
    }`
  );
  const cells = [
    row.streamsPerS,
    Math.round(row.tokensPerS),
    ...firstTokenCells,
    direct.gapMs(95).toFixed(1),
    through.gapMs(95).toFixed(1),
    share.toFixed(1),
    (1e6 * row.busyS / through.tokenCount).toFixed(1),
    (row.peakBytes / 1e6).toFixed(0),
  ];
  console.log(
    `| ${cells.join(" | ")} |${
      incompleteCount > 0 ? ` ${incompleteCount} incomplete` : ""
    }`,
  );
}

function openDirect(
  url: string,
  streamsPerS: number,
): Promise<StreamStatistics> {
  const chain = [{ target: "source-0", url, first: 0, end: 8, generation: 1 }];
  const body = {
    attemptId: "direct",
    requestId: "direct",
    model: "model",
    version: "v1",
    chain,
    prompt: "x",
    generated: [],
    maxTokens: TOKENS_PER_STREAM,
    priority: 5,
    deadlineWallMs: Date.now() + 600_000,
    cacheScope: chainSignature(chain),
  };
  return openStreams({
    ...commonOptions(streamsPerS),
    url: `${url}/v1/generate`,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
    tokenMarker: '"text"',
    endMarker: "}",
  }, { threadCount: THREAD_COUNT });
}

function openThrough(
  host: LocalHost,
  streamsPerS: number,
): Promise<StreamStatistics> {
  return openStreams({
    ...commonOptions(streamsPerS),
    url: `${host.callerUrl}/v1/completions`,
    headers: {
      "content-type": "application/json",
      authorization: `Bearer ${KEY}`,
    },
    body: JSON.stringify({
      model: "escriba",
      prompt: "x",
      max_tokens: TOKENS_PER_STREAM,
      stream: true,
    }),
    tokenMarker: " token",
    endMarker: "[DONE]",
  }, { threadCount: THREAD_COUNT });
}

function commonOptions(streamsPerS: number) {
  return {
    streamsPerS,
    durationMs: DURATION_MS,
    warmUpMs: WARM_UP_MS,
    seed: SEED,
  };
}

async function readUsage(host: LocalHost): Promise<Usage> {
  const text = await got.get(`${host.operatorUrl}/metrics`, {
    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
  }).text();
  const read = (name: string) =>
    Number(new RegExp(`^${name} (.+)$`, "m").exec(text)?.[1]);
  return {
    cpuS: read("process_cpu_seconds_total"),
    residentBytes: read("process_resident_memory_bytes"),
    atMs: performance.now(),
  };
}

function sampleMemory(host: LocalHost): { stop(): Promise<number> } {
  let peakBytes = 0;
  const timer = setInterval(async () => {
    peakBytes = Math.max(peakBytes, (await readUsage(host)).residentBytes);
  }, 2_000);
  return {
    stop: () => {
      clearInterval(timer);
      return Promise.resolve(peakBytes);
    },
  };
}
