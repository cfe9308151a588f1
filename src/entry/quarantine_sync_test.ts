import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { ContentQuarantine } from "../admission/content_quarantine.ts";
import { silentLog } from "../common/logging.ts";
import type { LossEntry } from "../ports/types.ts";
import { QuarantineSync } from "./quarantine_sync.ts";

const ENTRY: LossEntry = {
  contentId: "c",
  clearCount: 0,
  losses: 3,
  totalLosses: 3,
  processes: ["a"],
  lossEventId: -1,
};

function syncWith(isLeader: boolean) {
  const clock = new ManualClock();
  const quarantine = new ContentQuarantine({ clock });
  const ledger = quarantine.losses;
  const written: string[] = [];
  const removed: string[] = [];
  const sync = new QuarantineSync({
    quarantine,
    log: silentLog,
    isLeader: () => isLeader,
    registry: {
      announce: () => Promise.resolve(),
      list: () => Promise.reject(new Error("unused")),
      writeSettledEra: () => Promise.resolve(),
      writeQuarantine: ({ contentId }) => {
        written.push(contentId);
        return Promise.resolve();
      },
      removeQuarantine: (contentId) => {
        removed.push(contentId);
        return Promise.resolve();
      },
    },
  });
  return { clock, quarantine, ledger, sync, written, removed };
}

test("the leader writes a quarantine that the store lost, and only once while it is there", async () => {
  const { ledger, sync, written } = syncWith(true);
  ledger.merge(ENTRY);
  await sync.synchronize([]);
  await sync.synchronize([ENTRY]);
  expect(written).toEqual(["c"]);
});

test("another host than the leader writes and removes nothing", async () => {
  const { ledger, sync, written, removed } = syncWith(false);
  ledger.merge(ENTRY);
  await sync.synchronize([{ ...ENTRY, contentId: "old", losses: 0 }]);
  expect([written, removed]).toEqual([[], []]);
});

test("a quarantine in the store is learnt, and removed when it has ended", async () => {
  const { clock, ledger, sync, removed } = syncWith(true);
  await sync.synchronize([ENTRY]);
  expect(ledger.isQuarantined("c")).toBe(true);
  await clock.advance(600_000);
  await sync.synchronize([ENTRY]);
  expect(removed).toEqual(["c"]);
});

const PART: LossEntry = { ...ENTRY, contentId: "dead/part" };

test("a prompt part is kept in the store beyond its hold, until it is cleared", async () => {
  const { clock, quarantine, ledger, sync, written, removed } = syncWith(true);
  ledger.merge(PART);
  await sync.synchronize([]);
  expect(written).toEqual(["dead/part"]);
  await clock.advance(60_000);
  expect(ledger.isQuarantined("dead/part")).toBe(false);
  await sync.synchronize([PART]);
  expect(removed).toEqual([]);
  quarantine.recordPartProgress("dead/part");
  await sync.synchronize([PART]);
  expect(removed).toEqual(["dead/part"]);
});

test("a prompt part that does not come again is removed from the store", async () => {
  const { clock, ledger, sync, removed } = syncWith(true);
  ledger.merge(PART);
  await clock.advance(700_000);
  await sync.synchronize([PART]);
  expect(removed).toEqual(["dead/part"]);
});

test("another host's word on a prompt part that runs here is contradicted", () => {
  const { quarantine, ledger, sync } = syncWith(false);
  quarantine.recordPartProgress("dead/part");
  sync.mergeLosses([PART], "host-1");
  sync.mergeBreaks([PART], "host-1");
  expect(quarantine.heldForMs(["dead/part"])).toBe(0);
  expect(ledger.baseline("dead/part")).toMatchObject({ clearCount: 1 });
});

test("a prompt part that ended three targets is saved at once, though its hold is short", () => {
  const { ledger, written } = syncWith(false);
  for (let i = 0; i < 3; i++) {
    expect(written).toEqual([]);
    const baseline = ledger.baseline("dead/part");
    ledger.recordLoss("dead/part", { baseline, lastEventId: undefined });
  }
  expect(written).toEqual(["dead/part"]);
});
