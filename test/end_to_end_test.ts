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

test("operators who race on one version: one wins, the others get the present number", async () => {
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

test("every host knows every member by an address", async () => {
  const expected = fleet.hosts.map(({ peerUrl }) => peerUrl).sort();
  await waitUntil("all members everywhere", 10_000, async () => {
    const known = await Promise.all(fleet.hosts.map(memberUrls));
    return known.every((urls) => urls.join() === expected.join());
  });
});

test("one key sent to every host at once runs once", async () => {
  const key = "entry-race";
  const answers = await Promise.all(
    [0, 1, 2, 0, 1, 2].map((index) => sendEntry(fleet.hosts[index], key)),
  );
  expect(answers.filter(({ status }) => status === 200)).toHaveLength(1);
  expect(await runsOf(key)).toBe(1);
});

test("while the log is down an entry is refused as not run, and later it runs once", async () => {
  const log = fleet.platformLog;
  await fleet.control(log, { action: "down" });
  const refused = await sendEntry(fleet.hosts[0], "entry-down");
  expect(refused).toMatchObject({ status: 503, body: { verdict: "not-run" } });
  expect(await runsOf("entry-down")).toBe(0);
  await fleet.control(log, { action: "up" });
  await waitUntil("the entry to run", 20_000, async () => {
    return (await sendEntry(fleet.hosts[1], "entry-down")).status === 200;
  });
  expect(await runsOf("entry-down")).toBe(1);
});

test("stages killed, frozen and cut in mid-stream leave every answer whole", async () => {
  const answers = startStreams([0, 1, 2], STREAM_COUNT);
  await answers.started;
  fleet.engines.get("etapa-3b")?.kill("SIGKILL");
  await fleet.control(fleet.engines.get("etapa-0b")!, { action: "freeze" });
  await expectWhole(answers);
  await fleet.control(fleet.engines.get("etapa-0b")!, { action: "thaw" });
});

test("a killed host never ends a cut answer cleanly, and the others go on", async () => {
  const [doomed] = await startExtraHosts(1);
  const lost = startStreams([doomed], 4, LONG_TOKENS);
  const kept = startStreams([0], 4);
  await Promise.all([lost.started, kept.started]);
  doomed.program.kill("SIGKILL");
  await fleet.unlist(doomed.name);
  for (const { answer } of await lost.finished) {
    expect(answer?.ended ?? false).toBe(false);
  }
  await expectWhole(kept);
});

test("two hosts stopped at once under load, the log down, cut and refuse nothing", async () => {
  const stopping = await startExtraHosts(2);
  const running = startStreams(stopping, STREAM_COUNT);
  await running.started;
  await fleet.control(fleet.platformLog, { action: "down" });
  for (const host of stopping) host.program.kill("SIGTERM");
  const late = startStreams(stopping, 4);
  await expectWhole(running);
  await expectWhole(late);
  expect(await Promise.all(stopping.map((host) => host.program.exited)))
    .toEqual([0, 0]);
  await fleet.control(fleet.platformLog, { action: "up" });
});

test("a second signal ends a stopping host at once", async () => {
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

test("a wrong setting ends the daemon at once with one line", () => {
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

/** Hosts that the test may end; those of the fleet stay as they are. */
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

/** Streams that run together; `started` resolves when each has given some text. */
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
    let begin = () => {};
    const started = new Promise<void>((resolve) => begin = resolve);
    const finished = client.stream(
      { pipeline: "escriba", prompt, maxTokens },
      begin,
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

async function expectWhole(
  streams: { finished: Promise<StreamResult[]> },
): Promise<void> {
  for (const { prompt, maxTokens, answer } of await streams.finished) {
    const { text } = rightAnswer(prompt, maxTokens);
    expect(answer, JSON.stringify(answer)).toMatchObject({
      status: 200,
      ended: true,
      text,
    });
  }
}

function rightAnswer(prompt: string, maxTokens: number) {
  return expectedAnswer({
    model: DEMO_MODEL,
    version: DEMO_VERSION,
    layerCount: LAYER_COUNT,
    prompt,
    maxTokens,
  });
}

/** A prompt whose answer does not stop before its full length. */
function longPrompt(index: number, maxTokens: number): string {
  for (let variant = 0;; variant++) {
    const prompt = `briefing ${index}, ${variant}`;
    if (rightAnswer(prompt, maxTokens).reason === "length") return prompt;
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

async function runsOf(key: string): Promise<number> {
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
