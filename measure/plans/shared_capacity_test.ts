import { expect, test } from "vitest";
import { sharedCapacity } from "./shared_capacity.ts";

const holder = (from: number, to: number, amount: number) => ({
  span: { from, to },
  amount,
});

test("a target shares its amount among its layers as the others need it", () => {
  // The first holder serves two layers, since only the second one holds the last.
  expect(sharedCapacity([holder(0, 2, 4), holder(1, 3, 2)], 3))
    .toBeCloseTo(2, 1);
  // Each layer taken alone has 3, but the holders have 4 for three layers.
  expect(sharedCapacity([holder(0, 3, 3), holder(0, 3, 1)], 3))
    .toBeCloseTo(4 / 3, 1);
  expect(sharedCapacity([holder(0, 2, 9)], 3)).toBeCloseTo(0, 1);
});
