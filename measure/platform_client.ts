/**
 * Measures the CPU time of the engine client per token and per request, next to
 * a bare `node:http` client that reads the same answers and discards them. A
 * separate process sends the answers at the rate of one host at full scale.
 * Run: node dist/measure/platform_client.js
 *
 * @module
 */

import { type ChildProcess, fork } from "node:child_process";
import {
  Agent,
  createServer,
  request as httpRequest,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { systemClock } from "../src/common/clock.ts";
import { EngineClient } from "../src/clients/engine_client.ts";
import { HttpClient } from "../src/clients/http_client.ts";

const SELF = fileURLToPath(import.meta.url);
/** Tokens per second that one host carries at full scale. */
const HOST_TOKENS_PER_S = 5_060;
const STREAM_COUNT = 152;
const TICK_MS = 10;
const TOKENS_PER_CHUNK = [1, 4, 16, 64];
const WARM_UP_MS = 600;
const WINDOW_MS = 250;
const WINDOW_COUNT = 6;
const ROUND_COUNT = 3;
const REQUEST_COUNT = 400;
const REQUESTS_AT_ONCE = 16;
/** First token index of a stream; large, so that all events have the same length. */
const FIRST_INDEX = 100_000;
const EVENT_BYTES = Buffer.byteLength(tokenEvent("s000", FIRST_INDEX));

type ClientKind = "bare" | "client";

interface TokenCounter {
  tokenCount: number;
}

export async function run(): Promise<void> {
  console.log(`no seed, the load is deterministic; ${STREAM_COUNT} streams`);
  console.log(
    `each figure: lower quartile of ${ROUND_COUNT} rounds of ${WINDOW_COUNT} ` +
      "windows, alternating bare and client, since the machine is shared",
  );
  console.log(
    "\n| tokens a chunk | bare µs a token | client µs a token | added | " +
      `client, share of a core at ${HOST_TOKENS_PER_S} tokens/s |`,
  );
  console.log("| --- | --- | --- | --- | --- |");
  for (const tokensPerChunk of TOKENS_PER_CHUNK) {
    const { bare, client } = await measureInterleaved((kind) =>
      measureTokens(kind, tokensPerChunk)
    );
    const share = client * HOST_TOKENS_PER_S / 1e6;
    console.log(
      `| ${tokensPerChunk} | ${bare.toFixed(1)} | ${client.toFixed(1)} | ${
        (client - bare).toFixed(1)
      } | ${(share * 100).toFixed(1)}% |`,
    );
  }
  const { bare, client } = await measureInterleaved(measureRequests);
  console.log("\n| | bare | client | added |\n| --- | --- | --- | --- |");
  console.log(
    `| µs a request of one token | ${bare.toFixed(0)} | ${
      client.toFixed(0)
    } | ${(client - bare).toFixed(0)} |`,
  );
}

/** Measures both clients alternately, after one warm-up round. */
async function measureInterleaved(
  measure: (kind: ClientKind) => Promise<number[]>,
): Promise<Record<ClientKind, number>> {
  const costs: Record<ClientKind, number[]> = { bare: [], client: [] };
  for (let round = 0; round <= ROUND_COUNT; round++) {
    for (const kind of ["bare", "client"] as const) {
      const windows = await measure(kind);
      if (round > 0) costs[kind].push(...windows);
    }
  }
  return {
    bare: lowerQuartile(costs.bare),
    client: lowerQuartile(costs.client),
  };
}

async function measureTokens(
  kind: ClientKind,
  tokensPerChunk: number,
): Promise<number[]> {
  const { source, url } = await startSource(tokensPerChunk);
  const controllers: AbortController[] = [];
  const counter = { tokenCount: 0 };
  const read = kind === "bare" ? bareReader(counter) : clientReader(counter);
  const streams = Array.from({ length: STREAM_COUNT }, (_, index) => {
    const attemptId = `s${String(index).padStart(3, "0")}`;
    const controller = new AbortController();
    controllers.push(controller);
    return read(url, { attemptId, signal: controller.signal });
  });
  await systemClock.sleep(WARM_UP_MS);
  const costs = await repeatWindows(async () => {
    const startCount = counter.tokenCount;
    await systemClock.sleep(WINDOW_MS);
    return counter.tokenCount - startCount;
  });
  for (const controller of controllers) controller.abort();
  await Promise.allSettled(streams);
  source.kill();
  return costs;
}

async function measureRequests(kind: ClientKind): Promise<number[]> {
  const { source, url } = await startSource(1);
  const counter = { tokenCount: 0 };
  const read = kind === "bare" ? bareReader(counter) : clientReader(counter);
  const send = () => {
    const { signal } = new AbortController();
    return read(url, { attemptId: "once", signal });
  };
  await repeat(REQUESTS_AT_ONCE, send);
  const costs = await repeatWindows(async () => {
    await repeat(REQUEST_COUNT, send);
    return REQUEST_COUNT;
  });
  source.kill();
  return costs;
}

/** CPU time in µs for each unit that `work` counts, one value per window. */
async function repeatWindows(work: () => Promise<number>): Promise<number[]> {
  const costs: number[] = [];
  for (let window = 0; window < WINDOW_COUNT; window++) {
    const startUsage = process.cpuUsage();
    const count = await work();
    const { user, system } = process.cpuUsage(startUsage);
    costs.push((user + system) / count);
  }
  return costs;
}

async function repeat(count: number, send: () => Promise<void>): Promise<void> {
  let left = count;
  const worker = async () => {
    while (left-- > 0) await send();
  };
  await Promise.all(Array.from({ length: REQUESTS_AT_ONCE }, worker));
}

type Reader = (
  url: string,
  options: { readonly attemptId: string; readonly signal: AbortSignal },
) => Promise<void>;

function clientReader(counter: TokenCounter): Reader {
  const client = new EngineClient({ http: new HttpClient() });
  return async (url, { attemptId, signal }) => {
    const attempt = { attemptId, fromIndex: FIRST_INDEX };
    const outcome = await client.reattach(url, attempt, {
      deadlineMs: systemClock.nowMs() + 600_000,
      signal,
      onTokens: (tokens) => counter.tokenCount += tokens.length,
    });
    if (outcome.isErr() && outcome.error.code !== "cancelled") {
      throw new Error(outcome.error.message);
    }
  };
}

function bareReader(counter: TokenCounter): Reader {
  const agent = new Agent({ keepAlive: true });
  let sizeBytes = 0;
  return (url, { attemptId, signal }) =>
    new Promise((resolve, reject) => {
      const path = `${url}/v1/attempts/${attemptId}/reattach`;
      const body = JSON.stringify({ fromIndex: FIRST_INDEX });
      const headers = {
        "content-type": "application/json",
        "content-length": body.length,
      };
      const options = { method: "POST", agent, signal, headers };
      const request = httpRequest(path, options, (response) => {
        response.on("data", (chunk: Buffer) => {
          sizeBytes += chunk.length;
          counter.tokenCount = Math.floor(sizeBytes / EVENT_BYTES);
        });
        response.once("error", reject);
        response.once("end", () => resolve());
      });
      request.once("error", reject);
      request.end(body);
    });
}

function tokenEvent(attemptId: string, index: number): string {
  const ran = "engine-1:0-12@3,engine-2:12-24@3,engine-3:24-36@7";
  const token = { attemptId, index, id: 50_000, text: " river", ran };
  return `event: token\ndata: ${JSON.stringify(token)}\n\n`;
}

function startSource(
  tokensPerChunk: number,
): Promise<{ source: ChildProcess; url: string }> {
  const source = fork(SELF, ["source", String(tokensPerChunk)]);
  return new Promise((resolve) => {
    source.once("message", (url) => resolve({ source, url: String(url) }));
  });
}

interface SourceStream {
  readonly attemptId: string;
  readonly response: ServerResponse;
  index: number;
  credit: number;
}

/** Runs the sending process: each stream writes a chunk whenever one is due. */
function runSource(tokensPerChunk: number): void {
  const streams = new Set<SourceStream>();
  const server = createServer((request, response) => {
    request.resume();
    const attemptId = request.url?.split("/")[3] ?? "";
    if (attemptId === "once") return respondOnce(response, attemptId);
    response.writeHead(200, { "content-type": "text/event-stream" });
    const credit = streams.size / STREAM_COUNT * tokensPerChunk;
    const stream = { attemptId, response, index: FIRST_INDEX, credit };
    streams.add(stream);
    response.once("close", () => streams.delete(stream));
  });
  server.listen(0, "127.0.0.1", () => {
    const { port } = server.address() as AddressInfo;
    process.send?.(`http://127.0.0.1:${port}`);
  });
  let tickedAtMs = performance.now();
  setInterval(() => {
    const nowMs = performance.now();
    const dueTokens = HOST_TOKENS_PER_S / STREAM_COUNT * (nowMs - tickedAtMs) /
      1_000;
    tickedAtMs = nowMs;
    for (const stream of streams) writeDue(stream, dueTokens, tokensPerChunk);
  }, TICK_MS);
  process.once("disconnect", () => process.exit(0));
}

function writeDue(
  stream: SourceStream,
  dueTokens: number,
  tokensPerChunk: number,
): void {
  stream.credit += dueTokens;
  while (stream.credit >= tokensPerChunk) {
    stream.credit -= tokensPerChunk;
    let chunk = "";
    for (let count = 0; count < tokensPerChunk; count++) {
      chunk += tokenEvent(stream.attemptId, stream.index++);
    }
    stream.response.write(chunk);
  }
}

function respondOnce(response: ServerResponse, attemptId: string): void {
  const tokenCount = FIRST_INDEX + 1;
  const end = { attemptId, tokenCount, reason: "length" };
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.end(
    `${tokenEvent(attemptId, FIRST_INDEX)}event: end\ndata: ${
      JSON.stringify(end)
    }\n\n`,
  );
}

function lowerQuartile(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[values.length >> 2];
}

if (process.argv[1] === SELF) {
  const [mode, tokensPerChunk] = process.argv.slice(2);
  if (mode === "source") runSource(Number(tokensPerChunk));
  else await run().then(() => process.exit(0));
}
