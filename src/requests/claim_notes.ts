/**
 * Brings releases and outcomes to the log in the background, again and again
 * until they are known to be there.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { Disposable } from "../common/lifecycle.ts";
import type { ClaimOp } from "./claim_records.ts";
import type { RoutedFate } from "./claim_router.ts";

/** Options of `ClaimNotes`. */
export interface ClaimNotesOptions {
  readonly clock: Clock;
  readonly submit: (
    op: ClaimOp,
    options: { deadlineMs: number },
  ) => Promise<RoutedFate>;
  /** How long one try may take. */
  readonly withinMs: number;
  /** Hears the claim whose note has reached the log. */
  readonly onNoted: (claimId: string) => void;
}

/** Notes sent at once. */
const BATCH = 64;
/** Pause after a try that failed, doubled up to a limit. */
const FIRST_PAUSE_MS = 250;
const LAST_PAUSE_MS = 10_000;

/** One task that sends the notes of this host's claims. */
export class ClaimNotes implements Disposable {
  readonly #options: ClaimNotesOptions;
  readonly #waiting = new Map<string, ClaimOp>();
  readonly #stop = new AbortController();
  #isSending = false;

  constructor(options: ClaimNotesOptions) {
    this.#options = options;
  }

  /** Notes that have not reached the log. */
  get size(): number {
    return this.#waiting.size;
  }

  dispose(): void {
    this.#stop.abort();
  }

  /** Sends a note; a claim has one at a time. */
  send(op: ClaimOp): void {
    this.#waiting.set(op.claimId, op);
    if (!this.#isSending) void this.#sendAll();
  }

  async #sendAll(): Promise<void> {
    const { signal } = this.#stop;
    this.#isSending = true;
    let pauseMs = 0;
    while (this.#waiting.size > 0 && !signal.aborted) {
      const batch = [...this.#waiting.values()].slice(0, BATCH);
      const noted = await Promise.all(batch.map((op) => this.#sendOne(op)));
      if (noted.every(Boolean)) {
        pauseMs = 0;
        continue;
      }
      pauseMs = Math.min(LAST_PAUSE_MS, Math.max(FIRST_PAUSE_MS, pauseMs * 2));
      await this.#options.clock.sleep(pauseMs, signal);
    }
    this.#isSending = false;
  }

  async #sendOne(op: ClaimOp): Promise<boolean> {
    const { clock, submit, withinMs, onNoted } = this.#options;
    const deadlineMs = clock.nowMs() + withinMs;
    const { fate } = await submit(op, { deadlineMs });
    const isNoted = fate.kind === "noted";
    this.#waiting.delete(op.claimId);
    if (isNoted) onNoted(op.claimId);
    else this.#waiting.set(op.claimId, op);
    return isNoted;
  }
}
