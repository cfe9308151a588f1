/**
 * The largest amount that every layer can get at the same time when each target
 * shares its own amount among the layers that it holds: concurrent tokens if the
 * amounts are memory, tokens per second if they are prefill speeds.
 *
 * @module
 */

import type { Span } from "../../src/ports/types.ts";

export interface Holder {
  readonly span: Span;
  /** In units x layers. */
  readonly amount: number;
}

const PRECISION = 1e-3;

/** Returns the amount per layer. */
export function sharedCapacity(
  holders: readonly Holder[],
  layers: number,
): number {
  let low = 0;
  let high = holders.reduce((sum, { amount }) => sum + amount, 0) / layers;
  while (high - low > PRECISION * high && high > 1e-9) {
    const middle = (low + high) / 2;
    if (isFeasible(holders, layers, middle)) low = middle;
    else high = middle;
  }
  return low;
}

/**
 * Serves the layers in order, each first from the holder whose span ends first.
 * This is optimal, since all spans are intervals and every layer needs the same.
 */
function isFeasible(
  holders: readonly Holder[],
  layers: number,
  needed: number,
): boolean {
  const left = holders.map(({ amount }) => amount);
  const byEnd = [...holders.keys()].sort((a, b) =>
    holders[a].span.to - holders[b].span.to
  );
  for (let layer = 0; layer < layers; layer++) {
    let missing = needed;
    for (const index of byEnd) {
      const { from, to } = holders[index].span;
      if (layer < from || layer >= to) continue;
      const taken = Math.min(left[index], missing);
      left[index] -= taken;
      missing -= taken;
      if (missing <= 1e-9) break;
    }
    if (missing > 1e-9) return false;
  }
  return true;
}
