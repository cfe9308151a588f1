/**
 * Chooses the chain of each attempt of one completion: past the targets that
 * failed it, on the version it began with, and apart from other suspects.
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

/** Options of `ChainChooser`. */
export interface AttemptChainSelectorOptions {
  readonly clock: Clock;
  readonly picker: IChainPicker;
  readonly quarantine: IQuarantineService;
  readonly request: CompletionRequest;
  readonly fingerprint: string;
  readonly policy: ChainSelectionPolicy;
}

/** How long to look for a chain. */
export interface ChainSelectionPolicy {
  /** How long an answer already begun waits for a chain. */
  readonly chainWaitTimeoutMs: number;
  /** Pause between two looks for a chain. */
  readonly repickIntervalMs: number;
  /** Pause before suspected content asks again for targets of its own. */
  readonly lockRetryIntervalMs: number;
}

/** A chain to run on. */
export interface SelectedChain {
  readonly pick: ChainPick;
  /** Set for suspected content: keeps other suspects off the chain. */
  readonly lease?: Disposable;
}

/** Characters of the prompt that choose the engine with a cached prefix. */
const PREFIX_HASH_CHARACTERS = 256;
/** How long a target that a suspect held is taken to be held still. */
const HELD_TARGET_TTL_MS = 20;

/** Chooses chains for one completion. */
export class AttemptChainSelector {
  /** Targets that failed this request. */
  readonly avoid = new Set<string>();
  /** Targets that other suspects held when asked, and until when to believe it. */
  readonly #held = new Map<string, number>();
  readonly #options: AttemptChainSelectorOptions;
  #firstPick: ChainPick | undefined;

  constructor(options: AttemptChainSelectorOptions) {
    this.#options = options;
  }

  /** Chooses at once, or after a wait when the answer has begun. */
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
      return notRun("quarantined", "suspected content waits for its turn");
    }
    this.#firstPick ??= pick;
    if (isolation.kind === "unsuspected") return new Ok({ pick });
    return new Ok({ pick, lease: isolation.lease });
  }

  /** Avoids failed and taken targets where that leaves a chain. */
  #pick(): Outcome<ChainPick> {
    const { clock, picker, request } = this.#options;
    for (const [target, untilMs] of this.#held) {
      if (untilMs <= clock.nowMs()) this.#held.delete(target);
    }
    const taken = [...this.#held.keys()];
    const wanted: PickRequest = {
      pipeline: request.pipeline,
      prefixHash: hash32(request.prompt.slice(0, PREFIX_HASH_CHARACTERS)),
      avoid: new Set([...this.avoid, ...taken]),
      ...(this.#firstPick && versionOf(this.#firstPick)),
    };
    const first = picker.pick(wanted);
    const picked = first.isErr() && this.avoid.size > 0 &&
        this.#hasNoAlternative(wanted, first.error)
      ? picker.pick({ ...wanted, avoid: new Set(taken) })
      : first;
    return picked.andThen((pick) => this.#requireSameVersion(pick));
  }

  /** Whether no chain is left, full or taken for the moment, without what failed. */
  #hasNoAlternative(wanted: PickRequest, failure: Failure): boolean {
    // Going back to a lost target meanwhile would only burn tries.
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
    const message = `no chain of version ${first.version} is left`;
    return notRun("no-target", message);
  }
}

/** What a resumed answer must keep from its first chain. */
function versionOf({ model, version, adapter }: ChainPick) {
  return { model, version, adapter };
}
