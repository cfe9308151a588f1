import fc from "fast-check";
import { Ok } from "ts-results-es";
import { expect, test } from "vitest";
import { settle } from "../../test/manual_clock.ts";
import {
  callService,
  serviceConfig,
  TestService,
} from "../../test/requests_calls.ts";
import { claimFleet, type ClaimHost } from "../../test/requests_claims.ts";
import { mayHaveRun, type Verdict } from "../common/verdict.ts";
import type { IClaimService } from "./services.ts";

const SEED = 20_261_204;
const RUNS = 500;
const FUZZ_TIMEOUT_MS = 120_000;
const HOST_COUNT = 5;
const KEYS = ["entry-1", "entry-2"];
/** Time after the last fault by which a free key must be claimable. */
const RECOVERY_MS = 60_000;

type Step =
  | { kind: "send"; key: string; host: number; withinMs: number }
  | { kind: "wait"; waitMs: number }
  | { kind: "freeze" | "thaw" | "kill"; host: number }
  | { kind: "cut"; host: number; other: number }
  | { kind: "heal" }
  | { kind: "log"; isDown: boolean };

interface Scenario {
  readonly seed: number;
  readonly faults: number;
  readonly steps: readonly Step[];
}

interface ReportedVerdict {
  readonly requestId: string;
  readonly key: string;
  readonly verdict: Verdict;
}

test(`a key runs at most once under random faults, seed ${SEED}`, async () => {
  await fc.assert(
    fc.asyncProperty(scenario(), async (planned) => {
      const played = await runScenario(planned);
      expect(played.violations).toEqual([]);
    }),
    { seed: SEED, numRuns: RUNS },
  );
}, FUZZ_TIMEOUT_MS);

/** Upper bound on the duration of a call without faults. */
const CALL_MS = 320;

test.each(["kill", "freeze"] as const)(
  "a key runs at most once after %s of any host at any time of a call",
  async (fault) => {
    for (let host = 0; host < HOST_COUNT; host += 1) {
      for (let atMs = 0; atMs < CALL_MS; atMs += 2) {
        const { violations } = await runScenario({
          seed: atMs,
          faults: 0,
          steps: stepsAround({ kind: fault, host }, atMs),
        });
        expect(violations, `${fault} of ${host} at ${atMs}`).toEqual([]);
      }
    }
  },
  FUZZ_TIMEOUT_MS,
);

/** A call at host 0, a fault, then a retry by the caller at host 1. */
function stepsAround(fault: Step, atMs: number): Step[] {
  const key = KEYS[0];
  return [
    { kind: "send", key, host: 0, withinMs: 2_000 },
    { kind: "wait", waitMs: atMs },
    fault,
    { kind: "wait", waitMs: 2_500 },
    { kind: "send", key, host: 1, withinMs: 2_000 },
    { kind: "wait", waitMs: 2_500 },
  ];
}

test("key tables local to each host are detected as running a key twice", async () => {
  const found: string[] = [];
  await fc.assert(
    fc.asyncProperty(scenario(), async (planned) => {
      const played = await runScenario(planned, { claimsOf: perHostKeyTable });
      found.push(...played.violations);
    }),
    { seed: SEED, numRuns: 100 },
  );
  expect(found.filter((text) => text.includes("ran 2"))).not.toEqual([]);
});

