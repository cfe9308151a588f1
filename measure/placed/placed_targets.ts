/**
 * The simulated targets of one run. Memory is reserved and released on all
 * stages of a path, contexts are prefilled stage by stage, and token times add
 * up over the complete path.
 *
 * @module
 */

import type { PlannedOrder, PlanTarget } from "../../src/placement/types.ts";
import type { EngineProfile, PathStage } from "../../src/ports/types.ts";
import type { EventQueue } from "../chains/fakes.ts";
import { ModelTarget } from "./model_target.ts";
import { kindOf } from "../../test/reference_site.ts";

/** Delay of a hop to the next target, within a failure domain or across two. */
const HOP_MS = { withinDomain: 0.2, acrossDomains: 0.95 };

export interface PlacedTargetsOptions {
  readonly events: EventQueue;
  readonly figures: EngineProfile;
  readonly targets: readonly PlanTarget[];
  readonly orders: readonly PlannedOrder[];
}

export class PlacedTargets {
  readonly #events: EventQueue;
  readonly #targets = new Map<string, ModelTarget>();

  constructor({ events, figures, targets, orders }: PlacedTargetsOptions) {
    this.#events = events;
    for (const { targetId, span } of orders) {
      const plan = targets.find(({ id }) => id === targetId);
      if (plan === undefined) continue;
      const prefillFactor =
        figures.kinds.get(kindOf(plan))?.prefillTimeFactor ??
          1;
      const target = new ModelTarget({ plan, span, figures, prefillFactor });
      this.#targets.set(targetId, target);
    }
  }

  markLost(ids: readonly string[]): void {
    for (const id of ids) {
      const target = this.#targets.get(id);
      if (target !== undefined) target.isLost = true;
    }
  }

  hasLost(stages: readonly PathStage[]): boolean {
    return stages.some(({ targetId }) =>
      this.#targets.get(targetId)?.isLost === true
    );
  }

  /** Reserves memory on all stages, or returns the ID of the target that cannot. */
  admit(stages: readonly PathStage[], tokens: number): string | undefined {
    const admitted: PathStage[] = [];
    for (const stage of stages) {
      const target = this.#targets.get(stage.targetId);
      const isAdmitted = target !== undefined && !target.isLost &&
        target.admit(tokens * (stage.to - stage.from));
      if (!isAdmitted) {
        this.release(admitted, tokens);
        return stage.targetId;
      }
      admitted.push(stage);
    }
    return undefined;
  }

  release(stages: readonly PathStage[], tokens: number): void {
    for (const { targetId, from, to } of stages) {
      this.#targets.get(targetId)?.release(tokens * (to - from));
    }
  }

  /**
   * Prefills the stages one after the other. Stages covered by `cachedStages`
   * already hold the context and are skipped.
   */
  prefill(
    stages: readonly PathStage[],
    tokens: number,
    cachedStages: readonly PathStage[],
    onDone: () => void,
  ): void {
    const [stage, ...rest] = stages;
    if (stage === undefined) {
      onDone();
      return;
    }
    const { targetId, from, to } = stage;
    const isCached = cachedStages.some((one) =>
      one.targetId === targetId && one.from <= from && one.to >= to
    );
    const nowMs = this.#events.nowMs();
    const target = isCached ? undefined : this.#targets.get(targetId);
    const doneMs = target?.prefill(nowMs, tokens, to - from) ?? nowMs;
    this.#events.after(
      doneMs - nowMs,
      () => this.prefill(rest, tokens, cachedStages, onDone),
    );
  }

  /** Time of one token over a path under the current load. */
  tokenMs(stages: readonly PathStage[]): number {
    let sumMs = 0;
    let previous: ModelTarget | undefined;
    for (const { targetId, from, to } of stages) {
      const target = this.#targets.get(targetId);
      if (target === undefined) continue;
      if (previous !== undefined) {
        sumMs += previous.domain === target.domain
          ? HOP_MS.withinDomain
          : HOP_MS.acrossDomains;
      }
      sumMs += target.tokenMs(to - from, this.#events.nowMs());
      previous = target;
    }
    return sumMs;
  }
}
