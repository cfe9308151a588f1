/**
 * Plain ways to choose a path: the copies of the plan, in turn or at random,
 * whatever their load.
 *
 * @module
 */

import type { Random } from "../../src/common/random.ts";
import type { TargetTable } from "../../src/paths/target_table.ts";
import type { PlannedOrder } from "../../src/placement/types.ts";
import type { EngineProfile, PathStage } from "../../src/ports/types.ts";
import type { PathWay } from "./types.ts";

/** Options of the ways. */
export interface PlainPathsOptions {
  readonly figures: EngineProfile;
  readonly orders: readonly PlannedOrder[];
  readonly way: PathWay;
  readonly random: Random;
}

/** Chooses among whole copies. */
export class PlainPaths {
  readonly #options: PlainPathsOptions;
  readonly #copies: readonly (readonly PathStage[])[];
  #turn = 0;

  constructor(options: PlainPathsOptions) {
    this.#options = options;
    this.#copies = copiesOf(options.orders, options.figures.layers);
  }

  /** Undefined where every copy has lost a target. */
  next(book: TargetTable): readonly PathStage[] | undefined {
    const sound = this.#copies.filter((copy) =>
      copy.every(({ targetId }) => book.get(targetId) !== undefined)
    );
    if (sound.length === 0) return undefined;
    const { way, random } = this.#options;
    return way === "random"
      ? sound[Math.floor(random() * sound.length)]
      : sound[this.#turn++ % sound.length];
  }
}

/** Copies in the order of the plan; what completes none is left out. */
function copiesOf(
  orders: readonly PlannedOrder[],
  layers: number,
): PathStage[][] {
  const copies: PathStage[][] = [];
  let copy: PathStage[] = [];
  for (const { targetId, span } of orders) {
    if (span.from !== (copy.at(-1)?.to ?? 0)) copy = [];
    if (span.from !== (copy.at(-1)?.to ?? 0)) continue;
    copy.push({ targetId, address: "", ...span });
    if (span.to < layers) continue;
    copies.push(copy);
    copy = [];
  }
  return copies;
}
