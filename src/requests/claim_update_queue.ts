/**
 * Submits releases and outcomes of claims to the log in the background, with
 * retries until the log confirms them.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { Disposable } from "../common/lifecycle.ts";
import type { ClaimOp } from "./claim_records.ts";
import type { RoutedOutcome } from "./claim_router.ts";

export interface ClaimUpdateQueueOptions {
  readonly clock: Clock;
  readonly submit: (
    op: ClaimOp,
    options: { deadlineMs: number },
  ) => Promise<RoutedOutcome>;
  /** Time-out of one submission. */
  readonly submitTimeoutMs: number;
  /** Called with the claim id when its update is in the log. */
  readonly onRecorded: (claimId: string) => void;
}

const MAX_CONCURRENT_SUBMITS = 64;
/** Pause after a failed submission, doubled up to `MAX_BACKOFF_MS`. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 10_000;

/** Queue of the updates to this host's claims, with one background sender. */
export class ClaimUpdateQueue implements Disposable {
  readonly #options: ClaimUpdateQueueOptions;
  readonly #queued = new Map<string, ClaimOp>();
  readonly #stop = new AbortController();
  #isSending = false;

  constructor(options: ClaimUpdateQueueOptions) {
    this.#options = options;
  }

  /** Number of updates that are not in the log yet. */
  get size(): number {
    return this.#queued.size;
  }

  dispose(): void {
    this.#stop.abort();
  }

  /** Queues an update; replaces one already queued for the same claim. */
  enqueue(op: ClaimOp): void {
    this.#queued.set(op.claimId, op);
    if (!this.#isSending) void this.#sendAll();
  }

  async #sendAll(): Promise<void> {
    const { signal } = this.#stop;
    this.#isSending = true;
    let pauseMs = 0;
    while (this.#queued.size > 0 && !signal.aborted) {
      const batch = [...this.#queued.values()].slice(0, MAX_CONCURRENT_SUBMITS);
      const recorded = await Promise.all(batch.map((op) => this.#sendOne(op)));
      if (recorded.every(Boolean)) {
        pauseMs = 0;
        continue;
      }
      pauseMs = Math.min(
        MAX_BACKOFF_MS,
        Math.max(INITIAL_BACKOFF_MS, pauseMs * 2),
      );
      await this.#options.clock.sleep(pauseMs, signal);
    }
    this.#isSending = false;
  }

  async #sendOne(op: ClaimOp): Promise<boolean> {
    const { clock, submit, submitTimeoutMs, onRecorded } = this.#options;
    const deadlineMs = clock.nowMs() + submitTimeoutMs;
    const { outcome } = await submit(op, { deadlineMs });
    const isRecorded = outcome.kind === "noted";
    this.#queued.delete(op.claimId);
    if (isRecorded) onRecorded(op.claimId);
    else this.#queued.set(op.claimId, op);
    return isRecorded;
  }
}
