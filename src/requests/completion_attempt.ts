/**
 * One attempt at a completion: one generation on one chain, watched for
 * progress and checked token by token.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { type Failure, mayHaveRun, type Outcome } from "../common/verdict.ts";
import type { ChainPick, IChainPicker } from "../pipelines/services.ts";
import type { IEngineClient, TokenListener } from "../clients/services.ts";
import {
  chainSignature,
  type EngineEnd,
  type EngineToken,
} from "../clients/types.ts";
import { deferred } from "../common/deferred.ts";
import { TokenValidator } from "./token_validator.ts";
import type { CompletionRequest } from "./types.ts";

/** How an attempt failed, as far as it decides what to do next. */
export type AttemptFault =
  | "connect"
  | "broken"
  | "refused"
  | "stalled"
  | "stale-generation"
  | "bad-answer"
  | "given-up";

/** The end of an attempt. */
export type AttemptEnd =
  | { readonly kind: "whole"; readonly end: EngineEnd }
  | {
    readonly kind: "failed";
    readonly fault: AttemptFault;
    readonly failure: Failure;
  };

/** Options of `CompletionAttempt`. */
export interface CompletionAttemptOptions {
  readonly clock: Clock;
  readonly engines: IEngineClient;
  readonly picker: IChainPicker;
  readonly request: CompletionRequest;
  readonly pick: ChainPick;
  readonly attemptId: string;
  readonly priority: number;
  readonly cacheScope: string;
  /** Identifiers of the tokens released so far. */
  readonly generated: readonly number[];
  /** Receives tokens that passed every check. */
  readonly release: (tokens: readonly EngineToken[]) => void;
}

/** Time that a cancel order may take. */
const CANCEL_TIMEOUT_MS = 1_000;

type OpenStream = (
  options: {
    deadlineMs: number;
    signal: AbortSignal;
    onTokens: TokenListener;
  },
) => Promise<Outcome<EngineEnd>>;

/** Runs one attempt; `run` first, then `reattach` any number of times. */
export class CompletionAttempt {
  readonly #options: CompletionAttemptOptions;
  readonly #validator: TokenValidator;
  #lastProgressMs: number;
  #hasProgress = false;

