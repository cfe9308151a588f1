import { setMaxListeners } from "node:events";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import {
  FakeConfig,
  FakeEngine,
  FakeEngines,
  FakeGossip,
} from "../../test/pipelines_fakes.ts";
import { Emitter } from "../common/emitter.ts";
import { seededRandom } from "../common/random.ts";
import type { ConfigDocument } from "../config/schema.ts";
import type { ListedHost } from "../clients/types.ts";
import { ChainPicker } from "./chain_picker.ts";
import { TargetDirectory } from "./target_directory.ts";
import { TargetWatcher } from "./target_watcher.ts";

const HOSTS = 12;
const TARGETS = ["a", "b", "c"];
const PROPAGATION_LIMIT_MS = 3_000;
const GOSSIP_MS = 800;

function document(draining = false): ConfigDocument {
  const targets: ConfigDocument["targets"] = {};
  for (const name of TARGETS) {
    const url = `http://${name}`;
    targets[name] = { kind: "engine", url, failureDomain: "fd" };
  }
  targets.a.draining = draining;
  const stages = [{ first: 0, end: 4, targets: TARGETS }];
  const pipeline = { model: "m", version: "v1", layerCount: 4, stages };
  return { targets, pipelines: { p: { ...pipeline, customers: [] } } };
}

/** A fleet whose hosts dispatch all the time; notes the last to target `a`. */
function setUp(options: { hasGossip: boolean; watcherCount: number }) {
  const clock = new ManualClock();
  const config = new FakeConfig(document());
  const engines = new FakeEngines(clock);
  for (const target of TARGETS) {
    engines.add(
      new FakeEngine({ target, model: "m", version: "v1", end: 4 }),
    );
  }
  const gossip = new FakeGossip(clock, GOSSIP_MS);
  const abort = new AbortController();
  setMaxListeners(0, abort.signal);
  const lists = Array.from(
    { length: HOSTS },
    () => new Emitter<readonly ListedHost[]>(),
  );
  const seen = { lastDispatchMs: 0, picksOfA: 0, hostsOfA: new Set<number>() };
  for (let host = 0; host < HOSTS; host++) {
    const dissemination = options.hasGossip
      ? gossip.join(`h${host}`)
      : undefined;
    const random = seededRandom(host);
    const directory = new TargetDirectory({ config, clock, dissemination });
    for (const { state } of engines.engines.values()) {
      directory.recordState(state);
    }
    const watcher = new TargetWatcher({
      config,
      clock,
      random,
      engines,
      directory,
      hostList: { onList: lists[host].event },
      watches: () => host < options.watcherCount,
    });
    void watcher.run(abort.signal);
    const picker = new ChainPicker({ config, directory, clock, random });
    void dispatch(picker, host);
  }
  return { clock, config, engines, lists, seen, stop: () => abort.abort() };

  async function dispatch(picker: ChainPicker, host: number): Promise<void> {
    for (let prefixHash = 0; !abort.signal.aborted; prefixHash++) {
      const request = { pipeline: "p", prefixHash, avoid: new Set<string>() };
      const pick = picker.pick(request).unwrap();
      if (pick.chain[0].target === "a") {
        seen.picksOfA++;
        seen.hostsOfA.add(host);
        seen.lastDispatchMs = clock.nowMs();
      }
      pick.dispose();
      await clock.sleep(50, abort.signal);
    }
  }
}

type Fleet = ReturnType<typeof setUp>;

const LISTED: ListedHost = {
  name: "a",
  url: "http://a",
  failureDomain: "fd",
  region: "default",
  role: "target",
  state: "leaving",
};

const notices: Record<string, (fleet: Fleet) => void> = {
  "its own word, heard by one host, the list down": ({ engines }) => {
    const engine = engines.engines.get("a")!;
    engine.state = { ...engine.state, leaving: true };
  },
  "the list, read by one host": ({ lists }) => lists[0].fire([LISTED]),
  "an operator's drain": ({ config }) => config.set(document(true)),
};

async function lastDispatchAfterNotice(
  fleet: Fleet,
  sign: (fleet: Fleet) => void,
): Promise<number> {
  await fleet.clock.advance(2_000);
  expect(fleet.seen.picksOfA).toBeGreaterThan(50);
  const noticeMs = fleet.clock.nowMs();
  sign(fleet);
  await fleet.clock.advance(40_000);
  fleet.stop();
  await fleet.clock.advance(2_000);
  return fleet.seen.lastDispatchMs - noticeMs;
}

test.each(Object.keys(notices))(
  "no host sends new work 3 s after %s",
  async (name) => {
    const fleet = setUp({ hasGossip: true, watcherCount: 1 });
    const lastMs = await lastDispatchAfterNotice(fleet, notices[name]);
    expect(lastMs).toBeLessThanOrEqual(PROPAGATION_LIMIT_MS);
  },
);

test("the plain way, each host on its own, goes on sending", async () => {
  const fleet = setUp({ hasGossip: false, watcherCount: 1 });
  const sign = notices["its own word, heard by one host, the list down"];
  expect(await lastDispatchAfterNotice(fleet, sign)).toBeGreaterThan(30_000);
});

test("a target that stays after all gets work again", async () => {
  const fleet = setUp({ hasGossip: true, watcherCount: 1 });
  await fleet.clock.advance(1_000);
  fleet.lists[3].fire([LISTED]);
  await fleet.clock.advance(5_000);
  fleet.seen.hostsOfA.clear();
  fleet.lists[3].fire([{ ...LISTED, state: "live" }]);
  await fleet.clock.advance(45_000);
  expect(fleet.seen.hostsOfA.size).toBe(HOSTS);
  fleet.stop();
  await fleet.clock.advance(2_000);
});