/** Runs a scenario, removes all faults, and lists the violations. */
async function runScenario(
  planned: Scenario,
  options: { claimsOf?: (host: ClaimHost) => IClaimService } = {},
) {
  const fleet = claimFleet({
    seed: planned.seed,
    hostCount: HOST_COUNT,
    lostAnswers: planned.faults,
  });
  const { clock, random, log, network, hosts, newId } = fleet;
  const desk = new TestService({ clock, random, faults: planned.faults });
  const config = serviceConfig();
  const calls = hosts.map((entry) =>
    callService({
      ...fleet,
      host: entry.host,
      claims: options.claimsOf?.(entry) ?? entry.claims,
      service: desk,
      config,
      newId,
    })
  );
  const reported: ReportedVerdict[] = [];
  let sentCount = 0;
  function send(key: string, host: number, withinMs: number): Promise<void> {
    const requestId = `request-${sentCount++}`;
    return calls[host].call({
      requestId,
      customer: "ferias",
      service: "mostrador",
      method: "POST",
      path: "/entries",
      body: new TextEncoder().encode(requestId),
      idempotencyKey: key,
      idempotent: false,
      deadlineMs: clock.nowMs() + withinMs,
      signal: new AbortController().signal,
    }).then((outcome) => {
      const verdict = outcome.isOk() ? "complete" : outcome.error.verdict;
      reported.push({ requestId, key, verdict });
    });
  }
  for (const step of planned.steps) await apply(step);
  async function apply(step: Step): Promise<void> {
    switch (step.kind) {
      case "send":
        void send(step.key, step.host, step.withinMs);
        return;
      case "wait":
        return await clock.advance(step.waitMs);
      case "freeze":
      case "thaw":
      case "kill":
        hosts[step.host].host[step.kind]();
        return await settle();
      case "cut":
        return network.cut(`host-${step.host}`, `host-${step.other}`);
      case "heal":
        return network.heal();
      case "log":
        log.isDown = step.isDown;
    }
  }
  log.isDown = false;
  log.lostAnswers = 0;
  desk.faults = 0;
  network.heal();
  for (const { host } of hosts) host.thaw();
  await clock.advance(RECOVERY_MS);
  const violations = falseNotRunVerdicts(reported, desk);
  const alive = hosts.findIndex(({ host }) => !host.isDead);
  const hasKills = hosts.some(({ host }) => host.isDead);
  for (const key of KEYS) {
    if (alive < 0) continue;
    const ranBefore = desk.runs.get(key)?.length ?? 0;
    await clock.runUntil(send(key, alive, 5_000));
    const last = reported.at(-1)?.verdict;
    if (ranBefore === 0 && !hasKills && mayBeFree(reported, key)) {
      if (last !== "complete") violations.push(`${key} not claimable`);
    }
  }
  for (const [key, runs] of desk.runs) {
    if (runs.length > 1) violations.push(`${key} ran ${runs.length} times`);
  }
  return { violations, reported, log, fleet };
}

/** Whether all earlier requests with the key ended with `not-run`. */
function mayBeFree(reported: readonly ReportedVerdict[], key: string): boolean {
  return reported.slice(0, -1).every((entry) =>
    entry.key !== key || entry.verdict === "not-run"
  );
}

function falseNotRunVerdicts(
  reported: readonly ReportedVerdict[],
  desk: TestService,
): string[] {
  const ran = new Set([...desk.runs.values()].flat());
  return reported
    .filter((entry) => entry.verdict === "not-run" && ran.has(entry.requestId))
    .map((entry) => `${entry.requestId} ended with not-run but ran`);
}

/** Baseline: each host refuses only the keys that it has seen itself. */
function perHostKeyTable(): IClaimService {
  const seen = new Set<string>();
  return {
    acquire: ({ idempotencyKey }) => {
      if (seen.has(idempotencyKey)) {
        return Promise.resolve(
          mayHaveRun("already-ran", "key was seen by this host"),
        );
      }
      seen.add(idempotencyKey);
      return Promise.resolve(
        new Ok({
          claimId: idempotencyKey,
          mayDispatch: () => true,
          release: () => void seen.delete(idempotencyKey),
          settle: () => {},
        }),
      );
    },
  };
}

function scenario(): fc.Arbitrary<Scenario> {
  const host = fc.nat({ max: HOST_COUNT - 1 });
  const send = fc.record({
    kind: fc.constant("send" as const),
    key: fc.constantFrom(...KEYS),
    host,
    withinMs: fc.constantFrom(300, 2_000, 10_000),
  });
  const wait = fc.record({
    kind: fc.constant("wait" as const),
    waitMs: fc.constantFrom(1, 5, 20, 60, 300, 2_000, 120_000),
  });
  const state = fc.record({
    kind: fc.constantFrom("freeze" as const, "thaw" as const, "kill" as const),
    host,
  });
  const cut = fc.record({
    kind: fc.constant("cut" as const),
    host,
    other: host,
  });
  const heal = fc.record({ kind: fc.constant("heal" as const) });
  const logState = fc.record({
    kind: fc.constant("log" as const),
    isDown: fc.boolean(),
  });
  return fc.record({
    seed: fc.nat(),
    faults: fc.constantFrom(0, 0.1, 0.5),
    steps: fc.array(
      fc.oneof(
        { weight: 6, arbitrary: send },
        { weight: 5, arbitrary: wait },
        { weight: 2, arbitrary: state },
        { weight: 1, arbitrary: cut },
        { weight: 1, arbitrary: heal },
        { weight: 1, arbitrary: logState },
      ),
      { minLength: 6, maxLength: 30, size: "max" },
    ),
  });
}
