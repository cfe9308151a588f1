/**
 * Balances calls to plain services over their targets by this host's calls in
 * flight.
 *
 * @module
 */

import { type Disposable, toDisposable } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import type { ITargetDirectory } from "../pipelines/services.ts";

export interface ServiceTargetBalancerOptions {
  readonly directory: Pick<ITargetDirectory, "takesNewWork">;
  readonly random: Random;
}

/** Picks the less loaded of two random targets (power of two choices). */
export class ServiceTargetBalancer {
  readonly #options: ServiceTargetBalancerOptions;
  readonly #inFlight = new Map<string, number>();

  constructor(options: ServiceTargetBalancerOptions) {
    this.#options = options;
  }

  /** Picks among `targets` that accept new work, those in `avoid` last. */
  pick(
    targets: readonly string[],
    avoid: ReadonlySet<string>,
  ): string | undefined {
    const open = targets.filter((target) =>
      this.#options.directory.acceptsNewWork(target)
    );
    const fresh = open.filter((target) => !avoid.has(target));
    return this.#lessLoadedOfTwo(fresh.length > 0 ? fresh : open);
  }

  /** Counts a call in flight to `target` until the result is disposed. */
  trackCall(target: string): Disposable {
    this.#inFlight.set(target, this.#inFlightCount(target) + 1);
    return toDisposable(() => this.#untrackCall(target));
  }

  #lessLoadedOfTwo(targets: readonly string[]): string | undefined {
    if (targets.length < 2) return targets[0];
    const { random } = this.#options;
    const first = Math.floor(random() * targets.length);
    const step = 1 + Math.floor(random() * (targets.length - 1));
    const second = (first + step) % targets.length;
    return this.#inFlightCount(targets[first]) <=
        this.#inFlightCount(targets[second])
      ? targets[first]
      : targets[second];
  }

  #inFlightCount(target: string): number {
    return this.#inFlight.get(target) ?? 0;
  }

  #untrackCall(target: string): void {
    const count = this.#inFlightCount(target) - 1;
    if (count > 0) this.#inFlight.set(target, count);
    else this.#inFlight.delete(target);
  }
}
