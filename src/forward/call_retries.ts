/**
 * Retries of one call that may wait for a path before they are sent. The budget
 * limits arrivals at targets, so a retry is acquired when it is sent.
 *
 * @module
 */

import { type CallContext, tryAcquireRetry } from "./context.ts";

export interface CallRetriesOptions {
  readonly context: Pick<CallContext, "budgetOf" | "metrics">;
  readonly service: string;
}

export class CallRetries {
  readonly #options: CallRetriesOptions;
  #isDue = false;

  constructor(options: CallRetriesOptions) {
    this.#options = options;
  }

  /**
   * Records a failed send. Returns whether the budget has a retry now; a send
   * that did not reach its target needs none.
   */
  recordFailure({ wasSent }: { readonly wasSent: boolean }): boolean {
    if (!wasSent) return true;
    const { context, service } = this.#options;
    this.#isDue = true;
    if (context.budgetOf(service).hasRetry()) return true;
    context.metrics.count("jackdawshift_repeats_denied_total", { service });
    return false;
  }

  /** Acquires the retry that is sent now, if one is due. */
  tryBeginSend(): boolean {
    if (!this.#isDue) return true;
    const { context, service } = this.#options;
    this.#isDue = false;
    return tryAcquireRetry(context, service);
  }
}
