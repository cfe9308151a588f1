/**
 * Baseline path selection among the complete copies of the plan: round-robin,
 * at random, in proportion to their speed, the least loaded, or the less loaded
 * of two random ones.
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

type Copy = readonly PathStage[];

/** Selects among complete copies of the model. */
export class BaselinePaths {
  readonly #options: BaselinePathsOptions;
  readonly #copies: readonly Copy[];
  #turn = 0;

  constructor(options: BaselinePathsOptions) {
    this.#options = options;
    this.#copies = copiesOf(options.orders, options.figures.layers);
  }

  /** Returns undefined if every copy has lost a target. */
  next(targetTable: TargetTable): Copy | undefined {
    const available = this.#copies.filter((copy) =>
      copy.every(({ targetId }) => targetTable.get(targetId) !== undefined)
    );
    if (available.length === 0) return undefined;
    const { policy, random } = this.#options;
    const draw = () => available[Math.floor(random() * available.length)];
    switch (policy) {
      case "random":
        return draw();
      case "by-speed":
        return drawBySpeed(available, {
          ...this.#options,
          targetTable,
        });
      case "two-choices":
        return leastLoaded([draw(), draw()], targetTable);
      case "least-loaded":
        return leastLoaded(available, targetTable);
      default:
        return available[this.#turn++ % available.length];
    }
  }
}

/** Draws a copy with a probability in proportion to its tokens per second. */
function drawBySpeed(
  copies: readonly Copy[],
  { figures, targetTable, random }: {
    readonly figures: EngineProfile;
    readonly targetTable: TargetTable;
    readonly random: Random;
  },
): Copy {
  const speeds = copies.map((copy) =>
    1 / copy.reduce((sum, { targetId, from, to }) => {
      const kind = targetTable.get(targetId)?.record.kind ?? "";
      const factor = figures.kinds.get(kind)?.decodeTimeFactor ?? 1;
      return sum + (to - from) * factor;
    }, 0)
  );
  let left = random() * speeds.reduce((a, b) => a + b, 0);
  return copies.find((_, index) => (left -= speeds[index]) < 0) ?? copies[0];
}

/** The copy whose busiest target has the fewest streams, as far as the host knows. */
function leastLoaded(copies: readonly Copy[], targetTable: TargetTable): Copy {
  const loadOf = (copy: Copy): number =>
    Math.max(...copy.map(({ targetId }) => {
      const target = targetTable.get(targetId);
      return (target?.ownLoad.streams ?? 0) + (target?.peerLoad.streams ?? 0);
    }));
  return copies.reduce((a, b) => loadOf(b) < loadOf(a) ? b : a);
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
