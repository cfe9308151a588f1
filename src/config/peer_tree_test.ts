import { expect, test } from "vitest";
import { seededRandom } from "../common/random.ts";
import {
  ALL_NAMES,
  type ConfigPeer,
  type NameRange,
  sortPeers,
  splitRange,
} from "./peer_tree.ts";

const SEED = 7;

/** Every host reached from `root`, once for each time it is reached. */
function reach(
  root: string,
  viewOf: (name: string) => readonly ConfigPeer[],
  random: () => number,
): string[] {
  const reached: string[] = [];
  visit(root, ALL_NAMES, 0);
  return reached.sort();

  function visit(self: string, range: NameRange, depth: number): void {
    if (depth > 20) {
      throw new Error(`the tree of ${root} is deeper than 20 levels`);
    }
    const view = sortPeers(viewOf(self).filter(({ name }) => name !== self));
    for (const part of splitRange(view, range, { self, partCount: 4 })) {
      const { name } = part.peers[Math.floor(random() * part.peers.length)];
      reached.push(name);
      visit(name, part.range, depth + 1);
    }
  }
}

test.each([1, 2, 3, 9, 100])(
  "a tree of %i hosts reaches each other host once",
  (count) => {
    const random = seededRandom(SEED);
    const peers = Array.from({ length: count }, (_, index) => ({
      name: `h${index}`,
      url: "",
    }));
    for (const { name: root } of peers) {
      const others = peers.map(({ name }) => name).filter((name) =>
        name !== root
      );
      expect(reach(root, () => peers, random)).toEqual(others.sort());
    }
  },
);

test(`no host is reached twice when the hosts' lists differ, seed ${SEED}`, () => {
  const random = seededRandom(SEED);
  const peers = Array.from({ length: 60 }, (_, index) => ({
    name: `h${index}`,
    url: "",
  }));
  for (let round = 0; round < 200; round++) {
    const partial = () => peers.filter(() => random() < 0.9);
    const reached = reach("h0", partial, random);
    expect(new Set(reached).size).toBe(reached.length);
    expect(reached).not.toContain("h0");
    expect(reached.length).toBeGreaterThan(30);
  }
});
