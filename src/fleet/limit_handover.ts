/**
 * Takes over what the home before lent when this host becomes home of a
 * partition, so that shares can grow at once also after a host has joined.
 * Where the home before is gone or knows too little, the new one waits until
 * every borrower has asked it.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { LimitOwners } from "./limit_owners.ts";
import type { LimitAllocator } from "./limit_allocator.ts";
import type { IPeerTransport } from "./services.ts";
import type { HandoverResponse } from "./types.ts";

const HANDOVER_METHOD = "limits.handover";
const CALL_TIMEOUT_MS = 200;
/** Past so many loans the answer is too large, and the new home waits instead. */
const MAX_ALLOCATIONS = 5_000;

/** Collaborators of a {@link LimitHandover}. */
export interface LimitHandoverOptions {
  readonly transport: IPeerTransport;
  readonly clock: Clock;
  readonly owners: LimitOwners;
  readonly allocator: LimitAllocator;
  /** Time in which each borrower has asked a new home. */
  readonly settleMs: () => number;
}

/** Asks for and gives what was lent. */
export class LimitHandover implements Disposable {
  readonly #options: LimitHandoverOptions;
  readonly #owned = new DisposableStore();
  /** Calls under way or answered, by partition, since this host is its home. */
  readonly #requests = new Map<number, Promise<void>>();

  constructor(options: LimitHandoverOptions) {
    this.#options = options;
    const { transport } = options;
    this.#owned.add(
      transport.handle(
        HANDOVER_METHOD,
        (parameters) =>
          this.#handleRequest(parameters as { partition: number }),
      ),
    );
  }

  /** Resolves when the home before has answered, or did not in time. */
  async ensureTakenOver(partition: number): Promise<void> {
    const { owners: owners, allocator: allocator } = this.#options;
    if (owners.ownedForMs(partition) === 0) {
      this.#requests.delete(partition);
      return;
    }
    if (allocator.isSettled(partition)) return;
    let request = this.#requests.get(partition);
    if (request === undefined) {
      request = this.#requestAllocations(partition);
      this.#requests.set(partition, request);
    }
    await request;
  }

  dispose(): void {
    this.#owned.dispose();
  }

  async #requestAllocations(partition: number): Promise<void> {
    const { transport, clock, owners: owners, allocator: allocator } =
      this.#options;
    const previousOwner = owners.ownerWithoutSelf(partition);
    if (previousOwner === undefined) return;
    const outcome = await transport.call(
      previousOwner.url,
      { method: HANDOVER_METHOD, parameters: { partition } },
      { deadlineMs: clock.nowMs() + CALL_TIMEOUT_MS },
    );
    if (outcome.isErr()) return;
    const { loans } = outcome.value as HandoverResponse;
    if (loans !== undefined) allocator.takeOver(partition, loans);
  }

  #handleRequest(
    { partition }: { readonly partition: number },
  ): HandoverResponse {
    const { allocator: allocator } = this.#options;
    if (!this.#hasCompleteState(partition)) return {};
    const loans = allocator.handOver(partition);
    return loans.length > MAX_ALLOCATIONS ? {} : { loans };
  }

  /** True for a settled home, and for one that lost a settled home just now. */
  #hasCompleteState(partition: number): boolean {
    const { clock, owners: owners, allocator: allocator, settleMs } =
      this.#options;
    if (allocator.isSettled(partition)) return true;
    const lost = owners.lostOwnership(partition);
    if (lost === undefined) return false;
    const isRecent = clock.nowMs() - lost.atMs < settleMs();
    return isRecent && lost.ownedForMs >= settleMs();
  }
}
