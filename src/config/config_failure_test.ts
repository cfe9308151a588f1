import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { seededRandom } from "../common/random.ts";
import { READY_WITHIN_MS } from "./config_holder.ts";
import { ConfigFleet, type FleetHost } from "./testing/config_fleet.ts";
import { ConfigHistory, IN_FORCE_WITHIN_MS } from "./testing/config_history.ts";

const SEED = 11;
const LIST_LAG_MS = 60_000;

/** A fleet that has run for a while, with everything at work. */
class Scene {
  readonly clock = new ManualClock();
  readonly fleet: ConfigFleet;
  readonly history: ConfigHistory;

  constructor(hostCount: number) {
    this.fleet = new ConfigFleet({
      clock: this.clock,
      random: seededRandom(SEED),
      hostCount,
      listLagMs: LIST_LAG_MS,
      delayMs: () => 2,
      snapshotPolicy: { everyRecords: 10, everyMs: 60_000 },
    });
    this.history = new ConfigHistory(this.fleet, () => this.clock.nowMs());
  }

  get hosts(): FleetHost[] {
    return this.fleet.hosts;
  }

  async pass(spanMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < spanMs; passedMs += 100) {
      await this.clock.advance(100);
      this.history.observe();
    }
  }

  /** A change at a host, run to its end. */
  async change(slot: number, withinMs = 3_000): Promise<string> {
    const work = this.history.operate(slot, withinMs);
    await this.clock.runUntil(work);
    const { outcome } = this.history.operations.at(-1)!;
    return outcome.isOk() ? `version ${outcome.value.version}` : [
      outcome.error.verdict,
      outcome.error.code,
    ].join(" ");
  }

  /** Puts the hosts of `slots` on a side of their own. */
  split(slots: readonly number[], cutFromLog: readonly number[] = []): void {
    for (const host of this.hosts) {
      host.side = slots.includes(host.slot) ? 1 : 0;
      host.isCutFromLog = cutFromLog.includes(host.slot);
    }
  }

  versions(): number[] {
    return this.hosts.map(({ service }) => service.state.version);
  }

  ready(): boolean[] {
    return this.hosts.map(({ service }) => service.isReady);
  }

  /** Heals all faults and checks the whole history. */
  async finish(): Promise<void> {
    this.fleet.log.onAppended = () => {};
    this.fleet.heal();
    await this.pass(IN_FORCE_WITHIN_MS);
    expect(this.history.laggards()).toEqual([]);
    expect(this.history.faults()).toEqual([]);
    this.fleet.dispose();
  }
}

async function startScene(hostCount: number): Promise<Scene> {
  const scene = new Scene(hostCount);
  await scene.pass(2_000);
  return scene;
}

const yes = (count: number) => Array(count).fill(true);

test("a host that reaches neither log nor peers stops serving, the others go on", async () => {
  const scene = await startScene(5);
  scene.split([4], [4]);
  expect(await scene.change(0)).toBe("version 1");
  await scene.pass(READY_WITHIN_MS);
  expect(scene.ready()).toEqual([true, true, true, true, false]);
  expect(scene.versions()).toEqual([1, 1, 1, 1, 0]);
  expect(await scene.change(4)).toBe("not-run log-unavailable");
  await scene.pass(10_000);
  await scene.finish();
});

test("a host that is cut off from the log alone stays in force", async () => {
  const scene = await startScene(5);
  scene.split([], [0, 1, 2, 3]);
  expect(await scene.change(4)).toBe("version 1");
  await scene.pass(100);
  expect(scene.versions()).toEqual([1, 1, 1, 1, 1]);
  expect(await scene.change(0)).toBe("not-run log-unavailable");
  await scene.pass(10_000);
  expect(scene.ready()).toEqual(yes(5));
  await scene.finish();
});

test("in an outage of the log all hosts serve, restarted ones included", async () => {
  const scene = await startScene(5);
  expect(await scene.change(0)).toBe("version 1");
  await scene.pass(1_000);
  scene.fleet.isLogDown = true;
  await scene.pass(20_000);
  expect(scene.ready()).toEqual(yes(5));
  expect(await scene.change(1)).toBe("not-run log-unavailable");
  scene.fleet.restart(2);
  await scene.pass(READY_WITHIN_MS);
  expect(scene.ready()).toEqual(yes(5));
  expect(scene.versions()).toEqual([1, 1, 1, 1, 1]);
  await scene.pass(60_000);
  expect(scene.ready()).toEqual(yes(5));
  scene.fleet.isLogDown = false;
  await scene.pass(5_000);
  expect(await scene.change(2)).toBe("version 2");
  await scene.finish();
});

test("a minority that reaches the log takes no change", async () => {
  const scene = await startScene(5);
  scene.split([0, 1], [2, 3, 4]);
  await scene.pass(500);
  expect(await scene.change(0)).toBe("not-run log-unavailable");
  await scene.pass(20_000);
  expect(scene.ready()).toEqual(yes(5));
  await scene.finish();
});

