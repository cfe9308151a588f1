/**
 * A chain picker over test engines that works from reports of some age.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Random } from "../src/common/random.ts";
import { notRun, type Outcome } from "../src/common/verdict.ts";
import type {
  ChainPick,
  IChainPicker,
  PickRequest,
} from "../src/pipelines/services.ts";
import type { ChainStage } from "../src/clients/types.ts";
import type { TestEngines } from "./requests_engines.ts";

/** Picks at random among engines as they were when last looked at. */
export class TestPicker implements IChainPicker {
  openPicks = 0;
  pickCount = 0;
  /** The version of each pick; a roll-out changes it. */
  versionAt = (_pickCount: number) => "v1";
  readonly #engines: TestEngines;
  readonly #random: Random;
  readonly #spans: readonly { first: number; end: number }[];
  readonly #knownStages = new Map<string, ChainStage>();

  constructor(
    options: {
      engines: TestEngines;
      random: Random;
      spans: readonly { first: number; end: number }[];
    },
  ) {
    this.#engines = options.engines;
    this.#random = options.random;
    this.#spans = options.spans;
    for (const target of options.engines.engines.keys()) this.#refresh(target);
  }

  pick({ avoid }: PickRequest): Outcome<ChainPick> {
    const chain: ChainStage[] = [];
    for (const span of this.#spans) {
      const candidates = [...this.#knownStages.values()].filter((stage) =>
        stage.first === span.first && stage.end === span.end &&
        !avoid.has(stage.target)
      );
      if (candidates.length === 0) {
        return notRun("no-target", "no engine is left");
      }
      chain.push(candidates[Math.floor(this.#random() * candidates.length)]);
    }
    this.openPicks += 1;
    const dispose = () => void (this.openPicks -= 1);
    const version = this.versionAt(this.pickCount++);
    return new Ok({ chain, model: "m", version, dispose });
  }

  reportFailure(target: string): void {
    this.#refresh(target);
  }

  reportLoad(): void {}

  progressTimeoutMs(): number {
    return 200;
  }

  reportProgress(): void {}

  #refresh(target: string): void {
    const engine = this.#engines.engines.get(target);
    if (engine === undefined) return;
    this.#knownStages.delete(target);
    if (engine.state !== "alive") return;
    const { first, end, generation } = engine;
    const url = `http://${target}`;
    this.#knownStages.set(target, { target, url, first, end, generation });
  }
}
