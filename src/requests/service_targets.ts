/**
 * Chooses targets of plain services by the work that this host has there.
 *
 * @module
 */

import { type Disposable, toDisposable } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import type { ITargetDirectory } from "../pipelines/services.ts";

/** Options of `ServiceTargets`. */
export interface ServiceTargetsOptions {
  readonly directory: Pick<ITargetDirectory, "takesNewWork">;
  readonly random: Random;
}

/** Counts this host's own calls in flight and picks the better of two targets. */
export class ServiceTargets {
  readonly #options: ServiceTargetsOptions;
  readonly #inFlight = new Map<string, number>();

  constructor(options: ServiceTargetsOptions) {
    this.#options = options;
  }

  /** Picks among `targets` that take new work, those in `avoid` last. */
  pick(
    targets: readonly string[],
    avoid: ReadonlySet<string>,
  ): string | undefined {
    const open = targets.filter((target) =>
      this.#options.directory.takesNewWork(target)
    );
    const fresh = open.filter((target) => !avoid.has(target));
    return this.#betterOfTwo(fresh.length > 0 ? fresh : open);
  }

  /** Counts a call at `target` until the result is disposed. */
  begin(target: string): Disposable {
    this.#inFlight.set(target, this.#countOf(target) + 1);
    return toDisposable(() => this.#end(target));
  }

  #betterOfTwo(targets: readonly string[]): string | undefined {
    if (targets.length < 2) return targets[0];
    const { random } = this.#options;
    const first = Math.floor(random() * targets.length);
    const step = 1 + Math.floor(random() * (targets.length - 1));
    const second = (first + step) % targets.length;
    return this.#countOf(targets[first]) <= this.#countOf(targets[second])
      ? targets[first]
      : targets[second];
  }

  #countOf(target: string): number {
    return this.#inFlight.get(target) ?? 0;
  }

  #end(target: string): void {
    const count = this.#countOf(target) - 1;
    if (count > 0) this.#inFlight.set(target, count);
    else this.#inFlight.delete(target);
  }
}
