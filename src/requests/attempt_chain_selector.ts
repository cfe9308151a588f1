/**
 * Selects the chain of each attempt at a completion: avoids targets that failed
 * earlier attempts, keeps the model version of the first attempt, and isolates
 * suspect content.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Clock } from "../common/clock.ts";
import { hash32 } from "../common/hash.ts";
import type { Disposable } from "../common/lifecycle.ts";
import { type Failure, notRun, type Outcome } from "../common/verdict.ts";
import type {
  ChainPick,
  IChainPicker,
  PickRequest,
} from "../pipelines/services.ts";
import type { IQuarantineService } from "./services.ts";
import type { CompletionRequest } from "./types.ts";

export interface AttemptChainSelectorOptions {
  readonly clock: Clock;
  readonly picker: IChainPicker;
  readonly quarantine: IQuarantineService;
  readonly request: CompletionRequest;
  readonly fingerprint: string;
  readonly policy: ChainSelectionPolicy;
}

export interface ChainSelectionPolicy {
  /** Time for which a partial answer waits for a chain to resume on. */
  readonly chainWaitTimeoutMs: number;
  /** Interval between two picks while waiting. */
  readonly repickIntervalMs: number;
  /** Interval between two isolation requests for suspect content. */
  readonly lockRetryIntervalMs: number;
}

export interface SelectedChain {
  readonly pick: ChainPick;
  /** Isolation lease; only for suspect content. */
  readonly lease?: Disposable;
}

/** Leading characters of the prompt hashed for prefix-cache affinity. */
const PREFIX_HASH_CHARACTERS = 256;
/** Time for which a target reported as locked is assumed to stay locked. */
const HELD_TARGET_TTL_MS = 20;

export class AttemptChainSelector {
  /** Targets that failed an attempt at this request. */
  readonly avoid = new Set<string>();
  /** Targets locked by other suspect content, with the expiry of the entry. */
  readonly #held = new Map<string, number>();
  readonly #options: AttemptChainSelectorOptions;
  #firstPick: ChainPick | undefined;

  constructor(options: AttemptChainSelectorOptions) {
    this.#options = options;
  }

  /**
   * Selects a chain. Waits if none is available and the answer has begun, or if
   * the content is suspect and must wait for its locks.
   */
  async select(hasBegun: boolean): Promise<Outcome<SelectedChain>> {
    const { clock, policy, request, quarantine, fingerprint } = this.#options;
    const untilMs = clock.nowMs() + policy.chainWaitTimeoutMs;
    const waitDeadlineMs = Math.min(request.deadlineMs, untilMs);
    for (;;) {
      if (request.signal.aborted) {
        return notRun("cancelled", "the caller cancelled the request");
      }
      const admitted = quarantine.admit(fingerprint);
      if (admitted.isErr()) return admitted;
      const picked = this.#pick();
      const chosen = await this.#isolate(picked);
      if (chosen.isOk()) return chosen;
      const isSuspect = this.#held.size > 0 ||
        chosen.error.code === "quarantined";
      if (!isSuspect && !hasBegun) return chosen;
      const pauseMs = isSuspect
        ? policy.lockRetryIntervalMs
        : policy.repickIntervalMs;
      if (clock.nowMs() + pauseMs >= waitDeadlineMs) return chosen;
      await clock.sleep(pauseMs, request.signal);
    }
  }

  async #isolate(picked: Outcome<ChainPick>): Promise<Outcome<SelectedChain>> {
    if (picked.isErr()) return picked;
    const { quarantine, fingerprint, request } = this.#options;
    const pick = picked.value;
    const isolation = await quarantine.isolate(fingerprint, {
      targets: pick.chain.map((stage) => stage.target),
      deadlineMs: request.deadlineMs,
    });
    if (isolation.kind === "busy") {
      pick.dispose();
      const untilMs = this.#options.clock.nowMs() + HELD_TARGET_TTL_MS;
      for (const target of isolation.targets) this.#held.set(target, untilMs);
      return notRun(
        "quarantined",
        "targets are locked by other suspect content",
      );
    }
    this.#firstPick ??= pick;
    if (isolation.kind === "unsuspected") return new Ok({ pick });
    return new Ok({ pick, lease: isolation.lease });
  }

  /** Avoids locked targets, and failed ones if that leaves a chain. */
  #pick(): Outcome<ChainPick> {
    const { clock, picker, request } = this.#options;
    for (const [target, untilMs] of this.#held) {
      if (untilMs <= clock.nowMs()) this.#held.delete(target);
    }
    const held = [...this.#held.keys()];
    const wanted: PickRequest = {
      pipeline: request.pipeline,
      prefixHash: hash32(request.prompt.slice(0, PREFIX_HASH_CHARACTERS)),
      avoid: new Set([...this.avoid, ...held]),
      ...(this.#firstPick && versionOf(this.#firstPick)),
    };
    const first = picker.pick(wanted);
    const picked = first.isErr() && this.avoid.size > 0 &&
        this.#hasNoAlternative(wanted, first.error)
      ? picker.pick({ ...wanted, avoid: new Set(held) })
      : first;
    return picked.andThen((pick) => this.#requireSameVersion(pick));
  }

  /** Whether every chain, even a full or locked one, uses a failed target. */
  #hasNoAlternative(wanted: PickRequest, failure: Failure): boolean {
    // A retry on a lost target would only use up an attempt.
    if (failure.code !== "no-target") return false;
    if (this.#held.size === 0) return true;
    const other = this.#options.picker.pick({ ...wanted, avoid: this.avoid });
    if (other.isOk()) other.value.dispose();
    return other.isErr() && other.error.code === "no-target";
  }

  #requireSameVersion(pick: ChainPick): Outcome<ChainPick> {
    const first = this.#firstPick;
    const isSame = first === undefined ||
      (first.model === pick.model && first.version === pick.version &&
        first.adapter === pick.adapter);
    if (isSame) return new Ok(pick);
    pick.dispose();
    const message =
      `no chain serves version "${first.version}" of the first attempt`;
    return notRun("no-target", message);
  }
}

/** Properties of the first chain that a resumed answer must keep. */
function versionOf({ model, version, adapter }: ChainPick) {
  return { model, version, adapter };
}
