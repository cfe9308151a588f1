import { afterAll, beforeAll, expect, test } from "vitest";
import { expectedAnswer } from "../standins/engine/expected_answer.ts";
import { CallerClient, type CompletionAnswer } from "./caller_client.ts";
import {
  DEMO_MODEL,
  DEMO_VERSION,
  documentFor,
  LocalFleet,
} from "./local_fleet.ts";

const CALLER = { customer: "cooperativa", key: "caller-key" };
const REPLICAS = ["a", "b", "c", "d"];
const LAYER_COUNT = 6;
const STREAM_COUNT = 8;
const TOKENS = 60;
/**
 * Interval and limit of the attempts of a caller that is rejected as not run.
 */
const RETRY_INTERVAL_MS = 500;
const MAX_ATTEMPTS = 60;

let fleet: LocalFleet;

beforeAll(async () => {
  fleet = new LocalFleet({
    hostCount: 2,
    engines: REPLICAS.flatMap((replica) => [
      { name: `etapa-0${replica}`, first: 0, end: 3, tokenMs: 5 },
      { name: `etapa-3${replica}`, first: 3, end: 6, tokenMs: 5 },
    ]),
    services: ["mostrador"],
  });
  await fleet.start();
  const version = await fleet.apply(documentFor(fleet, {
    pipeline: "escriba",
    layerCount: LAYER_COUNT,
    stages: [
      { first: 0, end: 3, targets: REPLICAS.map((name) => `etapa-0${name}`) },
      { first: 3, end: 6, targets: REPLICAS.map((name) => `etapa-3${name}`) },
    ],
    service: "mostrador",
    callers: [CALLER],
  }));
  await fleet.waitForVersion(version);
}, 60_000);

afterAll(() => fleet.stop());

test(
  "streams complete although two engines are killed and one is frozen",
  async () => {
    const streams = Array.from(
      { length: STREAM_COUNT },
      (_, at) => startStream(at),
    );
    await Promise.race(streams.map((stream) => stream.started));
    fleet.engines.get("etapa-3a")?.kill("SIGKILL");
    fleet.engines.get("etapa-0b")?.kill("SIGSTOP");
    await streams[STREAM_COUNT - 1].started;
    fleet.engines.get("etapa-0c")?.kill("SIGKILL");
    for (const { prompt, finished } of streams) {
      const { text } = expectedAnswer({
        model: DEMO_MODEL,
        version: DEMO_VERSION,
        layerCount: LAYER_COUNT,
        prompt,
        maxTokens: TOKENS,
      });
      expect(await finished).toMatchObject({ status: 200, ended: true, text });
    }
    fleet.engines.get("etapa-0b")?.kill("SIGCONT");
  },
  60_000,
);

/** Starts a stream and retries while the verdict is `not-run`. */
function startStream(at: number) {
  const client = new CallerClient({
    baseUrl: fleet.hosts[at % fleet.hosts.length].callerUrl,
    key: CALLER.key,
  });
  const prompt = `briefing ${at}`;
  let resolveStarted = () => {};
  const started = new Promise<void>((resolve) => resolveStarted = resolve);
  async function run(): Promise<CompletionAnswer | undefined> {
    let answer: CompletionAnswer | undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const call = { pipeline: "escriba", prompt, maxTokens: TOKENS };
      answer = await client.stream(call, resolveStarted);
      if (answer.verdict !== "not-run") break;
      await new Promise((resolve) => setTimeout(resolve, RETRY_INTERVAL_MS));
    }
    resolveStarted();
    return answer;
  }
  return { prompt, started, finished: run() };
}
