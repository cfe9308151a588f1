import { expect, test } from "vitest";
import { claimFleet } from "../../test/requests_claims.ts";

const KEY = {
  customer: "ferias",
  service: "mostrador",
  idempotencyKey: "entry-7",
};

test("of many hosts that ask for one key at once, one wins", async () => {
  const { clock, hosts } = claimFleet({ seed: 1, hostCount: 9 });
  const deadlineMs = clock.nowMs() + 5_000;
  const asked = hosts.map(({ claims }) => claims.acquire(KEY, { deadlineMs }));
  const outcomes = await clock.runUntil(Promise.all(asked));
  const won = outcomes.filter((outcome) => outcome.isOk());
  expect(won).toHaveLength(1);
  for (const outcome of outcomes) {
    if (outcome.isErr()) expect(outcome.error.verdict).toBe("may-have-run");
  }
});

test("a key given back can be claimed again, a settled one cannot", async () => {
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

test("while the log is down a claim is refused promptly", async () => {
  const { clock, hosts, log } = claimFleet({ seed: 3, hostCount: 3 });
  log.isDown = true;
  const startMs = clock.nowMs();
  const outcome = await clock.runUntil(
    hosts[0].claims.acquire(KEY, { deadlineMs: startMs + 30_000 }),
  );
  expect(outcome.unwrapErr()).toMatchObject({
    verdict: "not-run",
    code: "log-unavailable",
  });
  expect(clock.nowMs() - startMs).toBeLessThan(2_000);
});
