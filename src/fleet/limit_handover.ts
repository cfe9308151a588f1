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
import type { LimitHomes } from "./limit_homes.ts";
import type { LimitLender } from "./limit_lender.ts";
import type { IPeerTransport } from "./services.ts";
import type { HandOverAnswer } from "./types.ts";

const METHOD = "limits.handover";
const CALL_TIMEOUT_MS = 200;
/** Past so many loans the answer is too large, and the new home waits instead. */
const MAX_LOANS = 5_000;

/** Collaborators of a {@link LimitHandover}. */
export interface LimitHandoverOptions {
  readonly transport: IPeerTransport;
  readonly clock: Clock;
  readonly homes: LimitHomes;
  readonly lender: LimitLender;
  /** Time in which each borrower has asked a new home. */
  readonly settleMs: () => number;
}

/** Asks for and gives what was lent. */
export class LimitHandover implements Disposable {
  readonly #options: LimitHandoverOptions;
  readonly #owned = new DisposableStore();
  /** Calls under way or answered, by partition, since this host is its home. */
  readonly #asked = new Map<number, Promise<void>>();

  constructor(options: LimitHandoverOptions) {
    this.#options = options;
    const { transport } = options;
    this.#owned.add(
      transport.handle(
        METHOD,
        (parameters) => this.#give(parameters as { partition: number }),
      ),
    );
  }

  /** Resolves when the home before has answered, or did not in time. */
  async ensure(partition: number): Promise<void> {
    const { homes, lender } = this.#options;
    if (homes.homeForMs(partition) === 0) {
      this.#asked.delete(partition);
      return;
    }
    if (lender.isSettled(partition)) return;
    let asked = this.#asked.get(partition);
    if (asked === undefined) {
      asked = this.#ask(partition);
      this.#asked.set(partition, asked);
    }
    await asked;
  }

  dispose(): void {
    this.#owned.dispose();
  }

  async #ask(partition: number): Promise<void> {
    const { transport, clock, homes, lender } = this.#options;
    const before = homes.otherHomeOf(partition);
    if (before === undefined) return;
    const outcome = await transport.call(
      before.url,
      { method: METHOD, parameters: { partition } },
      { deadlineMs: clock.nowMs() + CALL_TIMEOUT_MS },
    );
    if (outcome.isErr()) return;
    const { loans } = outcome.value as HandOverAnswer;
    if (loans !== undefined) lender.takeOver(partition, loans);
  }

  #give({ partition }: { readonly partition: number }): HandOverAnswer {
    const { lender } = this.#options;
    if (!this.#knowsAll(partition)) return {};
    const loans = lender.handOver(partition);
    return loans.length > MAX_LOANS ? {} : { loans };
  }

  /** True for a settled home, and for one that lost a settled home just now. */
  #knowsAll(partition: number): boolean {
    const { clock, homes, lender, settleMs } = this.#options;
    if (lender.isSettled(partition)) return true;
    const lost = homes.lostHome(partition);
    if (lost === undefined) return false;
    const isRecent = clock.nowMs() - lost.atMs < settleMs();
    return isRecent && lost.homeForMs >= settleMs();
  }
}
