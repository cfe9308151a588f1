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
  expect(fleet.countChains("v1")).toBe(3);
  fleet.engine("s0-0").settings.isDown = true;
  fleet.engine("s0-1").settings.isDown = true;
  const readyChains = fleet.countChains("v1");
  await fleet.clock.advance(20_000);
  expect(readyChains).toBe(1);
  expect(fleet.countChains("v1")).toBe(2);
  const { orders } = fleet.engine("s1-0");
  expect(orders).toEqual([]);
  await fleet.stop();
});

interface RollOut {
  readonly version: string;
  readonly adapter?: string;
  /** Time that the targets of the second stage take to load. */
  readonly slowLoadMs: number;
}

const rollOuts: [string, RollOut][] = [
  ["a version", { version: "v2", slowLoadMs: 4_000 }],
  ["a version, one stage loading slowly", { version: "v2", slowLoadMs: 9_000 }],
  ["an adapter", { version: "v1", adapter: "x", slowLoadMs: 9_000 }],
];

test.each(rollOuts)(
  "a roll-out of %s keeps a whole chain all the time",
  async (_name, { version, adapter, slowLoadMs }) => {
    const fleet = new CapacityFleet({ ...FLEET, targetsPerStage: 1 });
    await fleet.clock.advance(5_000);
    for (const name of ["s1-0", "spare-1"]) {
      fleet.engine(name).settings.loadMs = slowLoadMs;
    }
    fleet.config.set(fleet.document(version, adapter));
    let rejectedCount = 0;
    for (let step = 0; step < 600; step++) {
      await fleet.clock.advance(100);
      const completeChains = fleet.countChains("v1") + fleet.countChains("v2");
      expect(completeChains).toBeGreaterThanOrEqual(1);
      const pick = fleet.hosts[step % 4].picker.pick({
        pipeline: "p",
        prefixHash: step,
        avoid: new Set(),
      });
      const result = pick.isOk() ? fleet.run(pick.value.chain) : "refused";
      expect(result).not.toBe("wrong");
      if (pick.isErr()) rejectedCount++;
    }
    expect(rejectedCount).toBe(0);
    expect(fleet.countChains(version)).toBe(2);
    const { state } = fleet.engine("s0-0");
    expect(state.adapters).toEqual(adapter ? [adapter] : []);
    await fleet.stop();
  },
);

test("orders that only add go out while the log is down", async () => {
  const fleet = new CapacityFleet({ ...FLEET, standbysReady: false });
  fleet.log.isDown = true;
  await fleet.clock.advance(20_000);
  expect(fleet.countChains("v1")).toBe(3);
  fleet.config.set(fleet.document("v2"));
  await fleet.clock.advance(20_000);
  expect(fleet.serving("v2")).toEqual([]);
  fleet.log.isDown = false;
  await fleet.clock.advance(60_000);
  expect(fleet.countChains("v2")).toBe(3);
  await fleet.stop();
});

test("a lost append answer does not cost the lease", async () => {
  const fleet = new CapacityFleet({ ...FLEET, standbysReady: false });
  fleet.log.losesAnswers = true;
  await fleet.clock.advance(20_000);
  expect(fleet.countChains("v1")).toBe(3);
  expect(fleet.sentOrders.every(({ hasLease }) => hasLease)).toBe(true);
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
  expect(fleet.countChains("v1")).toBe(10);
  await fleet.stop();
});

test.each([[true], [false]])(
  "a holder that wakes in mid-order is undone, fencing checked: %s",
  async (checksFence) => {
    const fleet = new CapacityFleet({ ...FLEET, checksFence });
    await fleet.clock.advance(5_000);
    for (const { process } of fleet.hosts) process.pauseAtNextOrder();
    fleet.config.set(fleet.document("v2"));
    await fleet.clock.advance(2_000);
    const paused = fleet.hosts.filter(({ process }) => process.isPaused);
    expect(paused.length).toBe(1);
    for (const host of fleet.hosts) {
      if (host !== paused[0]) host.process.resume();
    }
    fleet.config.set(fleet.document("v3"));
    await fleet.clock.advance(90_000);
    expect(fleet.countChains("v3")).toBe(3);
    paused[0].process.resume();
    await fleet.clock.advance(100);
    const isHarmed = [...fleet.engines.engines.values()]
      .some(({ state }) => state.version === "v2");
    expect(isHarmed).toBe(!checksFence);
    await fleet.clock.advance(30_000);
    expect(fleet.countChains("v3")).toBe(3);
    await fleet.stop();
  },
);

test("a target that loads for ever is replaced", async () => {
  const fleet = new CapacityFleet({ ...FLEET, loadTimeoutMs: 8_000 });
  await fleet.clock.advance(5_000);
  const stuck = fleet.engine("spare-0");
  fleet.config.set(fleet.document("v2"));
  stuck.settings.loadMs = 1e9;
  await fleet.clock.advance(60_000);
  expect(stuck.state.loading).toBe(true);
  fleet.engine("s0-0").settings.isDown = true;
  await fleet.clock.advance(20_000);
  expect(fleet.countChains("v2")).toBe(2);
  await fleet.stop();
});
