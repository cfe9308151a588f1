import { expect, test } from "vitest";
import { rendezvousPick, rendezvousRank } from "./hash.ts";
import { seededRandom } from "./random.ts";

test("removing the top-ranked name keeps the order of the others", () => {
  const names = ["a", "b", "c", "d", "e"];
  const ranked = rendezvousRank("key", names);
  const rest = names.filter((name) => name !== ranked[0]);
  expect(rendezvousRank("key", rest)).toEqual(ranked.slice(1));
  expect(rendezvousPick("key", names)).toBe(ranked[0]);
  expect(rendezvousPick("key", [])).toBeUndefined();
});

test("equal seeds produce equal sequences", () => {
  const first = seededRandom(7);
  const second = seededRandom(7);
  expect([first(), first(), first()]).toEqual([second(), second(), second()]);
});
