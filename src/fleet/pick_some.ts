/**
 * Random choice among members.
 *
 * @module
 */

import type { Random } from "../common/random.ts";

/** Picks up to `count` different items at random. */
export function pickSome<T>(
  items: readonly T[],
  options: { readonly count: number; readonly random: Random },
): T[] {
  const picked = new Set<T>();
  const wantedCount = Math.min(options.count, items.length);
  while (picked.size < wantedCount) {
    picked.add(items[Math.floor(options.random() * items.length)]);
  }
  return [...picked];
}
