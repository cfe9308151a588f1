import fc from "fast-check";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { waterLevel } from "./limit_grants.ts";
import { LimitAllocator } from "./limit_allocator.ts";
import type { LimitLease, ShareRequest } from "./types.ts";

const SEED = 5;
const LEASE_MS = 4_000;
const LIMITS = { requestsPerS: 100, slots: 20 };

function makeLender(options: { homeForMs?: number; fraction?: number } = {}) {
  const clock = new ManualClock();
  const startMs = clock.nowMs() - (options.homeForMs ?? LEASE_MS);
  const lender = new LimitAllocator({
    clock,
    leaseMs: () => LEASE_MS,
    settleMs: () => LEASE_MS / 2,
    limitsOf: (customer) => customer === "a" ? LIMITS : undefined,
    reachableFraction: () => options.fraction ?? 1,
    ownedForMs: () => clock.nowMs() - startMs,
  });
  const ask = (borrower: string, extra: Partial<ShareRequest>): LimitLease => {
    const asked: ShareRequest = {
      customer: "a",
      wantedPerS: 0,
      heldPerS: 0,
      wantedSlots: 0,
      usedSlots: 0,
      heldSlots: 0,
      ...extra,
    };
    return lender.allocate({ partition: 0, asks: [asked] }, borrower).leases[0];
  };
  return { clock, lender, ask };
}

test("a new home renews what is held and lends nothing more until it knows", async () => {
  const { clock, ask } = makeLender({ homeForMs: 0 });
  const held = { wantedPerS: 200, heldPerS: 80, wantedSlots: 9, heldSlots: 5 };
  const kept = ask("host-1", held);
  expect(kept.requestsPerS).toBeLessThanOrEqual(80);
  expect(kept.slots).toBe(5);
  const fresh = ask("host-2", { wantedPerS: 50, wantedSlots: 4 });
  expect(fresh).toMatchObject({ requestsPerS: 0, slots: 0 });
  await clock.advance(LEASE_MS / 2);
  expect(ask("host-2", { wantedPerS: 10 }).requestsPerS).toBeGreaterThan(9);
});

test("a home that reaches half of the fleet lends half of the limit", () => {
  const { ask } = makeLender({ fraction: 0.5 });
  const lease = ask("host-1", { wantedPerS: 500, wantedSlots: 50 });
  expect(lease.requestsPerS).toBeLessThanOrEqual(50 * 1.05);
  expect(lease.slots).toBeLessThanOrEqual(10 * 1.08);
});

test("an unknown customer gets no lease", () => {
  const { lender } = makeLender();
  const asks = [{
    customer: "toString",
    wantedPerS: 1,
    heldPerS: 0,
    wantedSlots: 1,
    usedSlots: 0,
    heldSlots: 0,
  }];
  expect(lender.allocate({ partition: 0, asks }, "host-1").leases).toEqual([]);
});

test("the water level fills the limit and no more", () => {
  expect(waterLevel([10, 20, 70], 60)).toBe(30);
  expect(waterLevel([10, 20], 60)).toBe(Infinity);
});

test("whatever is asked, shares in force stay within the limit", async () => {
  const step = fc.record({
    host: fc.integer({ min: 0, max: 5 }),
    wantedPerS: fc.double({ min: 0, max: 150, noNaN: true }),
    wantedSlots: fc.integer({ min: 0, max: 30 }),
    gapMs: fc.integer({ min: 0, max: 1_500 }),
  });
  const property = fc.asyncProperty(
    fc.array(step, { maxLength: 60 }),
    async (steps) => {
      const { clock, ask } = makeLender();
      const leases = new Map<number, LimitLease & { endsMs: number }>();
      for (const { host, gapMs, ...wanted } of steps) {
        const held = leases.get(host);
        const isHeld = held !== undefined && held.endsMs > clock.nowMs();
        const lease = ask(`host-${host}`, {
          ...wanted,
          heldPerS: isHeld ? held.requestsPerS : 0,
          heldSlots: isHeld ? held.slots : 0,
        });
        leases.set(host, { ...lease, endsMs: clock.nowMs() + LEASE_MS });
        await clock.advance(gapMs);
        const live = [...leases.values()]
          .filter((one) => one.endsMs > clock.nowMs());
        const rate = live.reduce((sum, one) => sum + one.requestsPerS, 0);
        const slots = live.reduce((sum, one) => sum + one.slots, 0);
        // Credit of 0.8 s may be spent within 1.5 s.
        expect(rate).toBeLessThanOrEqual(100 * (1 + 0.8 / 1.5) * 1.04 + 0.01);
        expect(slots).toBeLessThanOrEqual(LIMITS.slots * 1.08);
      }
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: 60 });
});