test("a change cut off right after its append is in force nowhere until most know it", async () => {
  const scene = await startScene(5);
  scene.fleet.log.onAppended = () => scene.split([0, 1], [2, 3, 4]);
  expect(await scene.change(0)).toBe("may-have-run log-unavailable");
  await scene.pass(20_000);
  expect(scene.versions()).toEqual([0, 0, 0, 0, 0]);
  expect(scene.ready()).toEqual([false, false, true, true, true]);
  await scene.finish();
  expect(scene.versions()).toEqual([1, 1, 1, 1, 1]);
});

test("a change whose answer is lost with the log comes into force when it is back", async () => {
  const scene = await startScene(3);
  scene.fleet.log.onAppended = () => scene.fleet.isLogDown = true;
  expect(await scene.change(0)).toBe("may-have-run log-unavailable");
  await scene.pass(30_000);
  expect(scene.ready()).toEqual(yes(3));
  expect(scene.versions()).toEqual([0, 0, 0]);
  scene.fleet.log.onAppended = () => {};
  scene.fleet.isLogDown = false;
  await scene.pass(IN_FORCE_WITHIN_MS);
  expect(scene.versions()).toEqual([1, 1, 1]);
  await scene.finish();
});

test("a change whose submitter dies after the append is accepted all the same", async () => {
  const scene = await startScene(5);
  scene.fleet.log.onAppended = () => {
    scene.fleet.log.onAppended = () => {};
    scene.fleet.restart(0);
  };
  void scene.history.operate(0);
  await scene.pass(3_000);
  expect(scene.versions()).toEqual([1, 1, 1, 1, 1]);
  await scene.finish();
});

test("when all hosts restart, the log alone makes the new ones ready", async () => {
  const scene = await startScene(5);
  for (const version of [1, 2, 3]) {
    expect(await scene.change(version)).toBe(`version ${version}`);
  }
  await scene.pass(1_000);
  for (const { slot } of scene.hosts) scene.fleet.restart(slot);
  await scene.pass(3_000);
  expect(scene.ready()).toEqual(yes(5));
  expect(scene.versions()).toEqual([3, 3, 3, 3, 3]);
  expect(await scene.change(0)).toBe("not-run log-unavailable");
  await scene.pass(LIST_LAG_MS);
  expect(await scene.change(0)).toBe("version 4");
  await scene.finish();
});

test("when all hosts restart while the log is down, none serves before it is back", async () => {
  const scene = await startScene(3);
  expect(await scene.change(0)).toBe("version 1");
  await scene.pass(1_000);
  scene.fleet.isLogDown = true;
  for (const { slot } of scene.hosts) scene.fleet.restart(slot);
  await scene.pass(2 * LIST_LAG_MS);
  expect(scene.ready()).toEqual([false, false, false]);
  scene.fleet.isLogDown = false;
  await scene.pass(IN_FORCE_WITHIN_MS);
  expect(scene.ready()).toEqual(yes(3));
  expect(scene.versions()).toEqual([1, 1, 1]);
  await scene.finish();
});

test.each(["log", "peers"])(
  "past retention a host starts from the snapshot of the %s",
  async (source) => {
    const scene = await startScene(3);
    for (let version = 1; version <= 12; version++) {
      expect(await scene.change(version % 3)).toBe(`version ${version}`);
    }
    await scene.pass(15_000);
    const { log } = scene.fleet;
    log.trim(log.records.length - 2);
    await scene.pass(15_000);
    if (source === "log") scene.split([2], []);
    else scene.split([], [2]);
    scene.fleet.restart(2);
    await scene.pass(4_000);
    expect(scene.hosts[2].service.state.version).toBe(12);
    expect(scene.hosts[2].service.isReady).toBe(true);
    await scene.finish();
  },
);

test("a snapshot is written again before retention passes an idle log", async () => {
  const scene = await startScene(3);
  expect(await scene.change(0)).toBe("version 1");
  await scene.pass(70_000);
  const { records } = scene.fleet.log;
  const kinds = records.map(({ data }) => (data as { kind: string }).kind);
  expect(kinds).toEqual(["change", "accepted", "snapshot"]);
  await scene.finish();
});

test("a host that wakes from a long pause does not serve what it had", async () => {
  const scene = await startScene(5);
  scene.hosts[3].freeze();
  expect(await scene.change(0)).toBe("version 1");
  await scene.pass(10_000);
  scene.hosts[3].thaw();
  expect(scene.hosts[3].service.isReady).toBe(false);
  await scene.pass(3_000);
  expect(scene.versions()).toEqual([1, 1, 1, 1, 1]);
  await scene.finish();
});

test("a confirmed reading at any host shows what was told before", async () => {
  const scene = await startScene(5);
  scene.split([], [0, 1]);
  expect(await scene.change(4)).toBe("version 1");
  for (const { slot } of scene.hosts) {
    await scene.clock.runUntil(scene.history.read(slot));
  }
  expect(scene.history.readings.map(({ version }) => version)).toEqual(
    [1, 1, 1, 1, 1],
  );
  await scene.finish();
});
