/**
 * Rendezvous hashing. Every host computes the same ranking from the same
 * names, so roles are assigned without a consensus protocol.
 *
 * @module
 */

import createXxhash from "xxhash-wasm";

const xxhash = await createXxhash();

/** 32-bit xxHash of `text`; equal on every host. */
export function hash32(text: string, seed = 0): number {
  return xxhash.h32(text, seed);
}

/** 64-bit xxHash of `text` as 16 hexadecimal digits. */
export function hash64Hex(text: string): string {
  return xxhash.h64ToString(text);
}

/** Ranks `names` for `key` by rendezvous hashing, highest score first. */
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

/** The highest-ranked of `names` for `key`, or undefined if `names` is empty. */
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
