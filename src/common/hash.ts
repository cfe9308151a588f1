/**
 * Hashing for placement decisions. Every host computes the same ranking from
 * the same names, so that a role needs no agreement.
 *
 * @module
 */

import createXxhash from "xxhash-wasm";

const xxhash = await createXxhash();

/** A 32-bit hash of `text`, the same on every host. */
export function hash32(text: string, seed = 0): number {
  return xxhash.h32(text, seed);
}

/** A 64-bit hash of `text` as 16 hexadecimal digits. */
export function hash64Hex(text: string): string {
  return xxhash.h64ToString(text);
}

/** Orders `names` for `key` by rendezvous hashing, the best first. */
export function rendezvousRank(
  key: string,
  names: readonly string[],
): string[] {
  const seed = hash32(key);
  return [...names]
    .map((name) => ({ name, score: hash32(name, seed) }))
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map((entry) => entry.name);
}

/** The best of `names` for `key`, or undefined when there is none. */
export function rendezvousPick(
  key: string,
  names: readonly string[],
): string | undefined {
  const seed = hash32(key);
  let best: string | undefined;
  let bestScore = -1;
  for (const name of names) {
    const score = hash32(name, seed);
    if (
      score < bestScore ||
      (score === bestScore && best !== undefined && name > best)
    ) continue;
    best = name;
    bestScore = score;
  }
  return best;
}
