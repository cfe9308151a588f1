import got from "got";
import { afterAll, beforeAll, expect, test } from "vitest";
import { CallerClient } from "./caller_client.ts";
import { documentFor, LocalFleet, urlOf, waitUntil } from "./local_fleet.ts";

const CALLER = { customer: "cooperativa", key: "caller-key" };
const HOST_COUNT = 4;
const KEYS = Array.from({ length: 40 }, (_, at) => `entry-${at}`);
/** Interval between rounds of calls, so that faults occur between them. */
const ROUND_INTERVAL_MS = 40;
const FREEZE_DURATION_MS = 700;
const LOG_OUTAGE_MS = 500;

interface ReceivedVerdict {
  readonly key: string;
  /** `unknown` if the host was killed during the call. */
  readonly verdict: string;
}

let fleet: LocalFleet;

beforeAll(async () => {
  fleet = new LocalFleet({
    hostCount: HOST_COUNT,
    services: ["mostrador-1", "mostrador-2"],
    engines: [{ name: "etapa", first: 0, end: 1 }],
  });
  await fleet.start();
  const version = await fleet.apply(documentFor(fleet, {
    pipeline: "escriba",
    layerCount: 1,
    stages: [{ first: 0, end: 1, targets: ["etapa"] }],
    service: "mostrador",
    callers: [CALLER],
  }));
  await fleet.waitForVersion(version);
}, 60_000);

afterAll(() => fleet.stop());

test(
  "a key sent to every host at once is executed at most once while hosts and the log fail",
  async () => {
    const received: ReceivedVerdict[] = [];
    const pending: Promise<void>[] = [];
    const faults = injectFaults();
    for (const key of KEYS) {
      for (let host = 0; host < HOST_COUNT; host += 1) {
        pending.push(
          send(key, host).then((verdict) => {
            received.push({ key, verdict });
          }),
        );
      }
      await pause(ROUND_INTERVAL_MS);
    }
    await Promise.all([...pending, faults]);
    const runs = await runsByKey();
    for (const key of KEYS) {
      const verdicts = received.filter((one) => one.key === key)
        .map((one) => one.verdict);
      const ran = runs.get(key) ?? 0;
      expect(ran, `${key} ${verdicts}`).toBeLessThanOrEqual(1);
      const completes = verdicts.filter((verdict) => verdict === "complete");
      expect(completes.length, key).toBeLessThanOrEqual(ran);
      if (verdicts.every((verdict) => verdict === "not-run")) {
        expect(ran, `${key} was reported as not-run`).toBe(0);
      }
    }
    expect(runs.size).toBeGreaterThan(0);
    await retryRejectedKeys(received, runs);
  },
  60_000,
);

/**
 * Checks that keys rejected as not run by every host can be claimed after
 * recovery.
 */
async function retryRejectedKeys(
  received: readonly ReceivedVerdict[],
  runs: ReadonlyMap<string, number>,
): Promise<void> {
  const rejected = KEYS.filter((key) =>
    !runs.has(key) &&
    received.every((one) => one.key !== key || one.verdict === "not-run")
  );
  for (const key of rejected) {
    await waitUntil(
      `${key} to be executed`,
      20_000,
      async () => await send(key, 0) === "complete",
    );
  }
  const after = await runsByKey();
  for (const key of KEYS) expect(after.get(key) ?? 0, key).toBeLessThan(2);
}

/** Drops answers of the log, pauses a host, stops the log and kills a host. */
async function injectFaults(): Promise<void> {
  await pause(3 * ROUND_INTERVAL_MS);
  await fleet.control(fleet.platformLog, { action: "lose-answers", count: 3 });
  await pause(3 * ROUND_INTERVAL_MS);
  fleet.hosts[2].program.kill("SIGSTOP");
  await pause(FREEZE_DURATION_MS);
  fleet.hosts[2].program.kill("SIGCONT");
  await fleet.control(fleet.platformLog, { action: "down" });
  await pause(LOG_OUTAGE_MS);
  await fleet.control(fleet.platformLog, { action: "up" });
  fleet.hosts[3].program.kill("SIGKILL");
}

async function send(key: string, host: number): Promise<string> {
  const client = new CallerClient({
    baseUrl: fleet.hosts[host].callerUrl,
    key: CALLER.key,
  });
  const call = { service: "mostrador", path: "/entries", key, body: { key } };
  const answer = await client.call(call).catch(() => undefined);
  if (answer === undefined) return "unknown";
  if (answer.status === 200) return "complete";
  return (answer.body as { verdict?: string }).verdict ?? "unknown";
}

async function runsByKey(): Promise<Map<string, number>> {
  const runs = new Map<string, number>();
  for (const service of fleet.services.values()) {
    const { executions } = await got.get(
      `${urlOf(service)}/control/executions`,
    ).json<{ executions: Record<string, number> }>();
    for (const [key, count] of Object.entries(executions)) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  return runs;
}

function pause(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}
