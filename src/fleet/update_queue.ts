/**
 * Updates waiting to travel along with probes. Each is sent a number of times
 * that grows with the logarithm of the member count, the new ones first.
 *
 * @module
 */

import type { MemberUpdate } from "./types.ts";

const SENDS_PER_DOUBLING = 2;

interface Pending {
  readonly update: MemberUpdate;
  readonly sizeBytes: number;
  sentCount: number;
}

/** Holds at most one update of each member. */
export class UpdateQueue {
  readonly #fresh = new Map<string, Pending>();
  readonly #sent = new Map<string, Pending>();

  /** Number of updates that still wait. */
  get size(): number {
    return this.#fresh.size + this.#sent.size;
  }

  /** Adds an update in place of an earlier one of the same member. */
  add(update: MemberUpdate): void {
    const sizeBytes = JSON.stringify(update).length + 1;
    this.#sent.delete(update.name);
    this.#fresh.delete(update.name);
    this.#fresh.set(update.name, { update, sizeBytes, sentCount: 0 });
  }

  /** Takes what fits into `maxBytes` for one message. */
  take(
    options: { readonly maxBytes: number; readonly memberCount: number },
  ): MemberUpdate[] {
    const maxSends = Math.ceil(
      SENDS_PER_DOUBLING * Math.log2(options.memberCount + 1),
    );
    const chosen: Pending[] = [];
    let roomBytes = options.maxBytes;
    for (const waiting of [this.#fresh, this.#sent]) {
      for (const pending of waiting.values()) {
        if (pending.sizeBytes > roomBytes) break;
        roomBytes -= pending.sizeBytes;
        chosen.push(pending);
      }
    }
    for (const pending of chosen) this.#requeue(pending, maxSends);
    return chosen.map((pending) => pending.update);
  }

  #requeue(pending: Pending, maxSends: number): void {
    const { name } = pending.update;
    this.#fresh.delete(name);
    this.#sent.delete(name);
    pending.sentCount += 1;
    if (pending.sentCount < maxSends) this.#sent.set(name, pending);
  }
}
