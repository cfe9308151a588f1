/**
 * Routes of completions: parse, check access, and carry the answer whole or
 * as a stream.
 *
 * @module
 */

import type { Request, Response } from "restify";
import { Ok } from "ts-results-es";
import type { Clock } from "../common/clock.ts";
import type { IMetrics } from "../common/metrics.ts";
import { type Failure, notRun, type Outcome } from "../common/verdict.ts";
import type { PipelineConfig } from "../config/schema.ts";
import type { IConfigService } from "../config/services.ts";
import type {
  ICompletionService,
  IRequestJournal,
} from "../requests/services.ts";
import type { AnswerToken, CompletionRequest } from "../requests/types.ts";
import { AnswerStream } from "./answer_stream.ts";
import { readJson } from "./body.ts";
import type { AdmittedRequest, CallerGate } from "./caller_gate.ts";
import {
  type CompletionBody,
  type CompletionKind,
  parseCompletionBody,
  streamFrame,
  wholeAnswer,
} from "./completion_body.ts";
import { type HttpServer, sendJson } from "./http_server.ts";

const MAX_BUFFERED_BYTES = 1 << 20;
/** Length of an answer whose caller names none, unless its pipeline allows less. */
const DEFAULT_MAX_TOKENS = 256;

/** Limits on callers' bodies. */
export interface CallerBodyLimits {
  readonly maxBodyBytes: number;
  readonly bodyWithinMs: number;
}

/** Options of the routes. */
export interface CompletionRoutesOptions extends CallerBodyLimits {
  readonly clock: Clock;
  readonly metrics: IMetrics;
  readonly config: IConfigService;
  readonly journal: IRequestJournal;
  readonly completions: ICompletionService;
  readonly gate: CallerGate;
}

interface ParsedCompletion {
  readonly body: CompletionBody;
  readonly pipeline: PipelineConfig;
}

/** Serves `/v1/completions` and `/v1/chat/completions`. */
export class CompletionRoutes {
  readonly #options: CompletionRoutesOptions;

  constructor(options: CompletionRoutesOptions) {
    this.#options = options;
  }

  attach(server: HttpServer): void {
    server.route("post", "/v1/completions", (request, response) => {
      return this.#serve("text", request, response);
    });
    server.route("post", "/v1/chat/completions", (request, response) => {
      return this.#serve("chat", request, response);
    });
  }

