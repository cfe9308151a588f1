import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { ConfigService } from "./config_service.ts";
import { FakeLog } from "./testing/fake_log.ts";

const customer = { keyDigests: [], requestsPerS: 5, concurrentRequests: 2 };

function change(baseVersion: number, name: string) {
  return {
    baseVersion,
    format: "merge-patch" as const,
    patch: { customers: { [name]: customer } },
    operator: `op-${name}`,
  };
}

function startTwoHosts(losesReply = () => false) {
  const clock = new ManualClock();
  const log = new FakeLog({ clock, faults: { losesReply: losesReply } });
  const stop = new AbortController();
  const hosts = ["h1", "h2"].map((host) => {
    const service = new ConfigService({ log: log.client(host), host, clock });
    service.run(stop.signal);
    return service;
  });
  return { clock, log, hosts, stop };
}

test("a change is in force on both hosts and a stale one is refused", async () => {
  const { clock, hosts: [a, b], stop } = startTwoHosts();
  await clock.advance(100);
  const deadlineMs = clock.nowMs() + 5_000;
  const first = clock.runUntil(a.patch(change(0, "one"), { deadlineMs }));
  expect((await first).unwrap().version).toBe(1);
  await clock.advance(100);
  expect(b.state.version).toBe(1);
  expect(Object.keys(b.state.config.customers)).toEqual(["one"]);
  const stale = await clock.runUntil(b.patch(change(0, "two"), { deadlineMs }));
  expect(stale.unwrapErr()).toMatchObject({
    verdict: "not-run",
    code: "stale-version",
    message: "version 0 is not in force; the present version is 1",
  });
  stop.abort();
});

test("of racing operators one wins; a lost answer is settled from the log", async () => {
  const { clock, hosts: [a, b], stop } = startTwoHosts(() => true);
  await clock.advance(100);
  const deadlineMs = clock.nowMs() + 5_000;
  const [one, two] = await clock.runUntil(Promise.all([
    a.patch(change(0, "one"), { deadlineMs }),
    b.patch(change(0, "two"), { deadlineMs }),
  ]));
  expect([one, two].filter((outcome) => outcome.isOk())).toHaveLength(1);
  expect([one, two].filter((outcome) => outcome.isErr())).toHaveLength(1);
  await clock.advance(100);
  expect(a.state).toEqual(b.state);
  expect(a.history({ limit: 5 }).map((entry) => entry.result)).toEqual([
    "superseded",
    "accepted",
  ]);
  stop.abort();
});
