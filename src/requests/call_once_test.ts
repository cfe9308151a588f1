import fc from "fast-check";
import { Ok } from "ts-results-es";
import { expect, test } from "vitest";
import { settle } from "../../test/manual_clock.ts";
import {
  callService,
  serviceConfig,
  TestDesk,
} from "../../test/requests_calls.ts";
import { claimFleet, type ClaimHost } from "../../test/requests_claims.ts";
import { mayHaveRun, type Verdict } from "../common/verdict.ts";
import type { IClaimService } from "./services.ts";

const SEED = 20_261_204;
const RUNS = 500;
const FUZZ_TIMEOUT_MS = 120_000;
const HOST_COUNT = 5;
const KEYS = ["entry-1", "entry-2"];
/** After this long with everything healed a free key must be claimable. */
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

test(`histories of one key at many hosts, seed ${SEED}`, async () => {
  await fc.assert(
    fc.asyncProperty(scenario(), async (planned) => {
      const played = await runScenario(planned);
      expect(played.violations).toEqual([]);
    }),
    { seed: SEED, numRuns: RUNS },
  );
}, FUZZ_TIMEOUT_MS);

/** Longest time that a call without faults takes, from claim to outcome. */
const CALL_MS = 320;

test.each(["kill", "freeze"] as const)(
  "%s of each host at each step of a call",
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

/** A call at host 0, a fault, then the caller's next try at host 1. */
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

test("a table of keys on each host breaks the promise", async () => {
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

/** Plays a scenario, heals everything, and lists what broke. */
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
  const desk = new TestDesk({ clock, random, faults: planned.faults });
  const config = serviceConfig();
  const calls = hosts.map((entry) =>
    callService({
      ...fleet,
      host: entry.host,
      claims: options.claimsOf?.(entry) ?? entry.claims,
      desk,
      config,
      newId,
    })
  );
  const told: ReportedVerdict[] = [];
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
      told.push({ requestId, key, verdict });
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
  const violations = falseNotRunVerdicts(told, desk);
  const alive = hosts.findIndex(({ host }) => !host.isDead);
  const hasKills = hosts.some(({ host }) => host.isDead);
  for (const key of KEYS) {
    if (alive < 0) continue;
    const ranBefore = desk.runs.get(key)?.length ?? 0;
    await clock.runUntil(send(key, alive, 5_000));
    const last = told.at(-1)?.verdict;
    if (ranBefore === 0 && !hasKills && mayBeFree(told, key)) {
      if (last !== "complete") violations.push(`${key} stayed refused`);
    }
  }
  for (const [key, runs] of desk.runs) {
    if (runs.length > 1) violations.push(`${key} ran ${runs.length} times`);
  }
  return { violations, told, log, fleet };
}

/** False when a try may, for all its host could know, have run. */
function mayBeFree(told: readonly ReportedVerdict[], key: string): boolean {
  return told.slice(0, -1).every((try_) =>
    try_.key !== key || try_.verdict === "not-run"
  );
}

function falseNotRunVerdicts(
  told: readonly ReportedVerdict[],
  desk: TestDesk,
): string[] {
  const ran = new Set([...desk.runs.values()].flat());
  return told
    .filter((try_) => try_.verdict === "not-run" && ran.has(try_.requestId))
    .map((try_) => `${try_.requestId} was told not-run`);
}

/** The plain way: each host refuses the keys that it has seen itself. */
function perHostKeyTable(): IClaimService {
  const seen = new Set<string>();
  return {
    acquire: ({ idempotencyKey }) => {
      if (seen.has(idempotencyKey)) {
        return Promise.resolve(mayHaveRun("already-ran", "seen here"));
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
