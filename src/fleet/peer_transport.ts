/**
 * Calls between hosts: JSON-RPC 2.0 over HTTP POST, authenticated by a shared
 * secret. Each call carries a wall-clock deadline, and a call that arrives
 * after its deadline is not handled. Both directions are bounded; what does not
 * fit is refused at once.
 *
 * @module
 */

import {
  createJSONRPCRequest,
  isJSONRPCResponse,
  type JSONRPCResponse,
  JSONRPCServer,
} from "json-rpc-2.0";
import { Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import type { Disposable } from "../common/lifecycle.ts";
import { toDisposable } from "../common/lifecycle.ts";
import { mayHaveRun, notRun, type Outcome } from "../common/verdict.ts";
import { createHttpPost, type PeerPost } from "./peer_post.ts";
import type { IPeerTransport, PeerMethod } from "./services.ts";

const DEFAULT_MAX_OUTGOING = 512;
const DEFAULT_MAX_OUTGOING_PER_PEER = 64;
const DEFAULT_MAX_INCOMING = 512;

const METHOD_NOT_FOUND = -32601;
const INVALID_REQUEST = -32600;
/** Server errors of this protocol; the call was not handled. */
const OVERLOADED = -32001;
const EXPIRED = -32002;
const NOT_EXECUTED_CODES = [
  METHOD_NOT_FOUND,
  INVALID_REQUEST,
  OVERLOADED,
  EXPIRED,
];

/** What travels as `params` of each call. */
interface CallEnvelope {
  readonly deadlineWallMs: number;
  readonly parameters: unknown;
}

/** Collaborators and defaults of a {@link PeerTransport}. */
export interface PeerTransportOptions {
  /** Name of this host, sent with each call. */
  readonly selfName: string;
  /** Secret shared by all hosts. */
  readonly secret: string;
  readonly clock?: Clock;
  /** Sends one body; HTTP by default. */
  readonly post?: PeerPost;
  readonly maxOutgoing?: number;
  readonly maxOutgoingPerPeer?: number;
  readonly maxIncoming?: number;
  /** Hears what a handler threw. */
  readonly onHandlerError?: (method: string, error: unknown) => void;
}

/** Calls other hosts and dispatches their calls. */
export class PeerTransport implements IPeerTransport, Disposable {
  readonly #clock: Clock;
  readonly #post: PeerPost;
  readonly #server: JSONRPCServer<string>;
  readonly #maxOutgoing: number;
  readonly #maxOutgoingPerPeer: number;
  readonly #maxIncoming: number;
  readonly #methods = new Set<string>();
  readonly #outgoingByUrl = new Map<string, number>();
  readonly #onHandlerError: (method: string, error: unknown) => void;
  #outgoing = 0;
  #incoming = 0;
  #nextId = 1;

  constructor(options: PeerTransportOptions) {
    this.#clock = options.clock ?? systemClock;
    this.#post = options.post ?? createHttpPost(options);
    this.#maxOutgoing = options.maxOutgoing ?? DEFAULT_MAX_OUTGOING;
    this.#maxOutgoingPerPeer = options.maxOutgoingPerPeer ??
      DEFAULT_MAX_OUTGOING_PER_PEER;
    this.#maxIncoming = options.maxIncoming ?? DEFAULT_MAX_INCOMING;
    this.#onHandlerError = options.onHandlerError ?? (() => {});
    this.#server = new JSONRPCServer({ errorListener: () => {} });
  }

  async call(
    url: string,
    request: { readonly method: string; readonly parameters: unknown },
    options: { readonly deadlineMs: number },
  ): Promise<Outcome<unknown>> {
    const timeoutMs = options.deadlineMs - this.#clock.nowMs();
    if (timeoutMs <= 0) {
      return notRun("deadline-exceeded", `no time left to call ${url}`);
    }
    const pending = this.#outgoingByUrl.get(url) ?? 0;
    if (
      this.#outgoing >= this.#maxOutgoing ||
      pending >= this.#maxOutgoingPerPeer
    ) {
      return notRun("overloaded", `${pending} calls to ${url} are pending`);
    }
    this.#addOutgoing(url, 1);
    try {
      return await this.#send(url, request, timeoutMs);
    } finally {
      this.#addOutgoing(url, -1);
    }
  }

  handle(method: string, handler: PeerMethod): Disposable {
    if (this.#methods.has(method)) {
      throw new Error(`peer method ${method} already has a handler`);
    }
    this.#methods.add(method);
    this.#server.addMethod(
      method,
      (envelope: CallEnvelope, from: string) =>
        this.#dispatch(method, { envelope, from, handler }),
    );
    return toDisposable(() => {
      this.#methods.delete(method);
      this.#server.removeMethod(method);
    });
  }

  /** Handles the body of a call that the peer server has authenticated. */
  async receive(payload: unknown, from: string): Promise<unknown> {
    if (!isCall(payload)) {
      return errorResponse(null, INVALID_REQUEST, "not a call with a deadline");
    }
    if (payload.params.deadlineWallMs <= this.#clock.wallMs()) {
      return errorResponse(payload.id, EXPIRED, "the deadline has passed");
    }
    if (!this.#methods.has(payload.method)) {
      return errorResponse(payload.id, METHOD_NOT_FOUND, payload.method);
    }
    if (this.#incoming >= this.#maxIncoming) {
      return errorResponse(payload.id, OVERLOADED, "too many calls at once");
    }
    this.#incoming += 1;
    try {
      return await this.#server.receive(payload, from);
    } finally {
      this.#incoming -= 1;
    }
  }

  dispose(): void {
    this.#outgoingByUrl.clear();
  }

  async #send(
    url: string,
    request: { readonly method: string; readonly parameters: unknown },
    timeoutMs: number,
  ): Promise<Outcome<unknown>> {
    const envelope: CallEnvelope = {
      deadlineWallMs: Math.round(this.#clock.wallMs() + timeoutMs),
      parameters: request.parameters,
    };
    const call = createJSONRPCRequest(
      this.#nextId++,
      request.method,
      envelope as unknown as Record<string, unknown>,
    );
    const response = await this.#post(`${url}/peer`, call, { timeoutMs });
    if (response.isErr()) return response;
    if (!isJSONRPCResponse(response.value) || response.value.id !== call.id) {
      return mayHaveRun("bad-answer", `${url} did not answer the call`);
    }
    return readResponse(response.value, `${request.method} at ${url}`);
  }

  async #dispatch(
    method: string,
    call: { envelope: CallEnvelope; from: string; handler: PeerMethod },
  ): Promise<unknown> {
    try {
      const result = await call.handler(call.envelope.parameters, call.from);
      return result ?? null;
    } catch (error) {
      this.#onHandlerError(method, error);
      throw new Error(`${method} failed`);
    }
  }

  #addOutgoing(url: string, change: number): void {
    this.#outgoing += change;
    const pending = (this.#outgoingByUrl.get(url) ?? 0) + change;
    if (pending > 0) this.#outgoingByUrl.set(url, pending);
    else this.#outgoingByUrl.delete(url);
  }
}

interface PeerCall {
  readonly jsonrpc: "2.0";
  readonly id: number;
  readonly method: string;
  readonly params: CallEnvelope;
}

function isCall(payload: unknown): payload is PeerCall {
  const call = payload as Partial<PeerCall> | null;
  return typeof call === "object" && call !== null &&
    call.jsonrpc === "2.0" &&
    typeof call.id === "number" &&
    typeof call.method === "string" &&
    typeof call.params?.deadlineWallMs === "number";
}

function readResponse(
  response: JSONRPCResponse,
  callName: string,
): Outcome<unknown> {
  if (response.error === undefined) return new Ok(response.result);
  const { code, message } = response.error;
  if (!NOT_EXECUTED_CODES.includes(code)) {
    return mayHaveRun("internal", `${callName}: ${message}`);
  }
  if (code === OVERLOADED) {
    return notRun("overloaded", `${callName}: ${message}`);
  }
  if (code === EXPIRED) {
    return notRun("deadline-exceeded", `${callName}: ${message}`);
  }
  return notRun("bad-request", `${callName}: ${message}`);
}

function errorResponse(
  id: number | null,
  code: number,
  message: string,
): JSONRPCResponse {
  return { jsonrpc: "2.0", id, error: { code, message } };
}