  constructor(options: CompletionAttemptOptions) {
    this.#options = options;
    this.#lastProgressMs = options.clock.nowMs();
    this.#validator = new TokenValidator({
      attemptId: options.attemptId,
      signature: chainSignature(options.pick.chain),
      fromIndex: options.generated.length,
      maxTokens: options.request.maxTokens,
    });
  }

  /** Starts the generation and listens to its end. */
  run(): Promise<AttemptEnd> {
    const { engines, pick } = this.#options;
    return this.#consumeStream((options) =>
      engines.generate(pick.chain[0].url, this.#generateRequest(), options)
    );
  }

  /** Listens again after the connection broke, at the next token. */
  reattach(): Promise<AttemptEnd> {
    const { engines, pick, attemptId } = this.#options;
    const attempt = { attemptId, fromIndex: this.#validator.nextIndex };
    return this.#consumeStream((options) =>
      engines.reattach(pick.chain[0].url, attempt, options)
    );
  }

  /** Cuts the attempt off for good and tells its engines, without waiting. */
  abort(): void {
    const { clock, engines, pick, attemptId } = this.#options;
    this.#validator.close();
    const deadlineMs = clock.nowMs() + CANCEL_TIMEOUT_MS;
    for (const stage of pick.chain) {
      void engines.cancel(stage.url, attemptId, { deadlineMs });
    }
  }

  #generateRequest() {
    const { clock, request, pick } = this.#options;
    return {
      attemptId: this.#options.attemptId,
      requestId: request.requestId,
      model: pick.model,
      version: pick.version,
      adapter: pick.adapter,
      chain: pick.chain,
      prompt: request.prompt,
      generated: this.#options.generated,
      maxTokens: request.maxTokens,
      priority: this.#options.priority,
      deadlineWallMs: clock.wallMs() + request.deadlineMs - clock.nowMs(),
      cacheScope: this.#options.cacheScope,
    };
  }

  async #consumeStream(listen: OpenStream): Promise<AttemptEnd> {
    const { clock, request } = this.#options;
    const stop = new AbortController();
    const interrupted = deferred<AttemptEnd>();
    const onAbort = () => interrupted.resolve(cancelled());
    request.signal.addEventListener("abort", onAbort, { once: true });
    if (request.signal.aborted) onAbort();
    this.#lastProgressMs = clock.nowMs();
    const isOver = () => stop.signal.aborted;
    const onTokens = (tokens: readonly EngineToken[]) => {
      if (isOver()) return;
      this.#receive(tokens);
      const fault = this.#validator.fault;
      if (fault !== undefined) interrupted.resolve(badAnswer(fault));
    };
    const streamEnd = listen({
      deadlineMs: request.deadlineMs,
      signal: stop.signal,
      onTokens,
    }).then((outcome) => this.#evaluate(outcome));
    const ended = await Promise.race([
      interrupted.promise,
      streamEnd,
      this.#watchProgress(stop.signal),
    ]);
    stop.abort();
    request.signal.removeEventListener("abort", onAbort);
    return ended;
  }

  #receive(tokens: readonly EngineToken[]): void {
    const { clock, picker, pick, release } = this.#options;
    const passed = this.#validator.accept(tokens);
    if (passed.length === 0) return;
    const nowMs = clock.nowMs();
    picker.reportProgress(pick.chain, {
      phase: this.#phase,
      gapMs: nowMs - this.#lastProgressMs,
    });
    this.#lastProgressMs = nowMs;
    this.#hasProgress = true;
    release(passed);
  }

  get #phase(): "prefill" | "decode" {
    return this.#hasProgress ? "decode" : "prefill";
  }

  /** Resolves when the next token, or the deadline of the request, is overdue. */
  async #watchProgress(signal: AbortSignal): Promise<AttemptEnd> {
    const { clock, picker, pick, request } = this.#options;
    while (!signal.aborted) {
      const withinMs = picker.progressWithinMs(pick.chain, this.#phase);
      const dueMs = this.#lastProgressMs + withinMs;
      const nowMs = clock.nowMs();
      if (nowMs >= request.deadlineMs) return deadlinePassed();
      if (nowMs >= dueMs) return stalled(nowMs - this.#lastProgressMs);
      await clock.sleep(Math.min(dueMs, request.deadlineMs) - nowMs, signal);
    }
    return cancelled();
  }

  #evaluate(outcome: Outcome<EngineEnd>): AttemptEnd {
    if (outcome.isErr()) return failed(faultOf(outcome.error), outcome.error);
    const end = outcome.value;
    const fault = this.#findEndFault(end);
    return fault === undefined ? { kind: "whole", end } : badAnswer(fault);
  }

  #findEndFault(end: EngineEnd): string | undefined {
    const released = this.#validator.nextIndex;
    if (this.#validator.fault !== undefined) return this.#validator.fault;
    if (end.attemptId !== this.#options.attemptId) {
      return `end of attempt ${end.attemptId}`;
    }
    if (end.tokenCount !== released) {
      return `end at ${end.tokenCount} tokens after ${released}`;
    }
    if (
      end.reason === "length" && released !== this.#options.request.maxTokens
    ) {
      return `end by length at ${released} tokens`;
    }
    return undefined;
  }
}

function faultOf(failure: Failure): AttemptFault {
  switch (failure.code) {
    case "stale-generation":
      return "stale-generation";
    case "connection-failed":
      return failure.verdict === "not-run" ? "connect" : "broken";
    case "deadline-exceeded":
    case "cancelled":
      return "given-up";
    case "bad-answer":
      return "bad-answer";
    default:
      return failure.verdict === "not-run" ? "refused" : "broken";
  }
}

function failed(fault: AttemptFault, failure: Failure): AttemptEnd {
  return { kind: "failed", fault, failure };
}

function badAnswer(message: string): AttemptEnd {
  return failed("bad-answer", mayHaveRun("bad-answer", message).error);
}

function stalled(waitedMs: number): AttemptEnd {
  const message = `no token for ${Math.round(waitedMs)} ms`;
  return failed("stalled", mayHaveRun("target-failed", message).error);
}

function deadlinePassed(): AttemptEnd {
  const message = "the request's deadline passed while it ran";
  return failed("given-up", mayHaveRun("deadline-exceeded", message).error);
}

function cancelled(): AttemptEnd {
  const message = "the caller cancelled while the request ran";
  return failed("given-up", mayHaveRun("cancelled", message).error);
}
