import { expect, test } from "vitest";
import { claimFleet } from "../../test/requests_claims.ts";
import { rendezvousRank } from "../common/hash.ts";
import {
  CLAIM_PARTITION_COUNT,
  claimStream,
  digestClaimKey,
  partitionOf,
} from "./claim_records.ts";
import type { ClaimKey } from "./services.ts";

const KEY = keyNamed("entry-7");
/** Specified limit of appends per second for all claims of the fleet. */
const APPENDS_PER_S = 200;
/** Burst of the batchers, 2 per partition; each host adds 1 of its own. */
const BURST = 2 * CLAIM_PARTITION_COUNT;

function keyNamed(idempotencyKey: string): ClaimKey {
  return { customer: "ferias", service: "mostrador", idempotencyKey };
}

test("one of many hosts that claim the same key concurrently wins", async () => {
  const { clock, hosts } = claimFleet({ seed: 1, hostCount: 9 });
  const deadlineMs = clock.nowMs() + 5_000;
  const pending = hosts.map(({ claims }) =>
    claims.acquire(KEY, { deadlineMs })
  );
  const outcomes = await clock.runUntil(Promise.all(pending));
  const won = outcomes.filter((outcome) => outcome.isOk());
  expect(won).toHaveLength(1);
  for (const outcome of outcomes) {
    if (outcome.isErr()) expect(outcome.error.verdict).toBe("may-have-run");
  }
});

test("a released key can be claimed again, a settled one cannot", async () => {
  const { clock, hosts } = claimFleet({ seed: 2, hostCount: 3 });
  const acquire = (at: number) =>
    clock.runUntil(
      hosts[at].claims.acquire(KEY, { deadlineMs: clock.nowMs() + 5_000 }),
    );
  (await acquire(0)).unwrap().release();
  const second = (await acquire(1)).unwrap();
  second.settle("ran");
  const third = (await acquire(2)).unwrapErr();
  expect(third).toMatchObject({
    verdict: "may-have-run",
    code: "already-ran",
  });
});

test("a duplicate fails with claim-held while the first request is running", async () => {
  const { clock, hosts } = claimFleet({ seed: 2, hostCount: 3 });
  const deadlineMs = clock.nowMs() + 5_000;
  const held = hosts[0].claims.acquire(KEY, { deadlineMs });
  expect((await clock.runUntil(held)).isOk()).toBe(true);
  const second = hosts[1].claims.acquire(KEY, { deadlineMs });
  expect((await clock.runUntil(second)).unwrapErr()).toMatchObject({
    verdict: "may-have-run",
    code: "claim-held",
    message: "an earlier request with the same key is running",
  });
});

test("claims are refused in bounded time, then at once, while the log is down", async () => {
  const { clock, hosts, log } = claimFleet({ seed: 3, hostCount: 3 });
  log.isDown = true;
  const waitsMs: number[] = [];
  for (let count = 0; count < 5; count += 1) {
    const startMs = clock.nowMs();
    const outcome = await clock.runUntil(
      hosts[0].claims.acquire(KEY, { deadlineMs: startMs + 30_000 }),
    );
    const failure = outcome.unwrapErr();
    expect(failure).toMatchObject({
      verdict: "not-run",
      code: "log-unavailable",
    });
    expect(failure.retryAtWallMs).toBeGreaterThan(clock.wallMs());
    waitsMs.push(clock.nowMs() - startMs);
  }
  expect(Math.max(...waitsMs)).toBeLessThanOrEqual(1_500);
  expect(Math.min(...waitsMs)).toBeLessThan(20);
  for (let count = 0; count < 1_000; count += 1) {
    const deadlineMs = clock.nowMs() + 5_000;
    void hosts[count % 3].claims.acquire(keyNamed(`${count}`), { deadlineMs });
    await clock.advance(20);
  }
  expect(log.failedCount).toBeLessThan(200);
  log.isDown = false;
  await clock.advance(30_000);
  const healed = hosts[1].claims.acquire(KEY, {
    deadlineMs: clock.nowMs() + 5_000,
  });
  expect((await clock.runUntil(healed)).isOk()).toBe(true);
});

test("a holder that was suspended past its key's window does not dispatch", async () => {
  const windowMs = 10_000;
  const { clock, hosts } = claimFleet({
    seed: 4,
    hostCount: 3,
    policy: { windowMs },
  });
  const lastsMs = 5_000;
  const first = await clock.runUntil(
    hosts[0].claims.acquire(KEY, { deadlineMs: clock.nowMs() + lastsMs }),
  );
  const claim = first.unwrap();
  expect(claim.mayDispatch()).toBe(true);
  hosts[0].host.freeze();
  await clock.advance(windowMs + lastsMs + 1_000);
  const second = await clock.runUntil(
    hosts[1].claims.acquire(KEY, { deadlineMs: clock.nowMs() + lastsMs }),
  );
  expect(second.isOk()).toBe(true);
  hosts[0].host.thaw();
  expect(claim.mayDispatch()).toBe(false);
});

test.each([
  ["all hosts agree", "none"],
  ["the batching hosts are lost", "kill"],
  ["the fleet is partitioned in two halves", "split"],
])(
  "a burst of claims stays within the append budget when %s",
  async (_, trouble) => {
    const hostCount = 40;
    const fleet = claimFleet({ seed: 5, hostCount });
    const { clock, hosts, log, random } = fleet;
    if (trouble === "kill") {
      const names = hosts.map(({ host }) => host.member.name);
      for (let at = 0; at < CLAIM_PARTITION_COUNT; at += 1) {
        for (const name of rendezvousRank(claimStream(at), names).slice(0, 2)) {
          hosts[names.indexOf(name)].host.kill();
        }
      }
    }
    if (trouble === "split") fleet.split((at) => at % 2);
    let wonCount = 0;
    for (let tick = 0; tick < 200; tick += 1) {
      for (let at = 0; at < 10; at += 1) {
        const host = hosts[Math.floor(random() * hostCount)];
        const key = keyNamed(`${tick}/${at}`);
        void host.claims.acquire(key, { deadlineMs: clock.nowMs() + 5_000 })
          .then((outcome) => wonCount += outcome.isOk() ? 1 : 0);
      }
      await clock.advance(25);
    }
    await clock.advance(5_000);
    expect(mostInOneSecond(log.appendedAtMs))
      .toBeLessThanOrEqual(APPENDS_PER_S + BURST + hostCount);
    expect(wonCount).toBeGreaterThan(trouble === "kill" ? 20 : 1_900);
  },
);

test("a log retention shorter than the key window is rejected", () => {
  const policy = { logRetentionMs: 3_600_000 };
  expect(() => claimFleet({ seed: 1, hostCount: 1, policy }))
    .toThrow("logRetentionMs is 3600000, but must be at least 4500000");
});

test("keys are distributed over all partitions", () => {
  const counts = new Map<number, number>();
  for (let at = 0; at < 1_000; at += 1) {
    const partition = partitionOf(digestClaimKey(keyNamed(`${at}`)));
    counts.set(partition, (counts.get(partition) ?? 0) + 1);
  }
  expect(counts.size).toBe(CLAIM_PARTITION_COUNT);
  expect(Math.min(...counts.values())).toBeGreaterThan(150);
});

function mostInOneSecond(timesMs: readonly number[]): number {
  const sorted = [...timesMs].sort((a, b) => a - b);
  let most = 0;
  let from = 0;
  for (const [at, timeMs] of sorted.entries()) {
    while (sorted[from] <= timeMs - 1_000) from += 1;
    most = Math.max(most, at - from + 1);
  }
  return most;
}
