import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import {
  FakeConfig,
  FakeEngine,
  FakeEngines,
} from "../../test/pipelines_fakes.ts";
import type { ConfigDocument } from "../config/schema.ts";
import { TargetDirectory } from "./target_directory.ts";
import { TargetWatcher } from "./target_watcher.ts";

const TARGETS = 40;

test("a host knows the engines that it uses at once after a change of configuration", async () => {
  const clock = new ManualClock();
  const config = new FakeConfig();
  const engines = new FakeEngines(clock);
  const directory = new TargetDirectory({ config, clock });
  const targets: NonNullable<ConfigDocument["targets"]> = {};
  for (let index = 0; index < TARGETS; index++) {
    const target = `t-${index}`;
    const url = `http://${target}`;
    targets[target] = { kind: "engine", url, failureDomain: "fd" };
    engines.add(new FakeEngine({ target, model: "m", end: 4 }));
  }
  const watcher = new TargetWatcher({
    ...{ config, clock, engines, directory },
    watches: () => false,
    uses: () => Object.keys(config.state.config.targets),
  });
  const abort = new AbortController();
  const running = watcher.run(abort.signal);
  await clock.advance(100);
  config.set({ targets });
  await clock.advance(10);
  const known = Object.keys(targets).filter((target) =>
    directory.engineState(target)
  );
  expect(known.length).toBe(TARGETS);
  const readCount = engines.readCount;
  await clock.advance(10_000);
  expect(engines.readCount).toBe(readCount);
  abort.abort();
  await running;
});

test("an engine that is silent and not polled is read until it answers", async () => {
  const clock = new ManualClock();
  const targets: ConfigDocument["targets"] = {
    a: { kind: "engine", url: "http://a", failureDomain: "fd" },
  };
  const config = new FakeConfig({ targets });
  const engines = new FakeEngines(clock);
  const engine = engines.add(new FakeEngine({ target: "a" }));
  const directory = new TargetDirectory({ config, clock });
  const watcher = new TargetWatcher({
    ...{ config, clock, engines, directory },
    watches: () => false,
    uses: () => ["a"],
  });
  const abort = new AbortController();
  const running = watcher.run(abort.signal);
  await clock.advance(10);
  engine.settings.isDown = true;
  directory.markSuspect("a");
  await clock.advance(5_000);
  expect(directory.acceptsNewWork("a")).toBe(false);
  engine.settings.isDown = false;
  await clock.advance(1_500);
  expect(directory.acceptsNewWork("a")).toBe(true);
  abort.abort();
  await running;
});
