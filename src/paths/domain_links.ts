/**
 * Estimates the load of the links between failure domains. All traffic between
 * two domains shares one link, and a prompt occupies it for long, so each host
 * tracks what it sends and assumes that the other hosts send as much.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { EngineProfile, PathStage } from "../ports/types.ts";
import { Backlog } from "./backlog.ts";

export interface DomainLinksOptions {
  readonly clock: Clock;
  /** Number of hosts that use the links, including this one. */
  readonly hosts: () => number;
}

/** A path and the time for which it occupies each link that it crosses. */
export interface LinkUsage {
  readonly stages: readonly PathStage[];
  /** The path that it replaces; hops that both share transfer nothing more. */
  readonly current: readonly PathStage[];
  readonly domainOf: (targetId: string) => string | undefined;
  readonly transferMs: number;
}

/** Load of each link, extrapolated from what this host sends. */
export class DomainLinks {
  readonly #options: DomainLinksOptions;
  readonly #links = new Map<string, Backlog>();

  constructor(options: DomainLinksOptions) {
    this.#options = options;
  }

  /** Time for which a transfer that is queued now would wait. */
  waitMs(a: string, b: string): number {
    return this.#links.get(keyOf(a, b))?.remainingMs ?? 0;
  }

  /** Adds the transfers of hops that the replaced path did not have. */
  add({ stages, current, domainOf, transferMs }: LinkUsage): void {
    const { clock, hosts } = this.#options;
    if (transferMs === 0) return;
    for (let i = 1; i < stages.length; i++) {
      const [last, next] = [stages[i - 1].targetId, stages[i].targetId];
      const from = domainOf(last);
      const to = domainOf(next);
      if (from === undefined || to === undefined || from === to) continue;
      if (containsHop(current, last, next)) continue;
      const key = keyOf(from, to);
      let link = this.#links.get(key);
      if (link === undefined) {
        link = new Backlog(clock);
        this.#links.set(key, link);
      }
      link.add(transferMs * hosts());
    }
  }
}

/** Time for which one token occupies a link. */
export function tokenTransferMs(figures: EngineProfile): number {
  const bitsPerMs = figures.domainLinkMbps * 1_000;
  return figures.activationBytes * 8 / bitsPerMs;
}

function containsHop(
  path: readonly PathStage[],
  from: string,
  to: string,
): boolean {
  return path.some((stage, index) =>
    stage.targetId === from && path[index + 1]?.targetId === to
  );
}

function keyOf(a: string, b: string): string {
  return a < b ? `${a} ${b}` : `${b} ${a}`;
}
