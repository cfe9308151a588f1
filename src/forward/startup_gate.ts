/**
 * Holds the requests that reach a host before it has confirmed its first
 * configuration. When all hosts start at the same moment, every caller is at a
 * host that needs a few hundred milliseconds more; refused, callers use up their
 * retries at hosts that are no further.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { EraTracker } from "../feeds/era_tracker.ts";

/** Longest hold; callers abandon a stream without an event after two seconds. */
const MAX_HOLD_MS = 1_000;
/**
 * Time from the start of the host after which no request is held: a host that
 * has not confirmed the configuration by then may need seconds, and refuses.
 */
const STARTUP_MS = 1_500;
/** A request is held for at most this part of the time that its caller waits. */
const MAX_HOLD_SHARE = 1 / 3;
/** More requests are refused at once; each holds some kilobytes. */
const MAX_HELD = 200;

export interface HeldRequest {
  /** Time that the caller waits, from the arrival of the request. */
  readonly waitMs: number | undefined;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

export interface StartupGateOptions {
  readonly clock: Clock;
  /**
   * After the store has come back from an older copy, no read confirms the
   * configuration until that era has settled, so no request is held.
   */
  readonly eras: Pick<EraTracker, "isSettled">;
}

export class StartupGate {
  readonly #clock: Clock;
  readonly #eras: Pick<EraTracker, "isSettled">;
  readonly #startupEndMs: number;
  readonly #opened = new AbortController();
  #held = 0;

  constructor({ clock, eras }: StartupGateOptions) {
    this.#clock = clock;
    this.#eras = eras;
    this.#startupEndMs = clock.nowMs() + STARTUP_MS;
  }

  /** Whether the first configuration has been confirmed. */
  get isOpen(): boolean {
    return this.#opened.signal.aborted;
  }

  /** Called when the configuration is confirmed; later calls have no effect. */
  open(): void {
    this.#opened.abort();
  }

  /** Resolves when the gate opens, or when the request can be held no longer. */
  async pass({ waitMs = Infinity, signal }: HeldRequest): Promise<void> {
    const startupMs = this.#startupEndMs - this.#clock.nowMs();
    const mayHold = !this.isOpen && startupMs > 0 && this.#held < MAX_HELD &&
      this.#eras.isSettled;
    if (!mayHold || signal.aborted) return;
    this.#held++;
    try {
      await this.#clock.sleep(
        Math.min(MAX_HOLD_MS, waitMs * MAX_HOLD_SHARE, startupMs),
        AbortSignal.any([signal, this.#opened.signal]),
      );
    } finally {
      this.#held--;
    }
  }
}
