import { spawnSync } from "node:child_process";
import process from "node:process";
import { afterAll, beforeAll, expect, test } from "vitest";
import got from "got";
import { expectedAnswer } from "../standins/engine/expected_answer.ts";
import { CallerClient, type CompletionAnswer } from "./caller_client.ts";
import {
  DEMO_MODEL,
  DEMO_VERSION,
  documentFor,
  isReady,
  LocalFleet,
  type LocalHost,
  urlOf,
  waitUntil,
} from "./local_fleet.ts";
import { distPath } from "./processes.ts";

const LAYER_COUNT = 6;
const CALLER = { customer: "cooperativa", key: "caller-key" };
const STREAM_COUNT = 12;
const TOKENS = 60;
const LONG_TOKENS = 400;

let fleet: LocalFleet;

beforeAll(async () => {
  fleet = new LocalFleet({
    hostCount: 3,
    engines: ["a", "b"].flatMap((replica) => [
      { name: `etapa-0${replica}`, first: 0, end: 3, tokenMs: 2 },
      { name: `etapa-3${replica}`, first: 3, end: 6, tokenMs: 2 },
    ]),
    services: ["mostrador-1", "mostrador-2"],
  });
  await fleet.start();
  await fleet.waitForVersion(
    await fleet.apply(documentFor(fleet, {
      pipeline: "escriba",
      layerCount: LAYER_COUNT,
      stages: [
        { first: 0, end: 3, targets: ["etapa-0a", "etapa-0b"] },
        { first: 3, end: 6, targets: ["etapa-3a", "etapa-3b"] },
      ],
      service: "mostrador",
      callers: [CALLER],
    })),
  );
});

afterAll(() => fleet.stop());

test("of concurrent patches to one version one is accepted, the others receive 409 with the current version", async () => {
  const current = await fleet.operator().get("operator/config").json<
    { version: number }
  >();
  const answers = await Promise.all(
    fleet.hosts.map((host, index) =>
      fleet.operator(host).patch("operator/config", {
        body: JSON.stringify({
          customers: { [`new-${index}`]: customerDocument() },
        }),
        headers: {
          "content-type": "application/merge-patch+json",
          "if-match": `"${current.version}"`,
        },
      })
    ),
  );
  const statuses = answers.map((answer) => answer.statusCode).sort();
  expect(statuses, JSON.stringify(answers.map(({ body }) => body))).toEqual([
    200,
    409,
    409,
  ]);
  for (const answer of answers.filter(({ statusCode }) => statusCode === 409)) {
    expect(answer.body).toMatchObject({
      currentVersion: current.version + 1,
      verdict: "not-run",
    });
  }
  await fleet.waitForVersion(current.version + 1);
});

test("every host lists the peer URL of every member", async () => {
  const expected = fleet.hosts.map(({ peerUrl }) => peerUrl).sort();
  await waitUntil("every host to list all members", 10_000, async () => {
    const known = await Promise.all(fleet.hosts.map(memberUrls));
    return known.every((urls) => urls.join() === expected.join());
  });
});

test("a key sent to every host at once is executed once", async () => {
  const key = "entry-race";
  const answers = await Promise.all(
    [0, 1, 2, 0, 1, 2].map((index) => sendEntry(fleet.hosts[index], key)),
  );
  expect(answers.filter(({ status }) => status === 200)).toHaveLength(1);
  expect(await executionsOf(key)).toBe(1);
});

test("an entry is rejected as not run while the log is down and executed once afterwards", async () => {
  const log = fleet.platformLog;
  await fleet.control(log, { action: "down" });
  const rejected = await sendEntry(fleet.hosts[0], "entry-down");
  expect(rejected).toMatchObject({ status: 503, body: { verdict: "not-run" } });
  expect(await executionsOf("entry-down")).toBe(0);
  await fleet.control(log, { action: "up" });
  await waitUntil("the entry to be executed", 20_000, async () => {
    return (await sendEntry(fleet.hosts[1], "entry-down")).status === 200;
  });
  expect(await executionsOf("entry-down")).toBe(1);
});

test("streams complete although a stage is killed and another is frozen mid-stream", async () => {
  const answers = startStreams([0, 1, 2], STREAM_COUNT);
  await answers.started;
  fleet.engines.get("etapa-3b")?.kill("SIGKILL");
  await fleet.control(fleet.engines.get("etapa-0b")!, { action: "freeze" });
  await expectComplete(answers);
  await fleet.control(fleet.engines.get("etapa-0b")!, { action: "thaw" });
});

test("streams of a killed host do not end cleanly, and streams of other hosts complete", async () => {
  const [killedHost] = await startExtraHosts(1);
  const interrupted = startStreams([killedHost], 4, LONG_TOKENS);
  const unaffected = startStreams([0], 4);
  await Promise.all([interrupted.started, unaffected.started]);
  killedHost.program.kill("SIGKILL");
  await fleet.unlist(killedHost.name);
  for (const { answer } of await interrupted.finished) {
    expect(answer?.ended ?? false).toBe(false);
  }
  await expectComplete(unaffected);
});

