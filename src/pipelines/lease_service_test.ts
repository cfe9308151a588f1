import fc from "fast-check";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { FakeLog } from "../../test/pipelines_fakes.ts";
import type { Clock } from "../common/clock.ts";
import { type Lease, LeaseService } from "./lease_service.ts";

const SEED = 77;
const HOSTS = 3;

/** Hosts whose wall clocks differ by minutes. */
function setUp() {
  const clock = new ManualClock();
  const log = new FakeLog(clock);
  const services = Array.from({ length: HOSTS }, (_, index) => {
    const skewed: Clock = {
      nowMs: () => clock.nowMs(),
      wallMs: () => clock.wallMs() + index * 120_000 - 120_000,
      sleep: (waitMs, signal) => clock.sleep(waitMs, signal),
    };
    return new LeaseService({ log, host: `h${index}`, clock: skewed });
  });
  const hold = (host: number) =>
    services[host].acquireOrRenew("p", { deadlineMs: clock.nowMs() + 1_000 });
  return { clock, log, services, hold };
}

const step = fc.record({
  host: fc.nat({ max: HOSTS - 1 }),
  action: fc.constantFrom("hold", "hold", "release", "race"),
  losesAnswers: fc.boolean(),
  waitMs: fc.constantFrom(0, 1_000, 6_000, 14_000),
});

test("no two hosts hold a lease at one time, and fences only grow", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 3, maxLength: 30 }),
      async (steps) => {
        const { clock, log, services, hold } = setUp();
        const held: (Lease | undefined)[] = Array(HOSTS).fill(undefined);
        const fenceHolders = new Map<number, number>();
        const tryHold = async (host: number) => {
          const lease = await hold(host);
          held[host] = lease.isOk() ? lease.value : undefined;
        };
        for (const { host, action, losesAnswers, waitMs } of steps) {
          log.losesAnswers = losesAnswers;
          const lease = held[host];
          if (action === "hold") await tryHold(host);
          if (action === "race") {
            await Promise.all(services.map((_, index) => tryHold(index)));
          }
          if (action === "release" && lease) {
            held[host] = undefined;
            const deadlineMs = clock.nowMs() + 1_000;
            await services[host].release(lease, { deadlineMs });
          }
          const valid = held
            .map((own, index) => ({ own, index }))
            .filter(({ own }) => own && own.validUntilMs > clock.nowMs());
          expect(valid.length).toBeLessThanOrEqual(1);
          for (const { own, index } of valid) {
            expect(fenceHolders.get(own!.fence) ?? index).toBe(index);
            expect(Math.max(-1, ...fenceHolders.keys())).toBeLessThanOrEqual(
              own!.fence,
            );
            fenceHolders.set(own!.fence, index);
          }
          await clock.advance(waitMs);
        }
      },
    ),
    { seed: SEED, numRuns: 300 },
  );
});

test("a lapsed lease passes on; the old holder sees that it lost it", async () => {
  const { clock, hold } = setUp();
  const first = (await hold(1)).unwrap();
  await clock.advance(20_000);
  const second = (await hold(2)).unwrap();
  expect(second.fence).toBeGreaterThan(first.fence);
  expect((await hold(1)).unwrapErr().code).toBe("claim-held");
});

test("a holder renews under the same fencing number", async () => {
  const { clock, hold } = setUp();
  const first = (await hold(1)).unwrap();
  for (let round = 0; round < 5; round++) {
    await clock.advance(6_000);
    const renewed = (await hold(1)).unwrap();
    expect(renewed.fence).toBe(first.fence);
    expect(renewed.validUntilMs).toBeGreaterThan(clock.nowMs() + 10_000);
  }
});
