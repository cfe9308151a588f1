/**
 * Measures the CPU time that the requests layer adds to a token and a stream.
 * The same tokens are delivered to a listener that only counts them, and through
 * `CompletionService`. Engines and picker are fakes of negligible cost; sockets
 * and parsing are not included.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Outcome } from "../src/common/verdict.ts";
import type { IChainPicker } from "../src/pipelines/services.ts";
import type { IEngineClient, TokenListener } from "../src/clients/services.ts";
import {
  chainSignature,
  type ChainStage,
  type EngineEnd,
} from "../src/clients/types.ts";
import { CompletionService } from "../src/requests/completion_service.ts";
import { RequestJournal } from "../src/requests/request_journal.ts";
import { NO_QUARANTINE, pipelineConfig } from "../test/requests_completions.ts";

const TOKENS_PER_STREAM = [16, 64, 256, 1_024];
const TOTAL_TOKENS = 400_000;
const TOKENS_PER_ARRIVAL = [1, 8];

const CHAIN: ChainStage[] = [0, 1, 2, 3].map((at) => ({
  target: `escriba-${at}`,
  url: `http://escriba-${at}`,
  first: 8 * at,
  end: 8 * at + 8,
  generation: 3,
}));
const SIGNATURE = chainSignature(CHAIN);

export async function run(): Promise<void> {
  const startMs = performance.now();
  console.log(`${TOTAL_TOKENS} tokens a row, 64 streams at a time`);
  console.log(
    "\n| tokens/stream | tokens/arrival | plain µs/token | service µs/token | added µs/token | tokens/s of one core |",
  );
  console.log("| ---: | ---: | ---: | ---: | ---: | ---: |");
  await measure(deliverDirectly, 64, 1);
  await measure(throughService(), 64, 1);
  for (const tokensPerArrival of TOKENS_PER_ARRIVAL) {
    for (const length of TOKENS_PER_STREAM) {
      const direct = await measure(deliverDirectly, length, tokensPerArrival);
      const served = await measure(throughService(), length, tokensPerArrival);
      const cells = [
        length,
        tokensPerArrival,
        direct.toFixed(2),
        served.toFixed(2),
        (served - direct).toFixed(2),
        Math.round(1e6 / served),
      ];
      console.log(`| ${cells.join(" | ")} |`);
    }
  }
  const tookS = (performance.now() - startMs) / 1_000;
  console.log(`\nrun time ${tookS.toFixed(0)} s`);
}

type Serve = (length: number, tokensPerArrival: number) => Promise<void>;

/** Returns CPU time per token, in µs. */
async function measure(
  serve: Serve,
  length: number,
  tokensPerArrival: number,
): Promise<number> {
  const before = process.cpuUsage();
  let left = Math.ceil(TOTAL_TOKENS / length);
  async function worker(): Promise<void> {
    while (left-- > 0) await serve(length, tokensPerArrival);
  }
  await Promise.all(Array.from({ length: 64 }, worker));
  const used = process.cpuUsage(before);
  return (used.user + used.system) / TOTAL_TOKENS;
}

async function deliverDirectly(
  length: number,
  tokensPerArrival: number,
): Promise<void> {
  let count = 0;
  const onTokens: TokenListener = (tokens) => void (count += tokens.length);
  await deliver("plain", { length, tokensPerArrival, onTokens });
}

function throughService(): Serve {
  let nextId = 0;
  let currentTokensPerArrival = 1;
  const engines = {
    generate: (_url, { attemptId, maxTokens }, { onTokens }) =>
      deliver(attemptId, {
        length: maxTokens,
        tokensPerArrival: currentTokensPerArrival,
        onTokens,
      }),
  } as Partial<IEngineClient> as IEngineClient;
  const picker: IChainPicker = {
    pick: () =>
      new Ok({ chain: CHAIN, model: "m", version: "v1", dispose: () => {} }),
    reportFailure: () => {},
    reportLoad: () => {},
    progressTimeoutMs: () => 1_000,
    reportProgress: () => {},
  };
  const service = new CompletionService({
    config: pipelineConfig(),
    picker,
    engines,
    journal: new RequestJournal(),
    quarantine: NO_QUARANTINE,
  });
  return async (length, tokensPerArrival) => {
    currentTokensPerArrival = tokensPerArrival;
    let count = 0;
    const outcome = await service.complete({
      requestId: `r${nextId++}`,
      customer: "ferias",
      pipeline: "escriba",
      prompt: "Describe the entry.",
      maxTokens: length,
      deadlineMs: performance.now() + 60_000,
      signal: new AbortController().signal,
    }, (tokens) => void (count += tokens.length));
    if (outcome.isErr() || count !== length) {
      throw new Error(`stream incomplete: got ${count} of ${length} tokens`);
    }
  };
}

/** Delivers the tokens of one stream, one arrival per turn of the event loop. */
async function deliver(
  attemptId: string,
  stream: { length: number; tokensPerArrival: number; onTokens: TokenListener },
): Promise<Outcome<EngineEnd>> {
  for (let from = 0; from < stream.length; from += stream.tokensPerArrival) {
    await new Promise((resolve) => setImmediate(resolve));
    const count = Math.min(stream.tokensPerArrival, stream.length - from);
    stream.onTokens(
      Array.from({ length: count }, (_, at) => ({
        attemptId,
        index: from + at,
        id: from,
        text: "word ",
        ran: SIGNATURE.slice(),
      })),
    );
  }
  return new Ok({ attemptId, tokenCount: stream.length, reason: "length" });
}

if (process.argv[1] === import.meta.filename) await run();
