import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { seededRandom } from "../common/random.ts";
import { MAX_READY_AGE_MS } from "./config_holder.ts";
import { ConfigFleet, type FleetHost } from "./testing/config_fleet.ts";
import { ConfigHistory, MAX_PROPAGATION_MS } from "./testing/config_history.ts";

const SEED = 11;
const LIST_LAG_MS = 60_000;

/** A fleet that has run for a while, with everything at work. */
class Scenario {
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

  async advance(spanMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < spanMs; passedMs += 100) {
      await this.clock.advance(100);
      this.history.observe();
    }
  }

  /** A change at a host, run to its end. */
  async change(slot: number, timeoutMs = 3_000): Promise<string> {
    const work = this.history.submitChange(slot, timeoutMs);
    await this.clock.runUntil(work);
    const { outcome } = this.history.operations.at(-1)!;
    return outcome.isOk() ? `version ${outcome.value.version}` : [
      outcome.error.verdict,
      outcome.error.code,
    ].join(" ");
  }

  /** Puts the hosts of `slots` on a side of their own. */
  split(slots: readonly number[], withoutLog: readonly number[] = []): void {
    for (const host of this.hosts) {
      host.side = slots.includes(host.slot) ? 1 : 0;
      host.isLogUnreachable = withoutLog.includes(host.slot);
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
    await this.advance(MAX_PROPAGATION_MS);
    expect(this.history.hostsBehind()).toEqual([]);
    expect(this.history.faults()).toEqual([]);
    this.fleet.dispose();
  }
}

async function startScenario(hostCount: number): Promise<Scenario> {
  const scene = new Scenario(hostCount);
  await scene.advance(2_000);
  return scene;
}

const allTrue = (count: number) => Array(count).fill(true);

test("a host that reaches neither log nor peers stops serving, the others go on", async () => {
  const scene = await startScenario(5);
  scene.split([4], [4]);
  expect(await scene.change(0)).toBe("version 1");
  await scene.advance(MAX_READY_AGE_MS);
  expect(scene.ready()).toEqual([true, true, true, true, false]);
  expect(scene.versions()).toEqual([1, 1, 1, 1, 0]);
  expect(await scene.change(4)).toBe("not-run log-unavailable");
  await scene.advance(10_000);
  await scene.finish();
});

test("a host that is cut off from the log alone stays in force", async () => {
  const scene = await startScenario(5);
  scene.split([], [0, 1, 2, 3]);
  expect(await scene.change(4)).toBe("version 1");
  await scene.advance(100);
  expect(scene.versions()).toEqual([1, 1, 1, 1, 1]);
  expect(await scene.change(0)).toBe("not-run log-unavailable");
  await scene.advance(10_000);
  expect(scene.ready()).toEqual(allTrue(5));
  await scene.finish();
});

test("in an outage of the log all hosts serve, restarted ones included", async () => {
  const scene = await startScenario(5);
  expect(await scene.change(0)).toBe("version 1");
  await scene.advance(1_000);
  scene.fleet.isLogDown = true;
  await scene.advance(20_000);
  expect(scene.ready()).toEqual(allTrue(5));
  expect(await scene.change(1)).toBe("not-run log-unavailable");
  scene.fleet.restart(2);
  await scene.advance(MAX_READY_AGE_MS);
  expect(scene.ready()).toEqual(allTrue(5));
  expect(scene.versions()).toEqual([1, 1, 1, 1, 1]);
  await scene.advance(60_000);
  expect(scene.ready()).toEqual(allTrue(5));
  scene.fleet.isLogDown = false;
  await scene.advance(5_000);
  expect(await scene.change(2)).toBe("version 2");
  await scene.finish();
});

test("a minority that reaches the log takes no change", async () => {
  const scene = await startScenario(5);
  scene.split([0, 1], [2, 3, 4]);
  await scene.advance(500);
  expect(await scene.change(0)).toBe("not-run log-unavailable");
  await scene.advance(20_000);
  expect(scene.ready()).toEqual(allTrue(5));
  await scene.finish();
});

test("a change cut off right after its append is in force nowhere until most know it", async () => {
  const scene = await startScenario(5);
  scene.fleet.log.onAppended = () => scene.split([0, 1], [2, 3, 4]);
  expect(await scene.change(0)).toBe("may-have-run log-unavailable");
  await scene.advance(20_000);
  expect(scene.versions()).toEqual([0, 0, 0, 0, 0]);
  expect(scene.ready()).toEqual([false, false, true, true, true]);
  await scene.finish();
  expect(scene.versions()).toEqual([1, 1, 1, 1, 1]);
});

test("a change whose answer is lost with the log comes into force when it is back", async () => {
  const scene = await startScenario(3);
  scene.fleet.log.onAppended = () => scene.fleet.isLogDown = true;
  expect(await scene.change(0)).toBe("may-have-run log-unavailable");
  await scene.advance(30_000);
  expect(scene.ready()).toEqual(allTrue(3));
  expect(scene.versions()).toEqual([0, 0, 0]);
  scene.fleet.log.onAppended = () => {};
  scene.fleet.isLogDown = false;
  await scene.advance(MAX_PROPAGATION_MS);
  expect(scene.versions()).toEqual([1, 1, 1]);
  await scene.finish();
});

