/**
 * What the routing core needs from outside: the store's keyed logs, the
 * registry of hosts, the calls to targets and the headers on the wire.
 *
 * @module
 */

import type {
  ForwardMetadata,
  HostRecord,
  KeyedRead,
  KeyedSnapshot,
  OrderOutcome,
  PathStage,
  RawHeaders,
  RequestMetadata,
  ResponseMetadata,
  RoutingConfig,
  Span,
  TargetRecord,
  TargetReport,
} from "./types.ts";

/** A keyed log of the store. Calls reject when the store gives no answer. */
export interface IKeyedLog {
  /** Reads from an offset; waits up to `waitMs` for a record. */
  read(fromOffset: number, waitMs: number): Promise<KeyedRead>;
  /** The newest record of each key. */
  newest(): Promise<KeyedSnapshot>;
}

/** Where hosts make themselves known. Calls reject when the store fails. */
export interface IHostRegistry {
  announce(host: HostRecord): Promise<void>;
  list(): Promise<readonly HostRecord[]>;
}

/** Decodes what operators and targets write. A malformed value is an error text. */
export interface IRecordDecoder {
  config(value: Buffer): RoutingConfig | string;
  target(id: string, value: Buffer): TargetRecord | string;
  /** Keys of records that hold a configuration. */
  readonly configKey: string;
}

/** Reads and writes the headers of requests and answers. */
export interface IHeaderCodec {
  request(headers: RawHeaders): RequestMetadata;
  /** Headers to forward, without those of one connection. */
  forward(headers: RawHeaders, marks: ForwardMetadata): string[];
  answer(headers: RawHeaders): ResponseMetadata;
}

/** A target as the caller of an order names it. */
export interface OrderTarget {
  readonly id: string;
  readonly address: string;
}

/** Questions and orders to targets. They never reject. */
export interface ITargetControl {
  /** Undefined where no sound report came within `timeoutMs`. */
  report(
    target: OrderTarget,
    timeoutMs: number,
  ): Promise<TargetReport | undefined>;
  /** Orders a target to hold a span, if it has begun `expectedSeq` orders. */
  place(
    target: OrderTarget,
    span: Span,
    expectedSeq: number,
  ): Promise<OrderOutcome>;
  /** Moves a request in progress to another path with the same first stage. */
  repath(
    first: OrderTarget,
    requestId: string,
    path: readonly PathStage[],
  ): Promise<OrderOutcome>;
}
