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
  const scenario = new Scenario(hostCount);
  await scenario.advance(2_000);
  return scenario;
}

const allTrue = (count: number) => Array(count).fill(true);

test("a host that reaches neither log nor peers stops serving, the others go on", async () => {
  const scenario = await startScenario(5);
  scenario.split([4], [4]);
  expect(await scenario.change(0)).toBe("version 1");
  await scenario.advance(MAX_READY_AGE_MS);
  expect(scenario.ready()).toEqual([true, true, true, true, false]);
  expect(scenario.versions()).toEqual([1, 1, 1, 1, 0]);
  expect(await scenario.change(4)).toBe("not-run log-unavailable");
  await scenario.advance(10_000);
  await scenario.finish();
});

test("a host that is cut off from the log alone stays in force", async () => {
  const scenario = await startScenario(5);
  scenario.split([], [0, 1, 2, 3]);
  expect(await scenario.change(4)).toBe("version 1");
  await scenario.advance(100);
  expect(scenario.versions()).toEqual([1, 1, 1, 1, 1]);
  expect(await scenario.change(0)).toBe("not-run log-unavailable");
  await scenario.advance(10_000);
  expect(scenario.ready()).toEqual(allTrue(5));
  await scenario.finish();
});

test("in an outage of the log all hosts serve, restarted ones included", async () => {
  const scenario = await startScenario(5);
  expect(await scenario.change(0)).toBe("version 1");
  await scenario.advance(1_000);
  scenario.fleet.isLogDown = true;
  await scenario.advance(20_000);
  expect(scenario.ready()).toEqual(allTrue(5));
  expect(await scenario.change(1)).toBe("not-run log-unavailable");
  scenario.fleet.restart(2);
  await scenario.advance(MAX_READY_AGE_MS);
  expect(scenario.ready()).toEqual(allTrue(5));
  expect(scenario.versions()).toEqual([1, 1, 1, 1, 1]);
  await scenario.advance(60_000);
  expect(scenario.ready()).toEqual(allTrue(5));
  scenario.fleet.isLogDown = false;
  await scenario.advance(5_000);
  expect(await scenario.change(2)).toBe("version 2");
  await scenario.finish();
});

test("a minority that reaches the log takes no change", async () => {
  const scenario = await startScenario(5);
  scenario.split([0, 1], [2, 3, 4]);
  await scenario.advance(500);
  expect(await scenario.change(0)).toBe("not-run log-unavailable");
  await scenario.advance(20_000);
  expect(scenario.ready()).toEqual(allTrue(5));
  await scenario.finish();
});

test("a change cut off right after its append is in force nowhere until most know it", async () => {
  const scenario = await startScenario(5);
  scenario.fleet.log.onAppended = () => scenario.split([0, 1], [2, 3, 4]);
  expect(await scenario.change(0)).toBe("may-have-run log-unavailable");
  await scenario.advance(20_000);
  expect(scenario.versions()).toEqual([0, 0, 0, 0, 0]);
  expect(scenario.ready()).toEqual([false, false, true, true, true]);
  await scenario.finish();
  expect(scenario.versions()).toEqual([1, 1, 1, 1, 1]);
});

test("a change whose answer is lost with the log comes into force when it is back", async () => {
  const scenario = await startScenario(3);
  scenario.fleet.log.onAppended = () => scenario.fleet.isLogDown = true;
  expect(await scenario.change(0)).toBe("may-have-run log-unavailable");
  await scenario.advance(30_000);
  expect(scenario.ready()).toEqual(allTrue(3));
  expect(scenario.versions()).toEqual([0, 0, 0]);
  scenario.fleet.log.onAppended = () => {};
  scenario.fleet.isLogDown = false;
  await scenario.advance(MAX_PROPAGATION_MS);
  expect(scenario.versions()).toEqual([1, 1, 1]);
  await scenario.finish();
});

test("a change whose submitter dies after the append is accepted all the same", async () => {
  const scenario = await startScenario(5);
  scenario.fleet.log.onAppended = () => {
    scenario.fleet.log.onAppended = () => {};
    scenario.fleet.restart(0);
  };
  void scenario.history.submitChange(0);
  await scenario.advance(3_000);
  expect(scenario.versions()).toEqual([1, 1, 1, 1, 1]);
  await scenario.finish();
});

