import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { ContentQuarantine } from "./content_quarantine.ts";

const CONTENT = "c";
const HOLD_MS = 6_000;

/** Hosts that hear of one another's entries after `delayMs`. */
function fleet(hosts: number, delayMs: number) {
  const clock = new ManualClock();
  const quarantines = Array.from(
    { length: hosts },
    (_, index) => new ContentQuarantine({ clock, hostId: `host-${index}` }),
  );
  for (const from of quarantines) {
    for (const name of ["losses", "breaks"] as const) {
      const share = (): void => {
        const entries = from[name].entriesToShare(100);
        void clock.sleep(delayMs).then(() => {
          for (const to of quarantines) {
            for (const entry of entries) to[name].merge(entry);
          }
        });
      };
      from[name].onLoss(share);
      from[name].onTrial(share);
    }
  }
  return { clock, quarantines };
}

async function acquireAll(
  { clock, quarantines }: ReturnType<typeof fleet>,
) {
  const permits = Promise.all(
    quarantines.map((one) => one.acquire([CONTENT])),
  );
  await clock.advance(200);
  return (await permits).filter((permit) => permit !== undefined);
}

function lose({ losses }: ContentQuarantine): void {
  losses.recordLoss(CONTENT, {
    baseline: losses.baseline(CONTENT),
    lastEventId: undefined,
  });
}

test.each([7, 195])(
  "of %d hosts that ask at once when a hold ends, one may send, and the others when it has cleared the content",
  async (hosts) => {
    const all = fleet(hosts, 85);
    const { clock, quarantines } = all;
    expect(await acquireAll(all)).toHaveLength(hosts);
    lose(quarantines[0]);
    expect(await acquireAll(all)).toHaveLength(hosts);
    lose(quarantines[0]);
    await clock.advance(100);
    expect(await acquireAll(all)).toHaveLength(0);
    await clock.advance(HOLD_MS);
    expect(await acquireAll(all)).toHaveLength(1);
    expect(await acquireAll(all)).toHaveLength(0);
    quarantines[0].recordProgress(CONTENT, Infinity);
    await clock.advance(100);
    expect(await acquireAll(all)).toHaveLength(hosts);
  },
);

test("a trial that ended without a result, or whose host died, lets another begin", async () => {
  const all = fleet(3, 5);
  lose(all.quarantines[0]);
  lose(all.quarantines[0]);
  await all.clock.advance(HOLD_MS + 100);
  const [permit] = await acquireAll(all);
  permit?.release();
  await all.clock.advance(20);
  expect(await acquireAll(all)).toHaveLength(1);
  expect(await acquireAll(all)).toHaveLength(0);
  await all.clock.advance(7_000);
  expect(await acquireAll(all)).toHaveLength(1);
});

test("a trial that ends its target quarantines the content", async () => {
  const all = fleet(3, 5);
  lose(all.quarantines[0]);
  lose(all.quarantines[0]);
  await all.clock.advance(HOLD_MS + 100);
  expect(await acquireAll(all)).toHaveLength(1);
  lose(all.quarantines[0]);
  await all.clock.advance(100);
  expect(all.quarantines.map((one) => one.retryAfterMs([CONTENT]) > 60_000))
    .toEqual([true, true, true]);
});

test("sends that broke off are tried again by one host, too", async () => {
  const all = fleet(3, 5);
  const [{ breaks }] = all.quarantines;
  for (let i = 0; i < 3; i++) {
    breaks.recordLoss(CONTENT, {
      baseline: breaks.baseline(CONTENT),
      lastEventId: undefined,
    });
  }
  await all.clock.advance(100);
  expect(await acquireAll(all)).toHaveLength(0);
  await all.clock.advance(8_000);
  expect(await acquireAll(all)).toHaveLength(1);
});
