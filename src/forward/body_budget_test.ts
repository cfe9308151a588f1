import { expect, test } from "vitest";
import { BodyBudget } from "./body_budget.ts";

const KB = 1024;

function budget(): BodyBudget {
  return new BodyBudget({ maxBytes: 300 * KB, maxTotalBytes: 400 * KB });
}

/** Reserves `bytes` more for a body that then has `bodyBytes`. */
function reserve(
  bodies: BodyBudget,
  bytes: number,
  bodyBytes: number,
): boolean {
  return bodies.tryReserve(bytes, {
    heldBytes: bodyBytes - bytes,
    finalBytes: bodyBytes,
  });
}

test("large bodies do not take the room of small ones, nor small ones all memory", () => {
  const bodies = budget();
  expect(reserve(bodies, 100 * KB, 100 * KB)).toBe(true);
  expect(reserve(bodies, 150 * KB, 150 * KB)).toBe(true);
  expect(reserve(bodies, 100 * KB, 100 * KB)).toBe(false);
  for (let i = 0; i < 15; i++) {
    expect(reserve(bodies, 10 * KB, 10 * KB)).toBe(true);
  }
  expect(reserve(bodies, 10 * KB, 10 * KB)).toBe(false);
  expect(bodies.usedBytes).toBe(400 * KB);
  bodies.release(150 * KB);
  expect(reserve(bodies, 50 * KB, 100 * KB)).toBe(true);
});

test("a body larger than the budget is accepted while it is alone, also in chunks", () => {
  const bodies = budget();
  for (let sizeKb = 200; sizeKb <= 800; sizeKb += 200) {
    expect(reserve(bodies, 200 * KB, sizeKb * KB)).toBe(true);
  }
  expect(reserve(bodies, 1, 1)).toBe(false);
  bodies.release(800 * KB);
  expect(bodies.usedBytes).toBe(0);
});