  async #serve(
    kind: CompletionKind,
    request: Request,
    response: Response,
  ): Promise<void> {
    const { gate } = this.#options;
    const admitted = await gate.enter(request, response);
    if (admitted === undefined) return;
    try {
      const parsed = await this.#parse(kind, request, admitted.customer);
      if (parsed.isErr()) {
        return gate.refuse(response, parsed.error, admitted.requestId);
      }
      await this.#answer(parsed.value, { request, response, admitted });
    } finally {
      admitted.dispose();
    }
  }

  async #parse(
    kind: CompletionKind,
    request: Request,
    customer: string,
  ): Promise<Outcome<ParsedCompletion>> {
    const { clock, config, maxBodyBytes, bodyWithinMs } = this.#options;
    const deadlineMs = clock.nowMs() + bodyWithinMs;
    const json = await readJson(request, {
      maxBytes: maxBodyBytes,
      deadlineMs,
      clock,
    });
    if (json.isErr()) return json;
    const body = parseCompletionBody(kind, json.value);
    if (body.isErr()) return body;
    const pipeline = findOpen(
      config.state.config.pipelines,
      body.value.pipeline,
      customer,
    );
    if (pipeline === undefined) {
      return notRun(
        "forbidden",
        `no pipeline "${body.value.pipeline}" is open to this customer`,
      );
    }
    if ((body.value.maxTokens ?? 0) > pipeline.maxTokens) {
      return notRun(
        "bad-request",
        `max_tokens: at most ${pipeline.maxTokens} are allowed`,
      );
    }
    return new Ok({ body: body.value, pipeline });
  }

  async #answer(
    parsed: ParsedCompletion,
    exchange: {
      request: Request;
      response: Response;
      admitted: AdmittedRequest;
    },
  ): Promise<void> {
    const { gate } = this.#options;
    const { body, pipeline } = parsed;
    const { request, response, admitted } = exchange;
    const completion: CompletionRequest = {
      requestId: admitted.requestId,
      customer: admitted.customer,
      pipeline: body.pipeline,
      prompt: body.prompt,
      maxTokens: body.maxTokens ??
        Math.min(DEFAULT_MAX_TOKENS, pipeline.maxTokens),
      deadlineMs: gate.deadlineMs(request, pipeline.answerWithinMs),
      signal: admitted.signal,
    };
    if (body.stream) {
      await this.#answerStreamed(body, completion, response, admitted);
    } else await this.#answerWhole(body, completion, response);
  }

  async #answerWhole(
    body: CompletionBody,
    completion: CompletionRequest,
    response: Response,
  ): Promise<void> {
    const texts: string[] = [];
    const outcome = await this.#complete(completion, (tokens) => {
      for (const token of tokens) texts.push(token.text);
    });
    if (outcome.isErr()) {
      return this.#options.gate.refuse(
        response,
        outcome.error,
        completion.requestId,
      );
    }
    const { reason, tokenCount } = outcome.value;
    const answer = {
      id: completion.requestId,
      model: body.pipeline,
      text: texts.join(""),
      finishReason: reason,
      tokenCount,
    };
    sendJson(response, 200, wholeAnswer(body.kind, answer));
  }

  async #answerStreamed(
    body: CompletionBody,
    completion: CompletionRequest,
    response: Response,
    admitted: AdmittedRequest,
  ): Promise<void> {
    const stream = new AnswerStream({
      response,
      frame: streamFrame(body.kind, {
        id: completion.requestId,
        model: body.pipeline,
      }),
      maxBufferedBytes: MAX_BUFFERED_BYTES,
      onOverflow: admitted.abort,
    });
    const outcome = await this.#complete(
      completion,
      (tokens) => stream.write(tokens),
    );
    if (outcome.isOk()) return stream.end(outcome.value.reason);
    if (!stream.isStarted) {
      return this.#options.gate.refuse(
        response,
        outcome.error,
        completion.requestId,
      );
    }
    this.#noteBroken(outcome.error, completion.requestId);
    stream.break(outcome.error, completion.requestId);
  }

  async #complete(
    completion: CompletionRequest,
    onTokens: (tokens: readonly AnswerToken[]) => void,
  ) {
    const { clock, metrics, completions } = this.#options;
    const startedMs = clock.nowMs();
    let lastMs = startedMs;
    let first = true;
    const outcome = await completions.complete(completion, (tokens) => {
      const nowMs = clock.nowMs();
      const name = first
        ? "jackdawshift_first_token_us"
        : "jackdawshift_token_gap_us";
      metrics.record(name, (nowMs - lastMs) * 1_000);
      first = false;
      lastMs = nowMs;
      onTokens(tokens);
    });
    metrics.record(
      "jackdawshift_completion_us",
      (clock.nowMs() - startedMs) * 1_000,
    );
    if (outcome.isOk()) {
      metrics.count("jackdawshift_answers_total", { verdict: "complete" });
    }
    return outcome;
  }

  #noteBroken(failure: Failure, requestId: string): void {
    const { metrics, journal } = this.#options;
    metrics.count("jackdawshift_answers_total", {
      verdict: failure.verdict,
      code: failure.code,
    });
    journal.note(requestId, "stream-broken", {
      verdict: failure.verdict,
      code: failure.code,
    });
  }
}

/** Finds an entry that a customer may use; another customer's looks like none. */
export function findOpen<T extends { readonly customers: readonly string[] }>(
  entries: Readonly<Record<string, T>>,
  name: string,
  customer: string,
): T | undefined {
  const entry = Object.hasOwn(entries, name) ? entries[name] : undefined;
  return entry?.customers.includes(customer) ? entry : undefined;
}
