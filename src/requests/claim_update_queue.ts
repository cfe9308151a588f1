/**
 * Brings releases and outcomes to the log in the background, again and again
 * until they are known to be there.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { Disposable } from "../common/lifecycle.ts";
import type { ClaimOp } from "./claim_records.ts";
import type { RoutedOutcome } from "./claim_router.ts";

/** Options of `ClaimNotes`. */
export interface ClaimUpdateQueueOptions {
  readonly clock: Clock;
  readonly submit: (
    op: ClaimOp,
    options: { deadlineMs: number },
  ) => Promise<RoutedOutcome>;
  /** How long one try may take. */
  readonly submitTimeoutMs: number;
  /** Hears the claim whose note has reached the log. */
  readonly onRecorded: (claimId: string) => void;
}

/** Notes sent at once. */
const MAX_CONCURRENT_SUBMITS = 64;
/** Pause after a try that failed, doubled up to a limit. */
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 10_000;

/** One task that sends the notes of this host's claims. */
export class ClaimUpdateQueue implements Disposable {
  readonly #options: ClaimUpdateQueueOptions;
  readonly #queued = new Map<string, ClaimOp>();
  readonly #stop = new AbortController();
  #isSending = false;

  constructor(options: ClaimUpdateQueueOptions) {
    this.#options = options;
  }

  /** Notes that have not reached the log. */
  get size(): number {
    return this.#queued.size;
  }

  dispose(): void {
    this.#stop.abort();
  }

  /** Sends a note; a claim has one at a time. */
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
      const noted = await Promise.all(batch.map((op) => this.#sendOne(op)));
      if (noted.every(Boolean)) {
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
    const {
      clock,
      submit,
      submitTimeoutMs: submitTimeoutMs,
      onRecorded: onRecorded,
    } = this.#options;
    const deadlineMs = clock.nowMs() + submitTimeoutMs;
    const { outcome: outcome } = await submit(op, { deadlineMs });
    const isNoted = outcome.kind === "noted";
    this.#queued.delete(op.claimId);
    if (isNoted) onRecorded(op.claimId);
    else this.#queued.set(op.claimId, op);
    return isNoted;
  }
}
