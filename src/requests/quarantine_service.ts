/**
 * Remembers content that was running when targets were lost.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import { notRun, type Outcome } from "../common/verdict.ts";
import type {
  IDissemination,
  IMembership,
  IPeerTransport,
} from "../fleet/services.ts";
import type { IQuarantineService } from "./services.ts";

/** Options of `QuarantineService`. */
export interface QuarantineServiceOptions {
  readonly membership: IMembership;
  readonly transport: IPeerTransport;
  readonly dissemination: IDissemination;
  readonly clock?: Clock;
  /** Distinct targets that one content may cost. */
  readonly maxTargetsLost?: number;
  /** How long strikes count. */
  readonly rememberMs?: number;
}

/** Counts strikes by distinct targets. */
export class QuarantineService implements IQuarantineService {
  readonly #clock: Clock;
  readonly #maxTargetsLost: number;
  readonly #strikes = new Map<string, Set<string>>();

  constructor(options: QuarantineServiceOptions) {
    this.#clock = options.clock ?? systemClock;
    this.#maxTargetsLost = options.maxTargetsLost ?? 2;
  }

  admit(fingerprint: string): Outcome<void> {
    const lost = this.#strikes.get(fingerprint)?.size ?? 0;
    if (lost < this.#maxTargetsLost) return Ok.EMPTY;
    return notRun("quarantined", `the content has cost ${lost} targets`, {
      retryAtWallMs: this.#clock.wallMs() + 3_600_000,
    });
  }

  strike(
    fingerprint: string,
    options: { target: string; deadlineMs: number },
  ): Promise<void> {
    const lost = this.#strikes.get(fingerprint) ?? new Set<string>();
    this.#strikes.set(fingerprint, lost.add(options.target));
    return Promise.resolve();
  }
}
