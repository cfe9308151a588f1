import { expect, test } from "vitest";
import { CapacityFleet } from "../../test/pipelines_capacity.ts";

const FLEET = {
  seed: 3,
  hostCount: 4,
  targetsPerStage: 2,
  standbyCount: 2,
  loadMs: 4_000,
  checksFence: true,
  standbysReady: true,
};

test("a lost target is replaced by a standby, the stage without one first", async () => {
  const fleet = new CapacityFleet({ ...FLEET, standbysReady: false });
  await fleet.clock.advance(20_000);
  expect(fleet.chainsOf("v1")).toBe(3);
  fleet.engine("s0-0").settings.isDown = true;
  fleet.engine("s0-1").settings.isDown = true;
  const heldBySpare = fleet.chainsOf("v1");
  await fleet.clock.advance(20_000);
  expect(heldBySpare).toBe(1);
  expect(fleet.chainsOf("v1")).toBe(2);
  const { orders } = fleet.engine("s1-0");
  expect(orders).toEqual([]);
  await fleet.stop();
});

test.each([["a version", "v2", undefined], ["an adapter", "v1", "x"]])(
  "a roll-out of %s keeps a whole chain all the time",
  async (_name, version, adapter) => {
    const fleet = new CapacityFleet(FLEET);
    await fleet.clock.advance(5_000);
    fleet.config.set(fleet.document(version, adapter));
    let refusedCount = 0;
    for (let step = 0; step < 600; step++) {
      await fleet.clock.advance(100);
      const whole = fleet.chainsOf("v1") + fleet.chainsOf("v2");
      expect(whole).toBeGreaterThanOrEqual(1);
      const pick = fleet.hosts[step % 4].picker.pick({
        pipeline: "p",
        prefixHash: step,
        avoid: new Set(),
      });
      const result = pick.isOk() ? fleet.run(pick.value.chain) : "refused";
      expect(result).not.toBe("wrong");
      if (pick.isErr()) refusedCount++;
    }
    expect(refusedCount).toBe(0);
    expect(fleet.chainsOf(version)).toBe(3);
    const { state } = fleet.engine("s0-0");
    expect(state.adapters).toEqual(adapter ? [adapter] : []);
    await fleet.stop();
  },
);

test("orders that only add go out while the log is down", async () => {
  const fleet = new CapacityFleet({ ...FLEET, standbysReady: false });
  fleet.log.isDown = true;
  await fleet.clock.advance(20_000);
  expect(fleet.chainsOf("v1")).toBe(3);
  fleet.config.set(fleet.document("v2"));
  await fleet.clock.advance(20_000);
  expect(fleet.serving("v2")).toEqual([]);
  fleet.log.isDown = false;
  await fleet.clock.advance(60_000);
  expect(fleet.chainsOf("v2")).toBe(3);
  await fleet.stop();
});

test("a lost append answer does not cost the lease", async () => {
  const fleet = new CapacityFleet({ ...FLEET, standbysReady: false });
  fleet.log.losesAnswers = true;
  await fleet.clock.advance(20_000);
  expect(fleet.chainsOf("v1")).toBe(3);
  expect(fleet.sent.every(({ hasLease }) => hasLease)).toBe(true);
  await fleet.stop();
});

test("no more targets load at a time than the weight store bears", async () => {
  const fleet = new CapacityFleet({
    ...FLEET,
    targetsPerStage: 4,
    standbyCount: 12,
    standbysReady: false,
  });
  let mostLoading = 0;
  for (let step = 0; step < 200; step++) {
    await fleet.clock.advance(200);
    const engines = [...fleet.engines.engines.values()];
    const loading = engines.filter(({ state }) => state.loading).length;
    mostLoading = Math.max(mostLoading, loading);
  }
  expect(mostLoading).toBe(4);
  expect(fleet.chainsOf("v1")).toBe(10);
  await fleet.stop();
});

test.each([[true], [false]])(
  "a holder that wakes in mid-order is undone, fencing checked: %s",
  async (checksFence) => {
    const fleet = new CapacityFleet({ ...FLEET, checksFence });
    await fleet.clock.advance(5_000);
    fleet.config.set(fleet.document("v2"));
    const holder = await pauseHolder(fleet);
    await fleet.clock.advance(20_000);
    fleet.config.set(fleet.document("v3"));
    await fleet.clock.advance(60_000);
    expect(fleet.chainsOf("v3")).toBe(3);
    holder.process.resume();
    await fleet.clock.advance(30_000);
    expect(fleet.chainsOf("v3")).toBe(3);
    await fleet.stop();
  },
);

/** Pauses the host that sends orders just when it is about to send more. */
async function pauseHolder(fleet: CapacityFleet) {
  for (let step = 0; step < 100 && fleet.sent.length === 0; step++) {
    await fleet.clock.advance(100);
  }
  const holder = fleet.hosts.find(({ name }) => name === fleet.sent[0].host)!;
  holder.process.pause();
  return holder;
}
