/**
 * Holds the requests that reach a host before it has confirmed its first
 * configuration. When all hosts start at the same moment, every caller is at a
 * host that needs a few hundred milliseconds more; refused, callers use up their
 * retries at hosts that are no further.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/**
 * Longest hold. Hosts confirm the configuration within a second of their start,
 * and callers abandon a stream without an event after two.
 */
const MAX_HOLD_MS = 1_000;
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

export class StartupGate {
  readonly #clock: Clock;
  readonly #opened = new AbortController();
  #held = 0;

  constructor({ clock }: { readonly clock: Clock }) {
    this.#clock = clock;
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
    if (this.isOpen || signal.aborted || this.#held >= MAX_HELD) return;
    this.#held++;
    try {
      await this.#clock.sleep(
        Math.min(MAX_HOLD_MS, waitMs * MAX_HOLD_SHARE),
        AbortSignal.any([signal, this.#opened.signal]),
      );
    } finally {
      this.#held--;
    }
  }
}
