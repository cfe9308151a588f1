/**
 * Client of model engines.
 *
 * @module
 */

import { Err, Ok } from "ts-results-es";
import { z } from "zod";
import { type Clock, systemClock } from "../common/clock.ts";
import type { Outcome } from "../common/verdict.ts";
import type { HttpClient } from "./http_client.ts";
import { callJson, joinUrl, type JsonCall } from "./json_call.ts";
import { responseFailure } from "./rejections.ts";
import type { IEngineClient, TokenListener } from "./services.ts";
import { TokenReader } from "./token_reader.ts";
import type {
  CallOptions,
  EngineEnd,
  EngineOrder,
  EngineState,
  GenerateRequest,
} from "./types.ts";

const stateSchema = z.object({
  target: z.string(),
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.enum(["both", "prefill", "decode"]),
  first: z.int().min(0),
  end: z.int().min(0),
  generation: z.int(),
  fence: z.int(),
  leaving: z.boolean(),
  loading: z.boolean(),
  load: z.object({
    running: z.int().min(0),
    queued: z.int().min(0),
    asOfWallMs: z.number(),
  }),
});

const ignoredBodySchema = z.unknown().transform(() => undefined);

type StreamOptions = CallOptions & { readonly onTokens: TokenListener };

export interface EngineClientOptions {
  readonly http: HttpClient;
  readonly clock?: Clock;
}

/** Engines over HTTP, their answers as server-sent events. */
export class EngineClient implements IEngineClient {
  readonly #http: HttpClient;
  readonly #clock: Clock;

  constructor(options: EngineClientOptions) {
    this.#http = options.http;
    this.#clock = options.clock ?? systemClock;
  }

  generate(
    url: string,
    request: GenerateRequest,
    options: StreamOptions,
  ): Promise<Outcome<EngineEnd>> {
    const reader = new TokenReader({
      attemptId: request.attemptId,
      fromIndex: request.generated.length,
      onTokens: options.onTokens,
    });
    const call = { url: joinUrl(url, "/v1/generate"), data: request };
    return this.#stream(call, reader, options);
  }

  reattach(
    url: string,
    attempt: { readonly attemptId: string; readonly fromIndex: number },
    options: StreamOptions,
  ): Promise<Outcome<EngineEnd>> {
    const { attemptId, fromIndex } = attempt;
    const { onTokens } = options;
    const reader = new TokenReader({ attemptId, fromIndex, onTokens });
    const path = `${attemptPath(attemptId)}/reattach`;
    const call = { url: joinUrl(url, path), data: { fromIndex } };
    return this.#stream(call, reader, options);
  }

  cancel(
    url: string,
    attemptId: string,
    options: CallOptions,
  ): Promise<Outcome<void>> {
    return this.#call({
      method: "DELETE",
      url: joinUrl(url, attemptPath(attemptId)),
      schema: ignoredBodySchema,
    }, options);
  }

  readState(
    url: string,
    options: CallOptions,
  ): Promise<Outcome<EngineState>> {
    return this.#call({
      method: "GET",
      url: joinUrl(url, "/v1/state"),
      schema: stateSchema,
    }, options);
  }

  order(
    url: string,
    order: EngineOrder,
    options: CallOptions,
  ): Promise<Outcome<EngineState>> {
    return this.#call({
      method: "POST",
      url: joinUrl(url, "/v1/orders"),
      data: order,
      schema: stateSchema,
    }, options);
  }

  async #stream(
    call: { readonly url: string; readonly data: unknown },
    reader: TokenReader,
    options: CallOptions,
  ): Promise<Outcome<EngineEnd>> {
    const { url, data } = call;
    const outcome = await this.#http.exchange({
      method: "POST",
      url,
      headers: { "content-type": "application/json" },
      body: JSON.stringify(data),
    }, {
      deadlineMs: options.deadlineMs,
      signal: options.signal,
      readChunk: (chunk) => reader.read(chunk),
    });
    if (reader.failure) return new Err(reader.failure);
    if (outcome.isErr()) return outcome;
    if (reader.end) return new Ok(reader.end);
    const { attemptId } = reader;
    return responseFailure(outcome.value, {
      url,
      clock: this.#clock,
      attemptId,
    });
  }

  #call<S extends z.ZodType>(
    call: JsonCall<S>,
    options: CallOptions,
  ): Promise<Outcome<z.output<S>>> {
    return callJson({ http: this.#http, clock: this.#clock }, call, options);
  }
}

function attemptPath(attemptId: string): string {
  return `/v1/attempts/${encodeURIComponent(attemptId)}`;
}
