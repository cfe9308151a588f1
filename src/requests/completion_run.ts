/**
 * One completion from its first attempt to its end: picks chains, resumes at
 * the next token when a chain is lost, and gives up with the verdict on all
 * attempts.
 *
 * @module
 */

import { Err, Ok } from "ts-results-es";
import type { Clock } from "../common/clock.ts";
import type { Disposable } from "../common/lifecycle.ts";
import type { Failure, Outcome } from "../common/verdict.ts";
import type { ChainPick, IChainPicker } from "../pipelines/services.ts";
import type { IEngineClient } from "../clients/services.ts";
import type { ChainStage, EngineToken } from "../clients/types.ts";
import { failureForCaller } from "./caller_failure.ts";
import {
  AttemptChainSelector,
  type ChainSelectionPolicy,
  type SelectedChain,
} from "./attempt_chain_selector.ts";
import {
  type AttemptEnd,
  type AttemptFault,
  CompletionAttempt,
} from "./completion_attempt.ts";
import { probeChain, type ProbeResult } from "./loss_probe.ts";
import type { RetryBudget } from "./retry_budget.ts";
import type { IQuarantineService, IRequestJournal } from "./services.ts";
import type {
  AnswerListener,
  CompletionEnd,
  CompletionRequest,
} from "./types.ts";
import { VerdictTally } from "./verdict_tally.ts";

/** Options of `CompletionRun`. */
export interface CompletionRunOptions {
  readonly clock: Clock;
  readonly picker: IChainPicker;
  readonly engines: IEngineClient;
  readonly journal: IRequestJournal;
  readonly quarantine: IQuarantineService;
  readonly retryBudget: RetryBudget;
  readonly newId: () => string;
  readonly policy: CompletionPolicy;
  readonly request: CompletionRequest;
  readonly onTokens: AnswerListener;
  readonly fingerprint: string;
  readonly priority: number;
  readonly cacheScope: string;
}

/** Bounds on the work spent on one completion. */
export interface CompletionPolicy extends ChainSelectionPolicy {
  readonly maxAttempts: number;
  /** How long an engine of a broken chain may take to show that it lives. */
  readonly probeTimeoutMs: number;
  /** The same for a chain that stalled; a late answer costs only a detour. */
  readonly stallProbeTimeoutMs: number;
  /** When to tell a caller to come back after a failure without a better time. */
  readonly defaultRetryAfterMs: number;
}

/** Tokens past the point of a loss after which content is cleared of it. */
const CLEAR_AFTER_TOKENS = 2;

type FailedAttempt = Extract<AttemptEnd, { kind: "failed" }>;

/** Runs one completion; `run` is called once. */
export class CompletionRun {
  readonly #options: CompletionRunOptions;
  readonly #generated: number[] = [];
  readonly #selector: AttemptChainSelector;
  readonly #tally = new VerdictTally();
  #attemptCount = 0;
  #attemptStartedMs = 0;
  /** Whether the attempt runs apart from other suspects. */
  #isAlone = false;

  constructor(options: CompletionRunOptions) {
    this.#options = options;
    this.#selector = new AttemptChainSelector(options);
  }

  /** Resolves with the whole answer's end or the honest failure. */
  async run(): Promise<Outcome<CompletionEnd>> {
    for (;;) {
      const chosen = await this.#selector.select(this.#generated.length > 0);
      if (chosen.isErr()) return this.#fail(chosen.error);
      const ended = await this.#attempt(chosen.value);
      if (ended.kind === "whole") return this.#succeed(ended);
      this.#tally.note(ended.failure.verdict);
      const refusal = this.#terminalFailure(ended);
      if (refusal !== undefined) return this.#fail(refusal);
    }
  }

  async #attempt({ pick, lease }: SelectedChain): Promise<AttemptEnd> {
    const { newId, request, journal } = this.#options;
    this.#attemptCount += 1;
    this.#attemptStartedMs = this.#options.clock.nowMs();
    this.#isAlone = lease !== undefined;
    const attemptId = newId();
    const clearedAt = this.#generated.length + CLEAR_AFTER_TOKENS;
    const attempt = new CompletionAttempt({
      ...this.#options,
      pick,
      attemptId,
      generated: [...this.#generated],
      release: (tokens) => {
        this.#release(tokens);
        const isPast = this.#generated.length >= clearedAt;
        if (lease && this.#isAlone && isPast) this.#endIsolation(lease);
      },
    });
    journal.note(request.requestId, "attempt", {
      attemptId,
      chain: pick.chain.map((stage) => stage.target),
      fromIndex: this.#generated.length,
    });
    const ended = await attempt.run();
    const settled = await this.#handleEnd(attempt, pick, ended);
    if (settled.kind === "failed") attempt.abort();
    else if (lease) this.#endIsolation(lease);
    lease?.dispose();
    pick.dispose();
    return settled;
  }

  /** Ends the isolation of content that ran past the point of its loss. */
  #endIsolation(lease: Disposable): void {
    this.#isAlone = false;
    this.#options.quarantine.clearSuspicion(this.#options.fingerprint);
    lease.dispose();
  }

