/**
 * The pipes between failure domains. All steps of all requests from one domain
 * to another share one, and a prompt occupies it for long, so each host keeps
 * an account of what it sent through and assumes that the others do the same.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { EngineProfile, PathStage } from "../ports/types.ts";
import { Backlog } from "./backlog.ts";

/** Options of the pipes. */
export interface DomainLinksOptions {
  readonly clock: Clock;
  /** Hosts that use the pipes, this one included. */
  readonly hosts: () => number;
}

/** A path and the time for which it occupies each pipe on its way. */
export interface LinkUsage {
  readonly stages: readonly PathStage[];
  /** The path that it takes the place of; its steps carry nothing more. */
  readonly current: readonly PathStage[];
  readonly domainOf: (targetId: string) => string | undefined;
  readonly transferMs: number;
}

/** What this host sends between failure domains. */
export class DomainLinks {
  readonly #options: DomainLinksOptions;
  readonly #links = new Map<string, Backlog>();

  constructor(options: DomainLinksOptions) {
    this.#options = options;
  }

  /** Time until a transfer that starts now would begin. */
  waitMs(a: string, b: string): number {
    return this.#links.get(keyOf(a, b))?.remainingMs ?? 0;
  }

  /** Accounts for what is new on a path. */
  add({ stages, current, domainOf, transferMs: workMs }: LinkUsage): void {
    const { clock, hosts } = this.#options;
    if (workMs === 0) return;
    for (let i = 1; i < stages.length; i++) {
      const [last, next] = [stages[i - 1].targetId, stages[i].targetId];
      const from = domainOf(last);
      const to = domainOf(next);
      if (from === undefined || to === undefined || from === to) continue;
      if (containsHop(current, last, next)) continue;
      const key = keyOf(from, to);
      let pipe = this.#links.get(key);
      if (pipe === undefined) {
        pipe = new Backlog(clock);
        this.#links.set(key, pipe);
      }
      pipe.add(workMs * hosts());
    }
  }
}

/** Time for which one token occupies a pipe. */
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