test("a change whose submitter dies after the append is accepted all the same", async () => {
  const scene = await startScenario(5);
  scene.fleet.log.onAppended = () => {
    scene.fleet.log.onAppended = () => {};
    scene.fleet.restart(0);
  };
  void scene.history.submitChange(0);
  await scene.advance(3_000);
  expect(scene.versions()).toEqual([1, 1, 1, 1, 1]);
  await scene.finish();
});

test("when all hosts restart, the log alone makes the new ones ready", async () => {
  const scene = await startScenario(5);
  for (const version of [1, 2, 3]) {
    expect(await scene.change(version)).toBe(`version ${version}`);
  }
  await scene.advance(1_000);
  for (const { slot } of scene.hosts) scene.fleet.restart(slot);
  await scene.advance(3_000);
  expect(scene.ready()).toEqual(allTrue(5));
  expect(scene.versions()).toEqual([3, 3, 3, 3, 3]);
  expect(await scene.change(0)).toBe("not-run log-unavailable");
  await scene.advance(LIST_LAG_MS);
  expect(await scene.change(0)).toBe("version 4");
  await scene.finish();
});

test("when all hosts restart while the log is down, none serves before it is back", async () => {
  const scene = await startScenario(3);
  expect(await scene.change(0)).toBe("version 1");
  await scene.advance(1_000);
  scene.fleet.isLogDown = true;
  for (const { slot } of scene.hosts) scene.fleet.restart(slot);
  await scene.advance(2 * LIST_LAG_MS);
  expect(scene.ready()).toEqual([false, false, false]);
  scene.fleet.isLogDown = false;
  await scene.advance(MAX_PROPAGATION_MS);
  expect(scene.ready()).toEqual(allTrue(3));
  expect(scene.versions()).toEqual([1, 1, 1]);
  await scene.finish();
});

test.each(["log", "peers"])(
  "past retention a host starts from the snapshot of the %s",
  async (source) => {
    const scene = await startScenario(3);
    for (let version = 1; version <= 12; version++) {
      expect(await scene.change(version % 3)).toBe(`version ${version}`);
    }
    await scene.advance(15_000);
    const { log } = scene.fleet;
    log.trim(log.records.length - 2);
    await scene.advance(15_000);
    if (source === "log") scene.split([2], []);
    else scene.split([], [2]);
    scene.fleet.restart(2);
    await scene.advance(4_000);
    expect(scene.hosts[2].service.state.version).toBe(12);
    expect(scene.hosts[2].service.isReady).toBe(true);
    await scene.finish();
  },
);

test("a snapshot is written again before retention passes an idle log", async () => {
  const scene = await startScenario(3);
  expect(await scene.change(0)).toBe("version 1");
  await scene.advance(70_000);
  const { records } = scene.fleet.log;
  const kinds = records.map(({ data }) => (data as { kind: string }).kind);
  expect(kinds).toEqual(["change", "accepted", "snapshot"]);
  await scene.finish();
});

test.each([
  ["cut in two without the log", 6, (scene: Scenario) => {
    const half = scene.hosts.slice(0, 30).map(({ slot }) => slot);
    scene.split(half, scene.hosts.map(({ slot }) => slot));
  }],
  ["that wakes from a pause", 12, async (scene: Scenario) => {
    for (const host of scene.hosts) host.pause();
    await scene.advance(8_000);
    for (const host of scene.hosts) host.resume();
  }],
])("a fleet %s sends few messages", async (_, limit, injectFault) => {
  const scene = await startScenario(60);
  await injectFault(scene);
  const before = scene.fleet.messageCount;
  await scene.advance(10_000);
  const messagesPerS = (scene.fleet.messageCount - before) / 60 / 10;
  expect(messagesPerS).toBeLessThan(limit);
  await scene.finish();
});

test("a host that wakes from a long pause does not serve what it had", async () => {
  const scene = await startScenario(5);
  scene.hosts[3].pause();
  expect(await scene.change(0)).toBe("version 1");
  await scene.advance(10_000);
  scene.hosts[3].resume();
  expect(scene.hosts[3].service.isReady).toBe(false);
  await scene.advance(3_000);
  expect(scene.versions()).toEqual([1, 1, 1, 1, 1]);
  await scene.finish();
});

test("a confirmed reading at any host shows what was told before", async () => {
  const scene = await startScenario(5);
  scene.split([], [0, 1]);
  expect(await scene.change(4)).toBe("version 1");
  for (const { slot } of scene.hosts) {
    await scene.clock.runUntil(scene.history.read(slot));
  }
  expect(scene.history.reads.map(({ version }) => version)).toEqual(
    [1, 1, 1, 1, 1],
  );
  await scene.finish();
});