test("two hosts stopped at once under load while the log is down abort and reject no stream", async () => {
  const stopping = await startExtraHosts(2);
  const running = startStreams(stopping, STREAM_COUNT);
  await running.started;
  await fleet.control(fleet.platformLog, { action: "down" });
  for (const host of stopping) host.program.kill("SIGTERM");
  const late = startStreams(stopping, 4);
  await expectComplete(running);
  await expectComplete(late);
  expect(await Promise.all(stopping.map((host) => host.program.exited)))
    .toEqual([0, 0]);
  await fleet.control(fleet.platformLog, { action: "up" });
});

test("a second SIGTERM terminates a stopping host immediately", async () => {
  const [host] = await startExtraHosts(1);
  const streams = startStreams([host], 1, LONG_TOKENS);
  await streams.started;
  host.program.kill("SIGTERM");
  await waitUntil("the host to be unready", 5_000, async () => {
    return !await isReady(host);
  });
  host.program.kill("SIGTERM");
  expect(await host.program.exited).toBe(130);
  await streams.finished;
});

test("an invalid setting makes the daemon exit with one line on stderr", () => {
  const run = spawnSync(process.execPath, [
    distPath("src/daemon/main.js"),
    "--caller-port=x",
  ], {
    encoding: "utf8",
    env: { PATH: process.env["PATH"] },
  });
  expect(run.status).toBe(2);
  expect(run.stderr.trim().split("\n")).toHaveLength(1);
  expect(run.stderr).toMatch(/--failure-domain .*missing/);
});

/** Starts hosts that a test may stop, without adding them to `fleet.hosts`. */
async function startExtraHosts(count: number): Promise<LocalHost[]> {
  const extra: LocalHost[] = [];
  while (extra.length < count) extra.push(await fleet.startHost());
  try {
    await fleet.waitForVersion(1);
  } finally {
    fleet.hosts.splice(-count);
  }
  return extra;
}

interface StreamResult {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly answer?: CompletionAnswer;
}

/**
 * Starts concurrent streams; `started` resolves once each has text or has
 * ended.
 */
function startStreams(
  hosts: readonly (number | LocalHost)[],
  count: number,
  maxTokens = TOKENS,
): { started: Promise<unknown>; finished: Promise<StreamResult[]> } {
  const streams = Array.from({ length: count }, (_unused, index) => {
    const host = hosts[index % hosts.length];
    const { callerUrl } = typeof host === "number" ? fleet.hosts[host] : host;
    const client = new CallerClient({ baseUrl: callerUrl, key: CALLER.key });
    const prompt = longPrompt(index, maxTokens);
    let resolveStarted = () => {};
    const started = new Promise<void>((resolve) => resolveStarted = resolve);
    const finished = client.stream(
      { pipeline: "escriba", prompt, maxTokens },
      resolveStarted,
    )
      .then(
        (answer) => ({ prompt, maxTokens, answer }),
        () => ({ prompt, maxTokens }),
      );
    return { started: Promise.race([started, finished]), finished };
  });
  return {
    started: Promise.all(streams.map((stream) => stream.started)),
    finished: Promise.all(streams.map((stream) => stream.finished)),
  };
}

async function expectComplete(
  streams: { finished: Promise<StreamResult[]> },
): Promise<void> {
  for (const { prompt, maxTokens, answer } of await streams.finished) {
    const { text } = correctAnswer(prompt, maxTokens);
    expect(answer, JSON.stringify(answer)).toMatchObject({
      status: 200,
      ended: true,
      text,
    });
  }
}

function correctAnswer(prompt: string, maxTokens: number) {
  return expectedAnswer({
    model: DEMO_MODEL,
    version: DEMO_VERSION,
    layerCount: LAYER_COUNT,
    prompt,
    maxTokens,
  });
}

/** A prompt whose answer has the full `maxTokens` tokens. */
function longPrompt(index: number, maxTokens: number): string {
  for (let variant = 0;; variant++) {
    const prompt = `briefing ${index}, ${variant}`;
    if (correctAnswer(prompt, maxTokens).reason === "length") return prompt;
  }
}

async function memberUrls(host: LocalHost): Promise<string[]> {
  const { members } = await fleet.operator(host).get("operator/status")
    .json<{ members: readonly { url: string }[] }>();
  return members.map(({ url }) => url).sort();
}

function sendEntry(host: LocalHost, key: string) {
  const client = new CallerClient({ baseUrl: host.callerUrl, key: CALLER.key });
  return client.call({
    service: "mostrador",
    path: "/entries",
    key,
    body: { key },
  });
}

async function executionsOf(key: string): Promise<number> {
  const counts = await Promise.all(
    [...fleet.services.values()].map(async (service) => {
      const url = `${urlOf(service)}/control/executions`;
      const { executions } = await got.get(url).json<
        { executions: Record<string, number> }
      >();
      return executions[key] ?? 0;
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

function customerDocument() {
  return { keyDigests: [], requestsPerS: 1, concurrentRequests: 1 };
}
