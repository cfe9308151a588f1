import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { seededRandom } from "../common/random.ts";
import { silentLog } from "../common/logging.ts";
import type { TargetRecord } from "../ports/types.ts";
import { TargetLimits } from "./target_limits.ts";
import { TargetTable } from "./target_table.ts";

const SEED = 20261204;
const STEP_MS = 25;
const BROADCAST_MS = 250;
const WINDOW_MS = 4_000;
const RECORD: TargetRecord = {
  id: "t",
  service: "s",
  address: "10.0.0.1:80",
  domain: "a",
  state: "ready",
  bornMs: 1,
  kind: undefined,
  span: undefined,
};

function fleet(count: number) {
  const clock = new ManualClock();
  const ids = Array.from({ length: count }, (_, index) => `host-${index}`);
  const hosts = ids.map((hostId) => {
    const targets = new TargetTable({ clock, log: silentLog });
    targets.put(RECORD);
    const otherHosts = () => ids.filter((id) => id !== hostId);
    const limits = new TargetLimits({
      clock,
      log: silentLog,
      targets,
      hostId,
      otherHosts,
    });
    return { hostId, targets, limits };
  });
  const share = () => {
    for (const from of hosts) {
      const entries = from.limits.entriesToShare();
      for (const { hostId, limits } of hosts) {
        if (hostId !== from.hostId) limits.merge(entries, from.hostId);
      }
    }
  };
  return { clock, hosts, share };
}

test.each([
  [1, 3],
  [3, 0.4],
  [7, 3.2],
  [7, 20],
  [88, 1.5],
  [88, 30],
])(
  "%d hosts under load together keep to a limit of %d a second, and use it",
  async (count, limitPerS) => {
    const { clock, hosts, share } = fleet(count);
    const random = seededRandom(SEED);
    const sentAtMs: number[] = [];
    const namedMs = 4_000;
    for (let nowMs = 0; nowMs < 30_000; nowMs += STEP_MS) {
      for (const { limits } of hosts) {
        if (random() > 0.5 || !limits.tryAcquire("t")) continue;
        sentAtMs.push(nowMs);
        if (nowMs < namedMs) continue;
        limits.observe("t", {
          limitPerS,
          sentMs: clock.nowMs(),
          mayWithdraw: true,
        });
      }
      if (nowMs % BROADCAST_MS === 0) share();
      await clock.advance(STEP_MS);
    }
    const fromMs = namedMs + 4_500;
    const windows = sentAtMs.filter((atMs) => atMs >= fromMs).map((endMs) =>
      sentAtMs.filter((atMs) => atMs > endMs - WINDOW_MS && atMs <= endMs)
        .length
    );
    const limit = limitPerS * WINDOW_MS / 1_000;
    expect(Math.max(...windows)).toBeLessThanOrEqual(1.5 * limit + 5);
    const used = sentAtMs.filter((atMs) => atMs >= fromMs).length;
    const usable = limitPerS * (30_000 - fromMs) / 1_000;
    expect(used).toBeGreaterThanOrEqual(Math.floor(0.6 * usable));
  },
);

test("requests from before the limit was named count, also those of other hosts", async () => {
  const { clock, hosts: [a, b], share } = fleet(2);
  for (let i = 0; i < 20; i++) b.limits.recordSend("t");
  a.limits.observe("t", { limitPerS: 3, sentMs: 0, mayWithdraw: true });
  share();
  share();
  await clock.advance(2_000);
  expect([a, b].some(({ limits }) => limits.canSend("t"))).toBe(false);
  await clock.advance(2_100);
  share();
  expect([a, b].every(({ limits }) => limits.canSend("t"))).toBe(true);
});

test("a host that has its share again does not send it at once", async () => {
  const { clock, hosts: [a] } = fleet(1);
  a.limits.observe("t", { limitPerS: 2, sentMs: 0, mayWithdraw: true });
  expect([1, 2, 3].map(() => a.limits.tryAcquire("t")))
    .toEqual([true, false, false]);
  await clock.advance(500);
  expect(a.limits.tryAcquire("t")).toBe(true);
});

test("a limit holds until a later request is answered without one, on all hosts", async () => {
  const { clock, hosts: [a, b], share } = fleet(2);
  await clock.advance(1_000);
  const sentMs = clock.nowMs() - 500;
  a.limits.observe("t", { limitPerS: 0, sentMs, mayWithdraw: true });
  share();
  expect(b.limits.canSend("t")).toBe(false);
  const none = { limitPerS: undefined, mayWithdraw: true };
  a.limits.observe("t", { ...none, sentMs });
  a.limits.observe("t", { ...none, sentMs: sentMs + 900, mayWithdraw: false });
  expect(a.limits.canSend("t")).toBe(false);
  await clock.advance(100);
  b.limits.observe("t", { ...none, sentMs: clock.nowMs() });
  share();
  expect([a, b].map(({ limits }) => limits.limitedCount)).toEqual([0, 0]);
});

test("a limit ends with the process that named it", () => {
  const { hosts: [a] } = fleet(1);
  a.limits.observe("t", { limitPerS: 0, sentMs: 0, mayWithdraw: true });
  a.targets.put({ ...RECORD, span: { from: 0, to: 2 } });
  expect(a.limits.limitedCount).toBe(1);
  a.targets.put({ ...RECORD, bornMs: 2 });
  expect(a.limits.canSend("t")).toBe(true);
});

test("a limit that no response confirms is forgotten", async () => {
  const { clock, hosts: [a, b], share } = fleet(2);
  a.limits.observe("t", { limitPerS: 0, sentMs: 0, mayWithdraw: true });
  for (let i = 0; i < 30; i++) {
    expect(b.limits.canSend("t")).toBe(i === 0);
    share();
    await clock.advance(1_000);
  }
  expect(b.limits.canSend("t")).toBe(true);
});
