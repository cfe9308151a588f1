/**
 * Interfaces of the clients of the platform and of targets, each with its service
 * identifier in the container. A failure has the verdict `not-run` only if the
 * other side can't have executed the request.
 *
 * @module
 */

import type { ServiceIdentifier } from "inversify";
import type { Outcome } from "../common/verdict.ts";
import type {
  CallOptions,
  EngineEnd,
  EngineOrder,
  EngineState,
  EngineToken,
  GenerateRequest,
  ListedHost,
  LogEntry,
  LogPage,
  ServiceRequest,
  ServiceResponse,
} from "./types.ts";

export interface ILogClient {
  /**
   * Appends the entries contiguously and returns the offset of the first one.
   * After `may-have-run`, the entries may be in the stream.
   */
  append(
    stream: string,
    entries: readonly LogEntry[],
    options: CallOptions,
  ): Promise<Outcome<number>>;
  /** Reads from `fromOffset`; waits up to `waitMs` (default 0) for a record. */
  read(
    stream: string,
    fromOffset: number,
    options: CallOptions & {
      readonly waitMs?: number;
      readonly limit?: number;
    },
  ): Promise<Outcome<LogPage>>;
}
export const ILogClient: ServiceIdentifier<ILogClient> = Symbol.for(
  "LogClient",
);

/** The list of hosts and targets; eventually consistent. */
export interface IHostListClient {
  list(options: CallOptions): Promise<Outcome<readonly ListedHost[]>>;
}
export const IHostListClient: ServiceIdentifier<IHostListClient> = Symbol.for(
  "HostListClient",
);

/** Receives the tokens of one generation in order. */
export type TokenListener = (tokens: readonly EngineToken[]) => void;

/** Calls to model engines. */
export interface IEngineClient {
  /** Starts a generation; resolves at its explicit end or on failure. */
  generate(
    url: string,
    request: GenerateRequest,
    options: CallOptions & { readonly onTokens: TokenListener },
  ): Promise<Outcome<EngineEnd>>;
  /** Resumes the stream of an attempt after a connection loss, from token `fromIndex`. */
  reattach(
    url: string,
    attempt: { readonly attemptId: string; readonly fromIndex: number },
    options: CallOptions & { readonly onTokens: TokenListener },
  ): Promise<Outcome<EngineEnd>>;
  /** Cancels an attempt on all stages of its chain. */
  cancel(
    url: string,
    attemptId: string,
    options: CallOptions,
  ): Promise<Outcome<void>>;
  readState(url: string, options: CallOptions): Promise<Outcome<EngineState>>;
  order(
    url: string,
    order: EngineOrder,
    options: CallOptions,
  ): Promise<Outcome<EngineState>>;
}
export const IEngineClient: ServiceIdentifier<IEngineClient> = Symbol.for(
  "EngineClient",
);

/** Calls to plain services. */
export interface IServiceClient {
  call(
    url: string,
    request: ServiceRequest,
    options: CallOptions,
  ): Promise<Outcome<ServiceResponse>>;
}
export const IServiceClient: ServiceIdentifier<IServiceClient> = Symbol.for(
  "ServiceClient",
);
