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
import { CompletionStream } from "./completion_stream.ts";
import { readJson } from "./body.ts";
import type { AdmittedRequest, CallerAdmission } from "./caller_admission.ts";
import {
  type CompletionBody,
  completionDocument,
  type CompletionKind,
  createEventFormatter,
  parseCompletionBody,
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
  readonly admission: CallerAdmission;
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
    const { admission: admission } = this.#options;
    const admitted = await admission.admit(request, response);
    if (admitted === undefined) return;
    try {
      const parsed = await this.#parse(kind, request, admitted.customer);
      if (parsed.isErr()) {
        return admission.reject(response, parsed.error, admitted.requestId);
      }
      await this.#respond(parsed.value, { request, response, admitted });
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
    const pipeline = findPermitted(
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

  async #respond(
    parsed: ParsedCompletion,
    exchange: {
      request: Request;
      response: Response;
      admitted: AdmittedRequest;
    },
  ): Promise<void> {
    const { admission: admission } = this.#options;
    const { body, pipeline } = parsed;
    const { request, response, admitted } = exchange;
    const completion: CompletionRequest = {
      requestId: admitted.requestId,
      customer: admitted.customer,
      pipeline: body.pipeline,
      prompt: body.prompt,
      maxTokens: body.maxTokens ??
        Math.min(DEFAULT_MAX_TOKENS, pipeline.maxTokens),
      deadlineMs: admission.deadlineMs(request, pipeline.answerWithinMs),
      signal: admitted.signal,
    };
    if (body.stream) {
      await this.#respondStreamed(body, completion, response, admitted);
    } else await this.#respondComplete(body, completion, response);
  }

  async #respondComplete(
    body: CompletionBody,
    completion: CompletionRequest,
    response: Response,
  ): Promise<void> {
    const texts: string[] = [];
    const outcome = await this.#complete(completion, (tokens) => {
      for (const token of tokens) texts.push(token.text);
    });
    if (outcome.isErr()) {
      return this.#options.admission.reject(
        response,
        outcome.error,
        completion.requestId,
      );
    }
    const { reason, tokenCount } = outcome.value;
    const result = {
      id: completion.requestId,
      model: body.pipeline,
      text: texts.join(""),
      finishReason: reason,
      tokenCount,
    };
    sendJson(response, 200, completionDocument(body.kind, result));
  }

  async #respondStreamed(
    body: CompletionBody,
    completion: CompletionRequest,
    response: Response,
    admitted: AdmittedRequest,
  ): Promise<void> {
    const stream = new CompletionStream({
      response,
      formatEvent: createEventFormatter(body.kind, {
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
      return this.#options.admission.reject(
        response,
        outcome.error,
        completion.requestId,
      );
    }
    this.#recordBrokenStream(outcome.error, completion.requestId);
    stream.abort(outcome.error, completion.requestId);
  }

  async #complete(
    completion: CompletionRequest,
    onTokens: (tokens: readonly AnswerToken[]) => void,
  ) {
    const { clock, metrics, completions } = this.#options;
    const startedMs = clock.nowMs();
    let lastMs = startedMs;
    let isFirst = true;
    const outcome = await completions.complete(completion, (tokens) => {
      const nowMs = clock.nowMs();
      const histogram = isFirst
        ? "jackdawshift_first_token_us"
        : "jackdawshift_token_gap_us";
      metrics.record(histogram, (nowMs - lastMs) * 1_000);
      isFirst = false;
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

  #recordBrokenStream(failure: Failure, requestId: string): void {
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
export function findPermitted<
  T extends { readonly customers: readonly string[] },
>(
  entries: Readonly<Record<string, T>>,
  name: string,
  customer: string,
): T | undefined {
  const entry = Object.hasOwn(entries, name) ? entries[name] : undefined;
  return entry?.customers.includes(customer) ? entry : undefined;
}
