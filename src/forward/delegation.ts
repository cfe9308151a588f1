/**
 * Sends a caller's request to another host, which serves it with what it knows
 * of the targets and returns the response. The other host checks the API key
 * itself, refuses if its configuration is older than that of this host, sends the
 * request to one target, and does not pass it on: this host counts the targets.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type {
  HostRecord,
  RawHeaders,
  ResponseMetadata,
} from "../ports/types.ts";
import type { CallContext, CallPlan } from "./context.ts";
import type { Exchange } from "./exchange.ts";
import { checkHead, discardBody } from "./response.ts";
import { isUnframed, type SendOutcome, sendUpstream } from "./upstream.ts";

const CONFIG_VERSION_HEADER = "delegated-config-version";
/** Status with which a host leaves a delegated request to another one. */
export const DECLINED_STATUS = 421;

export interface DelegatedSendOptions {
  readonly context: Pick<CallContext, "codec" | "hostAgent" | "clock">;
  readonly exchange: Pick<Exchange, "request" | "body">;
  readonly plan: Pick<CallPlan, "deadlineMs" | "configVersion">;
  readonly host: Pick<HostRecord, "ip" | "port">;
  /** Defined if a stream resumes. */
  readonly lastEventId?: number;
  readonly mayReuse: boolean;
  readonly signal: AbortSignal;
}

/** Why a host did not serve a delegated request. */
export type DelegateRefusal =
  /** Another host may serve it. */
  | { readonly kind: "declined"; readonly reason: string }
  /** It has not run, and no host can serve it before this time. */
  | {
    readonly kind: "refused";
    readonly reason: string;
    readonly retryAfterMs: number | undefined;
  }
  | { readonly kind: "invalid"; readonly reason: string };

/** Resolves with the head of the response. Never rejects. */
export function sendToHost(
  options: DelegatedSendOptions,
): Promise<SendOutcome> {
  const { context, exchange: { request, body }, plan, host } = options;
  return sendUpstream({
    endpoint: host,
    method: request.method ?? "GET",
    path: request.url ?? "/",
    headers: [
      ...context.codec.delegate(withoutDelegation(request.rawHeaders), {
        remainingMs: plan.deadlineMs - context.clock.nowMs(),
        lastEventId: options.lastEventId,
      }),
      CONFIG_VERSION_HEADER,
      String(plan.configVersion),
    ],
    body,
    mayReuse: options.mayReuse,
    signal: options.signal,
    agent: context.hostAgent,
  });
}

/** The headers without the one that hosts add for each other. */
export function withoutDelegation(headers: RawHeaders): RawHeaders {
  const kept: string[] = [];
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i].toLowerCase();
    if (name !== CONFIG_VERSION_HEADER) kept.push(headers[i], headers[i + 1]);
  }
  return kept;
}

/**
 * Version of the configuration that admitted a delegated request; undefined if
 * the headers are not those of one.
 */
export function readConfigVersion(
  headers: IncomingHttpHeaders,
): number | undefined {
  const version = Number(headers[CONFIG_VERSION_HEADER]);
  return Number.isSafeInteger(version) ? version : undefined;
}

/** Returns undefined if a response comes from a target and is the request's. */
export function checkDelegateHead(
  outcome: Extract<SendOutcome, { readonly kind: "answer" }>,
  { metadata, requestId }: {
    readonly metadata: ResponseMetadata;
    readonly requestId: string;
  },
): DelegateRefusal | undefined {
  const { answer } = outcome;
  const status = answer.statusCode ?? 0;
  if (!metadata.isSigned) {
    const reason = `status ${status} of another host`;
    discardBody(answer);
    if (status === DECLINED_STATUS) return { kind: "declined", reason };
    if (status === 503) {
      const { retryAfterMs } = metadata;
      return { kind: "refused", reason, retryAfterMs };
    }
    return { kind: "invalid", reason };
  }
  const fault = checkHead(outcome, { metadata, requestId });
  if (fault === undefined) return undefined;
  return fault.kind === "invalid"
    ? fault
    : { kind: "invalid", reason: `refusal ${fault.status} passed on` };
}

/**
 * Why the end of a delegated response does not show that it is whole. A host that
 * is stopped, or that breaks a response off, closes its connection in order, so
 * only a length or chunks tell the difference.
 */
export function unmarkedEnd(
  answer: Extract<SendOutcome, { readonly kind: "answer" }>["answer"],
): string | undefined {
  return isUnframed(answer)
    ? "response of another host has neither length nor chunks"
    : undefined;
}
