/**
 * Calls that send and receive one JSON document.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { z } from "zod";
import type { Clock } from "../common/clock.ts";
import { mayHaveRun, type Outcome } from "../common/verdict.ts";
import type { BufferedResponse, HttpClient } from "./http_client.ts";
import { responseFailure } from "./rejections.ts";
import type { CallOptions } from "./types.ts";

/** One call; `schema` checks what comes back. */
export interface JsonCall<S extends z.ZodType> {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly url: string;
  readonly data?: unknown;
  readonly schema: S;
}

const JSON_HEADERS = { "content-type": "application/json" };

/** Joins a base URL and a path. */
export function joinUrl(baseUrl: string, path: string): string {
  return baseUrl.endsWith("/") ? baseUrl.slice(0, -1) + path : baseUrl + path;
}

/** Sends one call; an answer of the wrong shape may still have run. */
export async function callJson<S extends z.ZodType>(
  collaborators: { readonly http: HttpClient; readonly clock: Clock },
  call: JsonCall<S>,
  options: CallOptions,
): Promise<Outcome<z.output<S>>> {
  const { http, clock } = collaborators;
  const body = call.data === undefined ? undefined : JSON.stringify(call.data);
  const headers = body === undefined ? undefined : JSON_HEADERS;
  const { method, url } = call;
  const outcome = await http.exchange({ method, url, headers, body }, options);
  if (outcome.isErr()) return outcome;
  if (outcome.value.status !== 200) {
    return responseFailure(outcome.value, { url, clock });
  }
  return parseResponse(call, outcome.value);
}

function parseResponse<S extends z.ZodType>(
  call: JsonCall<S>,
  response: BufferedResponse,
): Outcome<z.output<S>> {
  try {
    const data: unknown = JSON.parse(response.body.toString("utf8"));
    return new Ok(call.schema.parse(data));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return mayHaveRun("bad-answer", `${call.url}: ${reason}`);
  }
}
