/**
 * Recent requests and their steps, kept in memory for `explain`.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import type { IRequestJournal, JournalStep } from "./services.ts";

/** Options of `RequestJournal`. */
export interface RequestJournalOptions {
  readonly clock?: Clock;
  /** Requests kept; the one that began first is forgotten first. */
  readonly capacity?: number;
  /** Steps kept of one request; later ones are dropped. */
  readonly stepsPerRequest?: number;
}

/** A journal that forgets the oldest requests. */
export class RequestJournal implements IRequestJournal {
  readonly #clock: Clock;
  readonly #capacity: number;
  readonly #stepsPerRequest: number;
  readonly #requests = new Map<string, JournalStep[]>();

  constructor(options: RequestJournalOptions = {}) {
    this.#clock = options.clock ?? systemClock;
    this.#capacity = options.capacity ?? 4_096;
    this.#stepsPerRequest = options.stepsPerRequest ?? 64;
  }

  note(
    requestId: string,
    step: string,
    details: Readonly<Record<string, unknown>> = {},
  ): void {
    const steps = this.#requests.get(requestId) ??
      this.#startRequest(requestId);
    if (steps.length >= this.#stepsPerRequest) return;
    steps.push({ atWallMs: this.#clock.wallMs(), step, details });
  }

  explain(requestId: string): readonly JournalStep[] | undefined {
    return this.#requests.get(requestId);
  }

  #startRequest(requestId: string): JournalStep[] {
    if (this.#requests.size >= this.#capacity) {
      const [oldest] = this.#requests.keys();
      this.#requests.delete(oldest);
    }
    const steps: JournalStep[] = [];
    this.#requests.set(requestId, steps);
    return steps;
  }
}