test("when all hosts restart, the log alone makes the new ones ready", async () => {
  const scenario = await startScenario(5);
  for (const version of [1, 2, 3]) {
    expect(await scenario.change(version)).toBe(`version ${version}`);
  }
  await scenario.advance(1_000);
  for (const { slot } of scenario.hosts) scenario.fleet.restart(slot);
  await scenario.advance(3_000);
  expect(scenario.ready()).toEqual(allTrue(5));
  expect(scenario.versions()).toEqual([3, 3, 3, 3, 3]);
  expect(await scenario.change(0)).toBe("not-run log-unavailable");
  await scenario.advance(LIST_LAG_MS);
  expect(await scenario.change(0)).toBe("version 4");
  await scenario.finish();
});

test("when all hosts restart while the log is down, none serves before it is back", async () => {
  const scenario = await startScenario(3);
  expect(await scenario.change(0)).toBe("version 1");
  await scenario.advance(1_000);
  scenario.fleet.isLogDown = true;
  for (const { slot } of scenario.hosts) scenario.fleet.restart(slot);
  await scenario.advance(2 * LIST_LAG_MS);
  expect(scenario.ready()).toEqual([false, false, false]);
  scenario.fleet.isLogDown = false;
  await scenario.advance(MAX_PROPAGATION_MS);
  expect(scenario.ready()).toEqual(allTrue(3));
  expect(scenario.versions()).toEqual([1, 1, 1]);
  await scenario.finish();
});

test.each(["log", "peers"])(
  "past retention a host starts from the snapshot of the %s",
  async (source) => {
    const scenario = await startScenario(3);
    for (let version = 1; version <= 12; version++) {
      expect(await scenario.change(version % 3)).toBe(`version ${version}`);
    }
    await scenario.advance(15_000);
    const { log } = scenario.fleet;
    log.trim(log.records.length - 2);
    await scenario.advance(15_000);
    if (source === "log") scenario.split([2], []);
    else scenario.split([], [2]);
    scenario.fleet.restart(2);
    await scenario.advance(4_000);
    expect(scenario.hosts[2].service.state.version).toBe(12);
    expect(scenario.hosts[2].service.isReady).toBe(true);
    await scenario.finish();
  },
);

test("a snapshot is written again before retention passes an idle log", async () => {
  const scenario = await startScenario(3);
  expect(await scenario.change(0)).toBe("version 1");
  await scenario.advance(70_000);
  const { records } = scenario.fleet.log;
  const kinds = records.map(({ data }) => (data as { kind: string }).kind);
  expect(kinds).toEqual(["change", "accepted", "snapshot"]);
  await scenario.finish();
});

test.each([
  ["cut in two without the log", 6, (scenario: Scenario) => {
    const half = scenario.hosts.slice(0, 30).map(({ slot }) => slot);
    scenario.split(half, scenario.hosts.map(({ slot }) => slot));
  }],
  ["that wakes from a pause", 12, async (scenario: Scenario) => {
    for (const host of scenario.hosts) host.pause();
    await scenario.advance(8_000);
    for (const host of scenario.hosts) host.resume();
  }],
])("a fleet %s sends few messages", async (_, limit, injectFault) => {
  const scenario = await startScenario(60);
  await injectFault(scenario);
  const before = scenario.fleet.messageCount;
  await scenario.advance(10_000);
  const messagesPerS = (scenario.fleet.messageCount - before) / 60 / 10;
  expect(messagesPerS).toBeLessThan(limit);
  await scenario.finish();
});

test("a host that wakes from a long pause does not serve what it had", async () => {
  const scenario = await startScenario(5);
  scenario.hosts[3].pause();
  expect(await scenario.change(0)).toBe("version 1");
  await scenario.advance(10_000);
  scenario.hosts[3].resume();
  expect(scenario.hosts[3].service.isReady).toBe(false);
  await scenario.advance(3_000);
  expect(scenario.versions()).toEqual([1, 1, 1, 1, 1]);
  await scenario.finish();
});

test("a confirmed reading at any host shows what was told before", async () => {
  const scenario = await startScenario(5);
  scenario.split([], [0, 1]);
  expect(await scenario.change(4)).toBe("version 1");
  for (const { slot } of scenario.hosts) {
    await scenario.clock.runUntil(scenario.history.read(slot));
  }
  expect(scenario.history.reads.map(({ version }) => version)).toEqual(
    [1, 1, 1, 1, 1],
  );
  await scenario.finish();
});
