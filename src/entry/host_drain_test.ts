import { expect, test } from "vitest";
import { StopAdmission } from "../admission/stop_admission.ts";
import { silentLog } from "../common/logging.ts";
import { ManualClock } from "../../test/manual_clock.ts";
import { drainHost } from "./host_drain.ts";

/** Drains a host that has requests until `busyMs`; returns when, and the cancels. */
async function drain(
  graceMs: number,
  busyMs: number,
): Promise<{ readonly tookMs: number; readonly cancelled: number }> {
  const clock = new ManualClock();
  const startedMs = clock.nowMs();
  let cancelled = 0;
  const requests = {
    get active() {
      return clock.nowMs() - startedMs < busyMs ? 1 : 0;
    },
    cancelActive() {
      cancelled += requests.active;
    },
  };
  const admission = new StopAdmission({ clock });
  const log = silentLog;
  await clock.runUntil(
    drainHost({ clock, log, graceMs, admission, requests }),
  );
  return { tookMs: clock.nowMs() - startedMs, cancelled };
}

test("an idle host stays until kept connections have been answered", async () => {
  expect(await drain(8_000, 0)).toEqual({ tookMs: 3_600, cancelled: 0 });
  expect(await drain(3_000, 0)).toEqual({ tookMs: 2_550, cancelled: 0 });
});

test("a host exits soon after its last request", async () => {
  expect(await drain(8_000, 5_000)).toEqual({ tookMs: 5_000, cancelled: 0 });
});

test("a host cancels what still runs and exits within its grace", async () => {
  expect(await drain(3_000, 9_000)).toEqual({ tookMs: 2_650, cancelled: 1 });
  expect(await drain(8_000, 9_000)).toEqual({ tookMs: 7_200, cancelled: 1 });
});
