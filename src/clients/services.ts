/**
 * Interfaces of the platform and of targets, each with the identifier under
 * which the container holds its implementation. Failures carry the verdict:
 * `not-run` only when the far side cannot have acted.
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

/** The append-only log. */
export interface ILogClient {
  /**
   * Appends entries next to each other and returns the offset of the first.
   * `may-have-run` means that the entries may be in the stream.
   */
  append(
    stream: string,
    entries: readonly LogEntry[],
    options: CallOptions,
  ): Promise<Outcome<number>>;
  /** Reads from `fromOffset` on; waits for a record until `waitMs` has passed, 0 by default. */
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

/** The lagging list of hosts and targets. */
export interface IHostListClient {
  list(options: CallOptions): Promise<Outcome<readonly ListedHost[]>>;
}
export const IHostListClient: ServiceIdentifier<IHostListClient> = Symbol.for(
  "HostListClient",
);

/** Receives the tokens of one generation in the order in which they arrive. */
export type TokenListener = (tokens: readonly EngineToken[]) => void;

/** Calls to model engines. */
export interface IEngineClient {
  /** Starts a generation; resolves at its explicit end or at the failure. */
  generate(
    url: string,
    request: GenerateRequest,
    options: CallOptions & { readonly onTokens: TokenListener },
  ): Promise<Outcome<EngineEnd>>;
  /** Listens again to an attempt whose connection broke, from token `fromIndex`. */
  reattach(
    url: string,
    attempt: { readonly attemptId: string; readonly fromIndex: number },
    options: CallOptions & { readonly onTokens: TokenListener },
  ): Promise<Outcome<EngineEnd>>;
  /** Ends an attempt wherever it runs along its chain. */
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
