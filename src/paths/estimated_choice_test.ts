import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { SITE_PROFILE } from "../../test/reference_site.ts";
import { silentLog } from "../common/logging.ts";
import { seededRandom } from "../common/random.ts";
import { PathChooser } from "./path_chooser.ts";
import { TargetTable } from "./target_table.ts";

const demand = {
  service: "s",
  figures: SITE_PROFILE,
  tokens: 1_000,
  promptTokens: 800,
};

/** Equal targets that each run the lower or upper half of the layers. */
function fleet({ copies, hosts }: { copies: number; hosts: number }) {
  const clock = new ManualClock();
  const targetTable = new TargetTable({ clock, log: silentLog });
  for (let copy = 0; copy < copies; copy++) {
    for (const from of [0, 40]) {
      targetTable.put({
        id: `${copy}-${from}`,
        service: "s",
        address: `10.0.0.${copy + 1}:${from + 1}`,
        domain: "a",
        state: "ready",
        bornMs: 0,
        kind: "large",
        span: { from, to: from + 40 },
      });
    }
  }
  const random = seededRandom(5);
  const chooser = new PathChooser({
    targetTable,
    clock,
    domain: "a",
    hosts: () => hosts,
    random,
    maxEstimatedHosts: Infinity,
  });
  const report = (id: string, prefillTokenLayers: number): void => {
    const target = targetTable.get(id);
    if (target === undefined) throw new Error(`no target ${id}`);
    target.peerLoad = { streams: 0, tokenLayers: 0, prefillTokenLayers };
  };
  for (const { id } of targetTable.all()) report(id, 0);
  const firsts = (count: number): string[] =>
    Array.from({ length: count }, () => {
      const path = chooser.choose(demand);
      path?.release();
      return path?.stages[0].targetId ?? "";
    });
  return { clock, targetTable, chooser, report, firsts };
}

test("a target to which other hosts report prefill work gets no new request", () => {
  const { report, firsts } = fleet({ copies: 2, hosts: 9 });
  report("0-0", 800 * 40 * 20);
  expect(new Set(firsts(20))).toEqual(new Set(["1-0"]));
});

test("own prefill work counts for unreported work of others, until the first event", () => {
  const { chooser, report, firsts } = fleet({ copies: 2, hosts: 9 });
  const path = chooser.choose(demand);
  const used = path?.stages.map(({ targetId }) => targetId) ?? [];
  for (const id of ["0-0", "0-40", "1-0", "1-40"]) {
    // Half of eight prompts counts less than one of nearly six hosts.
    if (!used.includes(id)) report(id, 8 * 800 * 40);
  }
  expect(firsts(20)).not.toContain(used[0]);
  path?.recordFirstEvent();
  expect(new Set(firsts(20))).toEqual(new Set([used[0]]));
});

test("prefill work ends once, with the first event or the release", async () => {
  const { clock, chooser, targetTable } = fleet({ copies: 1, hosts: 9 });
  const work = () => targetTable.get("0-40")?.ownLoad.prefillTokenLayers;
  const path = chooser.choose(demand);
  expect(work()).toBe(800 * 40);
  await clock.advance(120);
  expect(path?.recordFirstEvent()).toBe(120);
  expect(path?.recordFirstEvent()).toBeUndefined();
  expect(work()).toBe(0);
  path?.release();
  expect(work()).toBe(0);
  const refused = chooser.choose(demand);
  refused?.release();
  expect(work()).toBe(0);
  expect(refused?.recordFirstEvent()).toBeUndefined();
});

test("a repath counts only the layers that move, and has no observed first event", () => {
  const { chooser, targetTable } = fleet({ copies: 2, hosts: 9 });
  const path = chooser.choose({
    ...demand,
    excluded: new Set(["1-0", "1-40"]),
  });
  path?.recordFirstEvent();
  const next = chooser.choose({
    ...demand,
    current: path?.stages,
    excluded: new Set(["0-40"]),
  });
  expect(targetTable.get("0-0")?.ownLoad.prefillTokenLayers).toBe(0);
  expect(targetTable.get("1-40")?.ownLoad.prefillTokenLayers).toBe(800 * 40);
  expect(next?.recordFirstEvent()).toBeUndefined();
  expect(targetTable.get("1-40")?.ownLoad.prefillTokenLayers).toBe(0);
});

test("hosts of a large fleet do not all select the target that seems idle", async () => {
  const { clock, report, firsts } = fleet({ copies: 4, hosts: 79 });
  await clock.advance(60_000);
  for (const copy of [1, 2, 3]) report(`${copy}-0`, 800 * 40 * 20);
  const counts = firsts(400).filter((id) => id === "0-0").length;
  // It is among half of the draws.
  expect(counts).toBeGreaterThan(150);
  expect(counts).toBeLessThan(250);
});

test("a large fleet goes by the mean of the reports, not by the newest", async () => {
  const { clock, targetTable, report } = fleet({ copies: 1, hosts: 79 });
  const mean = () => targetTable.get("0-0")?.meanPeerPrefill ?? NaN;
  for (let i = 0; i < 40; i++) {
    await clock.advance(600);
    report("0-0", i % 2 === 0 ? 1_000 : 0);
  }
  expect(mean()).toBeGreaterThan(350);
  expect(mean()).toBeLessThan(650);
});
