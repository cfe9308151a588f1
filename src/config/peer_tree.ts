/**
 * Divides the hosts, in the order of their names, into ranges for a broadcast
 * tree. A host that is given a range covers it by its own view of the hosts,
 * so that views which differ slightly still reach everybody.
 *
 * @module
 */

/** A peer as the configuration service needs to know it. */
export interface ConfigPeer {
  readonly name: string;
  readonly url: string;
}

/** Names from `from` (included) to `until` (excluded); null is unbounded. */
export interface NameRange {
  readonly from: string | null;
  readonly until: string | null;
}

export const ALL_NAMES: NameRange = { from: null, until: null };

/** One part of a range with the peers known in it. */
export interface RangePart {
  readonly range: NameRange;
  readonly peers: readonly ConfigPeer[];
}

/**
 * Splits the peers of `range` into about `partCount` parts, none of which
 * contains the name `self`, so that no part leads back. `sorted` is by name.
 */
export function splitRange(
  sorted: readonly ConfigPeer[],
  range: NameRange,
  options: { readonly self: string; readonly partCount: number },
): RangePart[] {
  const { self, partCount } = options;
  const sides = [
    sliceRange(sorted, { from: range.from, until: lowerOf(self, range.until) }),
    sliceRange(sorted, {
      from: startAfter(self, range.from),
      until: range.until,
    }),
  ];
  const count = sides[0].peers.length + sides[1].peers.length;
  return sides.flatMap((side) =>
    splitPart(side, Math.ceil(partCount * side.peers.length / count))
  );
}

function splitPart(
  { range, peers }: RangePart,
  partCount: number,
): RangePart[] {
  const count = Math.min(partCount, peers.length);
  return Array.from({ length: count }, (_, part) => {
    const first = Math.floor(part * peers.length / count);
    const next = Math.floor((part + 1) * peers.length / count);
    return {
      range: {
        from: part === 0 ? range.from : peers[first].name,
        until: part === count - 1 ? range.until : peers[next].name,
      },
      peers: peers.slice(first, next),
    };
  });
}

function sliceRange(
  sorted: readonly ConfigPeer[],
  range: NameRange,
): RangePart {
  const { from, until } = range;
  const start = from === null ? 0 : lowerBound(sorted, from);
  const end = until === null ? sorted.length : lowerBound(sorted, until);
  return { range, peers: sorted.slice(start, Math.max(start, end)) };
}

/** The first of two upper bounds. */
function lowerOf(name: string, until: string | null): string {
  return until !== null && until < name ? until : name;
}

/** The lower bound that leaves out `name` itself. */
function startAfter(name: string, from: string | null): string {
  const next = `${name}\u0000`;
  return from !== null && from > next ? from : next;
}

/** Sorts peers by name. */
export function sortPeers(peers: readonly ConfigPeer[]): ConfigPeer[] {
  return [...peers].sort((a, b) => a.name < b.name ? -1 : 1);
}

function lowerBound(sorted: readonly ConfigPeer[], name: string): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (sorted[middle].name < name) low = middle + 1;
    else high = middle;
  }
  return low;
}
