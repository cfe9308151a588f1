/**
 * Takes over the allocations of the previous owner when this host becomes the
 * owner of a partition, so that shares can grow at once after a host has
 * joined. If the previous owner has left or does not know all allocations, the
 * new one waits until every client has sent a request.
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
/**
 * Above this number the reply is too large, and the new owner waits instead.
 */
const MAX_ALLOCATIONS = 5_000;

export interface LimitHandoverOptions {
  readonly transport: IPeerTransport;
  readonly clock: Clock;
  readonly owners: LimitOwners;
  readonly allocator: LimitAllocator;
  /** Time within which each client has sent a request to a new owner. */
  readonly settleMs: () => number;
}

/** Requests allocations from the previous owner and hands over its own. */
export class LimitHandover implements Disposable {
  readonly #options: LimitHandoverOptions;
  readonly #owned = new DisposableStore();
  /** Requests, pending or finished, for the partitions that this host owns. */
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

  /** Resolves when the previous owner has replied or the call has failed. */
  async ensureTakenOver(partition: number): Promise<void> {
    const { owners, allocator } = this.#options;
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
    const { transport, clock, owners, allocator } = this.#options;
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
    const { allocator } = this.#options;
    if (!this.#hasCompleteState(partition)) return {};
    const allocations = allocator.handOver(partition);
    return allocations.length > MAX_ALLOCATIONS ? {} : { loans: allocations };
  }

  /** True for a settled owner, and for one that was settled until recently. */
  #hasCompleteState(partition: number): boolean {
    const { clock, owners, allocator, settleMs } = this.#options;
    if (allocator.isSettled(partition)) return true;
    const lost = owners.lostOwnership(partition);
    if (lost === undefined) return false;
    const isRecent = clock.nowMs() - lost.atMs < settleMs();
    return isRecent && lost.ownedForMs >= settleMs();
  }
}
