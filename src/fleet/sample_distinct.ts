/**
 * Random choice among members.
 *
 * @module
 */

import type { Random } from "../common/random.ts";

/** Picks up to `count` different items at random. */
export function sampleDistinct<T>(
  items: readonly T[],
  options: { readonly count: number; readonly random: Random },
): T[] {
  const sample = new Set<T>();
  const sampleSize = Math.min(options.count, items.length);
  while (sample.size < sampleSize) {
    sample.add(items[Math.floor(options.random() * items.length)]);
  }
  return [...sample];
}
