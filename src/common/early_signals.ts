/**
 * Handles signals from before a program is ready for them. The runtime ends a
 * process at the first signal without a handler, so an entry point creates this
 * before it imports the program itself.
 *
 * @module
 */

import type { EventEmitter } from "node:events";

const STOP_SIGNALS = ["SIGINT", "SIGTERM"] as const;
const RELOAD_SIGNAL = "SIGHUP";

export type StopSignal = (typeof STOP_SIGNALS)[number];

export interface EarlySignalsOptions {
  /** Emits the signals of `process`. */
  readonly source: Pick<EventEmitter, "on" | "off">;
  /** Called once, for the first signal that asks the process to end. */
  readonly onStop: (signal: StopSignal) => void;
}

export class EarlySignals {
  readonly #options: EarlySignalsOptions;
  #isReloadPending = false;
  #isStopping = false;

  constructor(options: EarlySignalsOptions) {
    this.#options = options;
    for (const name of STOP_SIGNALS) options.source.on(name, this.#stop);
    // Last, so that who sees SIGHUP caught knows that the others are too.
    options.source.on(RELOAD_SIGNAL, this.#reload);
  }

  /**
   * Resolves when the signals that came so far, also while a module was being
   * evaluated, have been handled.
   */
  async settle(): Promise<void> {
    // The first may come in the turn that read the events before these signals.
    for (let turn = 0; turn < 2; turn++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  /**
   * Removes the handlers; the caller has installed its own before, as otherwise
   * the next signal would end the process. Returns whether a reload was asked for.
   */
  release(): boolean {
    const { source } = this.#options;
    for (const name of STOP_SIGNALS) source.off(name, this.#stop);
    source.off(RELOAD_SIGNAL, this.#reload);
    return this.#isReloadPending;
  }

  readonly #reload = (): void => {
    this.#isReloadPending = true;
  };

  readonly #stop = (signal: StopSignal): void => {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#options.onStop(signal);
  };
}
