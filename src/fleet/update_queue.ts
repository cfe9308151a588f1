/**
 * Updates waiting to travel along with probes. Each is sent a number of times
 * that grows with the logarithm of the member count, the new ones first.
 *
 * @module
 */

import type { MemberUpdate } from "./types.ts";

const SENDS_PER_LOG2_MEMBERS = 2;

interface PendingUpdate {
  readonly update: MemberUpdate;
  readonly sizeBytes: number;
  sentCount: number;
}

/** Holds at most one update of each member. */
export class UpdateQueue {
  readonly #unsent = new Map<string, PendingUpdate>();
  readonly #sent = new Map<string, PendingUpdate>();

  /** Number of updates that still wait. */
  get size(): number {
    return this.#unsent.size + this.#sent.size;
  }

  /** Adds an update in place of an earlier one of the same member. */
  add(update: MemberUpdate): void {
    const sizeBytes = JSON.stringify(update).length + 1;
    this.#sent.delete(update.name);
    this.#unsent.delete(update.name);
    this.#unsent.set(update.name, { update, sizeBytes, sentCount: 0 });
  }

  /** Takes what fits into `maxBytes` for one message. */
  takeForMessage(
    options: { readonly maxBytes: number; readonly memberCount: number },
  ): MemberUpdate[] {
    const maxSends = Math.ceil(
      SENDS_PER_LOG2_MEMBERS * Math.log2(options.memberCount + 1),
    );
    const selected: PendingUpdate[] = [];
    let remainingBytes = options.maxBytes;
    for (const queue of [this.#unsent, this.#sent]) {
      for (const pending of queue.values()) {
        if (pending.sizeBytes > remainingBytes) break;
        remainingBytes -= pending.sizeBytes;
        selected.push(pending);
      }
    }
    for (const pending of selected) this.#requeue(pending, maxSends);
    return selected.map((pending) => pending.update);
  }

  #requeue(pending: PendingUpdate, maxSends: number): void {
    const { name } = pending.update;
    this.#unsent.delete(name);
    this.#sent.delete(name);
    pending.sentCount += 1;
    if (pending.sentCount < maxSends) this.#sent.set(name, pending);
  }
}
