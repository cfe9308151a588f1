import { afterEach, expect, test } from "vitest";
import { systemClock } from "../../src/common/clock.ts";
import { EngineClient } from "../../src/platform/engine_client.ts";
import { HttpClient } from "../../src/platform/http_client.ts";
import {
  chainSignature,
  type ChainStage,
  type EngineToken,
  type GenerateRequest,
} from "../../src/platform/types.ts";
import { Faults } from "../common/faults.ts";
import { Engine, type EngineOptions } from "./engine.ts";
import { expectedAnswer } from "./expected_answer.ts";

const LAYER_COUNT = 6;
const cleanups: (() => Promise<void> | void)[] = [];
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

async function startChain(overrides: Partial<EngineOptions> = {}) {
  const http = new HttpClient();
  cleanups.push(() => http.dispose());
  const engines: Engine[] = [];
  const faults: Faults[] = [];
  const chain: ChainStage[] = [];
  for (let first = 0; first < LAYER_COUNT; first += 2) {
    const target = `t${first}`;
    const span = { first, end: first + 2 };
    const fault = new Faults({ exit: () => {} });
    const engine = new Engine({
      target,
      loaded: {
        ...span,
        model: "m",
        version: "v1",
        adapters: [],
        role: "both",
      },
      faults: fault,
      ...overrides,
    });
    cleanups.push(() => engine.close());
    const url = await engine.server.listen();
    engines.push(engine);
    faults.push(fault);
    chain.push({ ...span, target, url, generation: 1 });
  }
  const client = new EngineClient({ http });
  return { engines, faults, chain, client, url: chain[0].url };
}

function requestOf(
  chain: readonly ChainStage[],
  overrides: Partial<GenerateRequest> = {},
): GenerateRequest {
  return {
    attemptId: "a1",
    requestId: "r1",
    model: "m",
    version: "v1",
    chain,
    prompt: "list the cows of the valley",
    generated: [],
    maxTokens: 40,
    priority: 5,
    deadlineWallMs: Date.now() + 10_000,
    cacheScope: "c",
    ...overrides,
  };
}

const within = () => ({ deadlineMs: systemClock.nowMs() + 10_000 });

const answer = expectedAnswer({
  model: "m",
  version: "v1",
  prompt: "list the cows of the valley",
  layerCount: LAYER_COUNT,
  maxTokens: 40,
});

test("a chain gives the expected answer, each token with its stages", async () => {
  const { chain, client, url } = await startChain();
  const tokens: EngineToken[] = [];
  const outcome = await client.generate(url, requestOf(chain), {
    ...within(),
    onTokens: (batch) => tokens.push(...batch),
  });
  expect(outcome.unwrap()).toMatchObject({
    tokenCount: answer.ids.length,
    reason: answer.reason,
  });
  expect(tokens.map((token) => token.text).join("")).toBe(answer.text);
  expect(new Set(tokens.map((token) => token.ran))).toEqual(
    new Set([chainSignature(chain)]),
  );
});

test("a resumed answer continues the unbroken one at every position", async () => {
  const { chain, client, url } = await startChain();
  for (let position = 0; position <= answer.ids.length; position += 5) {
    const tokens: EngineToken[] = [];
    const generated = answer.ids.slice(0, position);
    const attemptId = `a-${position}`;
    const request = requestOf(chain, { attemptId, generated });
    const outcome = await client.generate(url, request, {
      ...within(),
      onTokens: (batch) => tokens.push(...batch),
    });
    expect(outcome.isOk()).toBe(true);
    expect(tokens.map((token) => token.id)).toEqual(answer.ids.slice(position));
  }
});

test("a stage of another generation refuses before anything starts", async () => {
  const { chain, client, engines, url } = await startChain();
  const stale = chain.map((stage, place) =>
    place === 2 ? { ...stage, generation: 9 } : stage
  );
  const outcome = await client.generate(url, requestOf(stale), {
    ...within(),
    onTokens: () => expect.unreachable(),
  });
  expect(outcome.unwrapErr()).toMatchObject({
    verdict: "not-run",
    code: "stale-generation",
  });
  expect(engines[2].counts.started).toBe(0);
});

test("a cut stream is reattached where it broke", async () => {
  const { chain, client, faults, url } = await startChain({ tokenMs: 1 });
  faults[0].apply({ action: "cut", afterTokens: 7 });
  const tokens: EngineToken[] = [];
  const onTokens = (batch: readonly EngineToken[]) => {
    tokens.push(...batch);
  };
  const options = { ...within(), onTokens };
  const cut = await client.generate(url, requestOf(chain), options);
  expect(cut.unwrapErr().verdict).toBe("may-have-run");
  expect(tokens.length).toBe(7);
  const fromIndex = tokens.length;
  const attempt = { attemptId: "a1", fromIndex };
  const resumed = await client.reattach(url, attempt, options);
  expect(resumed.isOk()).toBe(true);
  expect(tokens.map((token) => token.id)).toEqual(answer.ids);
});

test("a cancelled attempt ends at every stage", async () => {
  const { chain, client, engines, url } = await startChain({ tokenMs: 2 });
  const hangUp = new AbortController();
  const outcome = await client.generate(
    url,
    requestOf(chain, { maxTokens: 10_000 }),
    { ...within(), signal: hangUp.signal, onTokens: () => hangUp.abort() },
  );
  expect(outcome.unwrapErr()).toMatchObject({ code: "cancelled" });
  expect((await client.cancel(url, "a1", within())).isOk()).toBe(true);
  expect(engines.map((engine) => engine.counts.open)).toEqual([0, 0, 0]);
});