  /** Learns from a failed attempt, and listens again where that is enough. */
  async #handleEnd(
    attempt: CompletionAttempt,
    pick: ChainPick,
    ended: AttemptEnd,
  ): Promise<AttemptEnd> {
    if (ended.kind === "whole") {
      const { load } = ended.end;
      if (load) this.#options.picker.reportLoad(pick.chain[0].target, load);
      return ended;
    }
    this.#recordFailure(ended.fault, ended.failure);
    switch (ended.fault) {
      case "connect":
        this.#report([pick.chain[0].target], "connect");
        return ended;
      case "broken":
        return await this.#handleBrokenStream(attempt, pick, ended);
      case "stalled":
        attempt.abort();
        await this.#probeStalledChain(pick.chain);
        return ended;
      case "stale-generation":
        await this.#probeChangedChain(pick.chain, ended.failure.target);
        return ended;
      case "refused":
        this.#selector.avoid.add(ended.failure.target ?? pick.chain[0].target);
        return ended;
      case "bad-answer":
        attempt.abort();
        await this.#probeChangedChain(pick.chain);
        return ended;
      case "given-up":
        return ended;
    }
  }

  async #handleBrokenStream(
    attempt: CompletionAttempt,
    pick: ChainPick,
    ended: FailedAttempt,
  ): Promise<AttemptEnd> {
    const found = await this.#probe(pick.chain);
    this.#report(found.lost, "broken");
    this.#report(found.silent, "stalled");
    this.#report(found.changed, "stale-generation");
    await this.#strike(pick.chain, found.lost);
    const isIntact = found.lost.length + found.silent.length +
        found.changed.length === 0;
    const { code, target } = ended.failure;
    if (target !== undefined) this.#selector.avoid.add(target);
    if (!isIntact || code !== "connection-failed") return ended;
    const again = await attempt.reattach();
    if (again.kind === "whole") return again;
    this.#recordFailure(again.fault, again.failure);
    this.#selector.avoid.add(pick.chain[0].target);
    return again.fault === "given-up" ? again : ended;
  }

  /** Names the silent engines of a stalled chain; a slow link has none. */
  async #probeStalledChain(chain: readonly ChainStage[]): Promise<void> {
    const { stallProbeTimeoutMs: stallProbeTimeoutMs } = this.#options.policy;
    const found = await this.#probe(chain, stallProbeTimeoutMs);
    this.#report([...found.lost, ...found.silent], "stalled");
    await this.#strike(chain, found.lost);
    if (found.lost.length + found.silent.length > 0) return;
    for (const stage of chain) this.#selector.avoid.add(stage.target);
  }

  /** Names the engines that changed since the chain was planned. */
  async #probeChangedChain(
    chain: readonly ChainStage[],
    named?: string,
  ): Promise<void> {
    if (named !== undefined) return this.#report([named], "stale-generation");
    const found = await this.#probe(chain);
    this.#report(found.changed, "stale-generation");
    this.#report(found.silent, "stalled");
    this.#report(found.lost, "connect");
    if (found.changed.length > 0) return;
    for (const stage of chain) this.#selector.avoid.add(stage.target);
  }

  #probe(
    chain: readonly ChainStage[],
    withinMs = this.#options.policy.probeTimeoutMs,
  ): Promise<ProbeResult> {
    const { clock, engines } = this.#options;
    return probeChain(chain, { clock, engines, timeoutMs: withinMs });
  }

  #report(
    targets: readonly string[],
    kind: Parameters<IChainPicker["reportFailure"]>[1],
  ): void {
    for (const target of targets) {
      this.#selector.avoid.add(target);
      this.#options.picker.reportFailure(target, kind);
    }
  }

  async #strike(
    chain: readonly ChainStage[],
    lost: readonly string[],
  ): Promise<void> {
    const { quarantine, fingerprint, request } = this.#options;
    const { deadlineMs } = request;
    await Promise.all(
      chain.filter((stage) => lost.includes(stage.target)).map((stage) =>
        quarantine.strike(fingerprint, {
          stage,
          startedMs: this.#attemptStartedMs,
          isAlone: this.#isAlone,
          deadlineMs,
        })
      ),
    );
  }

  #release(tokens: readonly EngineToken[]): void {
    for (const token of tokens) this.#generated.push(token.id);
    this.#options.onTokens(
      tokens.map(({ index, id, text }) => ({ index, id, text })),
    );
  }

  /** Returns the failure to give up with, or undefined for another attempt. */
  #terminalFailure(
    ended: FailedAttempt,
  ): Failure | undefined {
    const { clock, policy, request, retryBudget } = this.#options;
    const isFinal = ended.fault === "given-up" ||
      request.signal.aborted ||
      clock.nowMs() >= request.deadlineMs ||
      this.#attemptCount >= policy.maxAttempts ||
      !retryBudget.tryConsumeRetry();
    return isFinal ? ended.failure : undefined;
  }

  #recordFailure(fault: AttemptFault, failure: Failure): void {
    const { journal, request } = this.#options;
    journal.note(request.requestId, "attempt-failed", {
      fault,
      code: failure.code,
      message: failure.message,
    });
  }

  #succeed(
    ended: Extract<AttemptEnd, { kind: "whole" }>,
  ): Outcome<CompletionEnd> {
    const { journal, request } = this.#options;
    const end = {
      tokenCount: ended.end.tokenCount,
      reason: ended.end.reason,
      attemptCount: this.#attemptCount,
    };
    journal.note(request.requestId, "complete", end);
    return new Ok(end);
  }

  #fail(failure: Failure): Outcome<CompletionEnd> {
    const { clock, journal, policy, request } = this.#options;
    const { defaultRetryAfterMs: defaultRetryAfterMs } = policy;
    const combined = this.#tally.combine(failure);
    const final = failureForCaller(combined, {
      clock,
      defaultRetryAfterMs: defaultRetryAfterMs,
    });
    journal.note(request.requestId, "given-up", {
      verdict: final.verdict,
      code: final.code,
    });
    return new Err(final);
  }
}
