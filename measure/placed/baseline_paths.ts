/**
 * Baseline path selection: the copies of the plan, round-robin or at random,
 * regardless of load.
 *
 * @module
 */

import type { Random } from "../../src/common/random.ts";
import type { TargetTable } from "../../src/paths/target_table.ts";
import type { PlannedOrder } from "../../src/placement/types.ts";
import type { EngineProfile, PathStage } from "../../src/ports/types.ts";
import type { PathPolicy } from "./types.ts";

export interface BaselinePathsOptions {
  readonly figures: EngineProfile;
  readonly orders: readonly PlannedOrder[];
  readonly policy: PathPolicy;
  readonly random: Random;
}

/** Selects among complete copies of the model. */
export class BaselinePaths {
  readonly #options: BaselinePathsOptions;
  readonly #copies: readonly (readonly PathStage[])[];
  #turn = 0;

  constructor(options: BaselinePathsOptions) {
    this.#options = options;
    this.#copies = copiesOf(options.orders, options.figures.layers);
  }

  /** Returns undefined if every copy has lost a target. */
  next(targetTable: TargetTable): readonly PathStage[] | undefined {
    const available = this.#copies.filter((copy) =>
      copy.every(({ targetId }) => targetTable.get(targetId) !== undefined)
    );
    if (available.length === 0) return undefined;
    const { policy, random } = this.#options;
    return policy === "random"
      ? available[Math.floor(random() * available.length)]
      : available[this.#turn++ % available.length];
  }
}

/** Complete copies in the order of the plan; partial copies are left out. */
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
