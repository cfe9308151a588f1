/**
 * Client of a daemon's operator interface.
 *
 * @module
 */

import got, { type Method, RequestError } from "got";
import { Ok } from "ts-results-es";
import { z } from "zod";
import {
  type Failure,
  type FailureCode,
  mayHaveRun,
  notRun,
  type Outcome,
} from "../common/verdict.ts";
import type { Config } from "../config/schema.ts";
import type { AuditEntry, ConfigChange, ConfigState } from "../config/types.ts";

const CALL_TIMEOUT_MS = 30_000;

/** Errors of a connection that never carried the request. */
const NOT_SENT_ERROR_CODES = new Set([
  "ECONNREFUSED",
  "ENOTFOUND",
  "EAI_AGAIN",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

const problemSchema = z.looseObject({
  code: z.string().optional(),
  title: z.string().optional(),
  detail: z.string().optional(),
  verdict: z.enum(["not-run", "may-have-run"]).optional(),
  currentVersion: z.number().optional(),
  faults: z.array(z.object({ path: z.string(), message: z.string() }))
    .optional(),
});

/** A patch against a version. */
export interface ConfigPatch {
  readonly baseVersion: number;
  readonly patch: unknown;
  readonly note?: string;
}

/** What a patch would make. */
export interface ConfigPlan {
  readonly baseVersion: number;
  readonly config: Config;
}

/** What a host knows of one request. */
export interface RequestExplanation {
  readonly requestId: string;
  readonly host: string;
  readonly steps: readonly {
    readonly atWallMs: number;
    readonly step: string;
    readonly details?: Readonly<Record<string, unknown>>;
  }[];
}

/** Options of the client. */
export interface OperatorClientOptions {
  readonly operatorUrl: string;
  readonly token: string | undefined;
  readonly callTimeoutMs?: number;
}

interface CallDetails {
  readonly method?: Method;
  readonly headers?: Record<string, string>;
  readonly query?: Record<string, string>;
  readonly body?: unknown;
}

/** Calls the operator interface; every failure says whether a change may have been made. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  readConfig(): Promise<Outcome<ConfigState>> {
    return this.#call("operator/config");
  }

  planConfig(change: ConfigPatch): Promise<Outcome<ConfigPlan>> {
    return this.#call("operator/config/plan", patchCall("POST", change));
  }

  patchConfig(change: ConfigPatch): Promise<Outcome<ConfigChange>> {
    return this.#call("operator/config", patchCall("PATCH", change));
  }

  readAudit(limit: number): Promise<Outcome<{ entries: AuditEntry[] }>> {
    return this.#call("operator/audit", { query: { limit: String(limit) } });
  }

  readStatus(): Promise<Outcome<Record<string, unknown>>> {
    return this.#call("operator/status");
  }

  explainRequest(requestId: string): Promise<Outcome<RequestExplanation>> {
    return this.#call(`operator/requests/${encodeURIComponent(requestId)}`);
  }

  drainHost(name: string): Promise<Outcome<Record<string, unknown>>> {
    return this.#call("operator/drain", {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: { kind: "host", name },
    });
  }

  async #call<T>(path: string, details: CallDetails = {}): Promise<Outcome<T>> {
    const {
      operatorUrl,
      token,
      callTimeoutMs: callTimeoutMs = CALL_TIMEOUT_MS,
    } = this.#options;
    const { method = "GET", headers = {}, query = {}, body } = details;
    const base = operatorUrl.endsWith("/") ? operatorUrl : `${operatorUrl}/`;
    try {
      const response = await got(new URL(path, base), {
        method,
        headers: {
          ...headers,
          ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
        },
        searchParams: query,
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        throwHttpErrors: false,
        followRedirect: false,
        retry: { limit: 0 },
        timeout: { request: callTimeoutMs },
      });
      return parseResponse<T>(response, method);
    } catch (error) {
      return connectionFailure(error, operatorUrl, method);
    }
  }
}

function patchCall(method: Method, change: ConfigPatch): CallDetails {
  return {
    method,
    headers: {
      "content-type": "application/merge-patch+json",
      "if-match": `"${change.baseVersion}"`,
    },
    query: change.note === undefined ? {} : { note: change.note },
    body: change.patch,
  };
}

function parseResponse<T>(
  response: { statusCode: number; body: string },
  method: Method,
): Outcome<T> {
  const { statusCode, body } = response;
  const document = parseJson(body);
  const succeeded = statusCode >= 200 && statusCode < 300;
  if (succeeded && document !== undefined) return new Ok(document as T);
  if (succeeded && body === "") return new Ok({} as T);
  return parseProblem(statusCode, document, method);
}

function parseProblem(
  statusCode: number,
  document: unknown,
  method: Method,
): Outcome<never> {
  const parsed = problemSchema.safeParse(document);
  const problem = parsed.success ? parsed.data : {};
  const reason = problem.detail ?? problem.title ?? "no reason was given";
  const currentVersionNote = problem.currentVersion === undefined
    ? ""
    : ` (version ${problem.currentVersion} is in force)`;
  const message = `HTTP ${statusCode}: ${reason}${currentVersionNote}`;
  const code = problemCode(statusCode, problem.code);
  const verdict = problem.verdict ?? defaultVerdict(statusCode, method);
  const details: Pick<Failure, "faults"> = problem.faults === undefined
    ? {}
    : { faults: problem.faults };
  return verdict === "not-run"
    ? notRun(code, message, details)
    : mayHaveRun(code, message, details);
}

function problemCode(
  statusCode: number,
  code: string | undefined,
): FailureCode {
  if (statusCode === 409) return "stale-version";
  return (code as FailureCode | undefined) ?? "target-refused";
}

function defaultVerdict(
  statusCode: number,
  method: Method,
): Failure["verdict"] {
  return statusCode < 500 || method === "GET" ? "not-run" : "may-have-run";
}

function connectionFailure(
  error: unknown,
  operatorUrl: string,
  method: Method,
): Outcome<never> {
  const reason = error instanceof Error ? error.message : String(error);
  const message = `cannot reach ${operatorUrl}: ${reason}`;
  const isNotSent = error instanceof RequestError &&
    NOT_SENT_ERROR_CODES.has(error.code);
  return isNotSent || method === "GET"
    ? notRun("connection-failed", message)
    : mayHaveRun("connection-failed", message);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
