import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { ContentQuarantine } from "../admission/content_quarantine.ts";
import { quarantineIds } from "../admission/quarantine_ids.ts";
import { PartLosses } from "./part_losses.ts";

const MAX_HOLD_MS = 6_000;

function setUp() {
  const clock = new ManualClock();
  const quarantine = new ContentQuarantine({ clock });
  let prompts = 0;
  const begin = (...sharedPromptParts: string[]) => {
    const contentId = (0xa0000000 + ++prompts).toString(16);
    const losses = new PartLosses({
      quarantine,
      content: { contentId, sharedPromptParts },
    });
    losses.beginSend();
    return losses;
  };
  const lose = async (...parts: string[]) => {
    const losses = begin(...parts);
    losses.recordEnd();
    losses.recordBreak();
    await clock.advance(MAX_HOLD_MS);
  };
  const heldForMs = (...sharedPromptParts: string[]) =>
    quarantine.heldForMs(quarantineIds({ contentId: "c", sharedPromptParts }));
  return { clock, begin, lose, heldForMs };
}

test("a part is withheld after three prompts in sequence that lost a target, whatever their other parts", async () => {
  const { lose, heldForMs } = setUp();
  await lose("dead", "a");
  await lose("b", "dead");
  expect(heldForMs("dead")).toBe(0);
  await lose("dead");
  expect(heldForMs("dead")).toBeGreaterThan(0);
  expect(heldForMs("c", "dead")).toBeGreaterThan(0);
  expect(heldForMs("a", "b")).toBe(0);
});

test("one prompt that loses many targets counts once for its parts", async () => {
  const { begin, heldForMs, clock } = setUp();
  const losses = begin("a");
  for (let i = 0; i < 5; i++) {
    losses.beginSend();
    losses.recordEnd();
    await clock.advance(1_000);
  }
  expect(heldForMs("a")).toBe(0);
});

test("prompts that one event ends at the same time count once for a part", () => {
  const { begin, heldForMs } = setUp();
  const prompts = Array.from({ length: 9 }, () => begin("a"));
  for (const prompt of prompts) prompt.recordEnd();
  expect(heldForMs("a")).toBe(0);
});

test("a first event clears the parts of its prompt", async () => {
  const { begin, lose, heldForMs } = setUp();
  for (let i = 0; i < 3; i++) {
    await lose("a", "dead");
    begin("a").recordFirstEvent();
  }
  expect(heldForMs("a")).toBe(0);
  expect(heldForMs("a", "dead")).toBeGreaterThan(0);
  expect(heldForMs("dead")).toBeGreaterThan(0);
});

test("of parts that were lost together, a prompt with some of them shows which is the cause", async () => {
  const { begin, lose, heldForMs } = setUp();
  for (let i = 0; i < 3; i++) await lose("a", "b", "dead");
  expect(heldForMs("a", "b", "dead")).toBeGreaterThan(0);
  expect(heldForMs("a", "b")).toBe(0);
  begin("a", "b").recordFirstEvent();
  expect(heldForMs("a")).toBe(0);
  expect(heldForMs("b")).toBe(0);
  expect(heldForMs("dead")).toBeGreaterThan(0);
});

test("a part that ends targets also without its companions is withheld alone", async () => {
  const { lose, heldForMs } = setUp();
  for (let i = 0; i < 3; i++) await lose("a", "dead");
  expect(heldForMs("dead")).toBe(0);
  await lose("dead");
  expect(heldForMs("dead")).toBeGreaterThan(0);
});

test("the holds of a part grow, so that it ends at most four targets in a day after the third", async () => {
  const { clock, begin, heldForMs } = setUp();
  const holdsMs: number[] = [];
  for (let i = 0; i < 8; i++) {
    begin("dead").recordEnd();
    holdsMs.push(Math.round(heldForMs("dead")));
    await clock.advance(heldForMs("dead"));
  }
  expect(holdsMs[0]).toBe(0);
  expect(holdsMs.slice(2)).toEqual([
    10_000,
    40_000,
    160_000,
    640_000,
    86_400_000,
    86_400_000,
  ]);
});

test("a part that ran lately is not suspected", async () => {
  const { begin, heldForMs, clock } = setUp();
  begin("a").recordFirstEvent();
  for (let i = 0; i < 5; i++) {
    await clock.advance(300);
    begin("a").recordEnd();
  }
  expect(heldForMs("a")).toBe(0);
  for (let i = 0; i < 3; i++) {
    await clock.advance(1_000);
    begin("a").recordEnd();
  }
  expect(heldForMs("a")).toBeGreaterThan(0);
});
