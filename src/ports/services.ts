/**
 * Interfaces that the routing core depends on: keyed logs of the store, the
 * host registry, calls to targets, and encoding and decoding of headers.
 *
 * @module
 */

import type { Event } from "../common/emitter.ts";
import type {
  DecodedSettings,
  DelegationMetadata,
  ForwardMetadata,
  HostBounds,
  HostRecord,
  KeyedRead,
  KeyedSnapshot,
  LossEntry,
  OrderOutcome,
  PathStage,
  RawHeaders,
  RegistrySnapshot,
  ReportOutcome,
  RequestMetadata,
  ResponseMetadata,
  RoutingConfig,
  Span,
  TargetRecord,
} from "./types.ts";

/** A keyed log of the store. Calls reject when the store does not respond. */
export interface IKeyedLog {
  /**
   * Reads from an offset. Without a new record, the call waits up to `waitMs`
   * for one.
   */
  read(fromOffset: number, waitMs: number): Promise<KeyedRead>;
  /** Returns the newest record of each key. */
  newest(): Promise<KeyedSnapshot>;
}

/** Records that the hosts share. Calls reject when the store fails. */
export interface IHostRegistry {
  announce(host: HostRecord): Promise<void>;
  list(): Promise<RegistrySnapshot>;
  /** Keeps a quarantined content for hosts that start later. */
  writeQuarantine(entry: LossEntry): Promise<void>;
  removeQuarantine(contentId: string): Promise<void>;
  writeSettledEra(era: number): Promise<void>;
}

/** The settings file of this host. */
export interface ISettingsSource {
  /** Rejects if the file cannot be read. */
  read(): Promise<string>;
  /**
   * Throws if the text cannot be used. An invalid bound keeps the present one
   * and is named in `faults`.
   */
  decode(text: string, present: HostBounds): DecodedSettings;
}

/**
 * Decodes records written by operators and targets. Returns an error message
 * for a malformed value.
 */
export interface IRecordDecoder {
  config(value: Buffer): RoutingConfig | string;
  target(id: string, value: Buffer): TargetRecord | string;
  /** Key of the records that hold a configuration. */
  readonly configKey: string;
}

/** Reads and writes the headers of requests and responses. */
export interface IHeaderCodec {
  request(headers: RawHeaders): RequestMetadata;
  /** Returns the headers to forward, without hop-by-hop headers. */
  forward(headers: RawHeaders, marks: ForwardMetadata): string[];
  /** The same for another host, which authenticates the caller itself. */
  delegate(headers: RawHeaders, marks: DelegationMetadata): string[];
  answer(headers: RawHeaders): ResponseMetadata;
}

/** The recipient of a report query or an order. */
export interface OrderTarget {
  readonly id: string;
  readonly address: string;
}

/** Why a host queries a target; a label of its metrics. */
export type QueryPurpose =
  /** A stage of a path whose next event is overdue. */
  | "late-event"
  /** A first stage that may name the stage for which a request waits. */
  | "stalled-request"
  /** A target that does not respond to this host. */
  | "recovery"
  /** A target that other hosts report as unresponsive. */
  | "suspicion"
  /** The plan of which target holds which layers. */
  | "placement"
  /** Whether this host reaches any target of a service. */
  | "reachability"
  | "unspecified";

export interface QueryOptions {
  readonly purpose: QueryPurpose;
}

/** What a target says of itself when it responds to a query or an order. */
export interface TargetNotice {
  readonly targetId: string;
  /** The process leaves. */
  readonly isLeaving: boolean;
  /** It rejected the call and wants none of this host for so long. */
  readonly pauseMs: number | undefined;
}

/** Report queries and orders to targets. Calls never reject. */
export interface ITargetControl {
  readonly onNotice: Event<TargetNotice>;
  report(
    target: OrderTarget,
    timeoutMs: number,
    options?: QueryOptions,
  ): Promise<ReportOutcome>;
  /** Whether a target gives any response on a new connection within this time. */
  probe(
    target: OrderTarget,
    timeoutMs: number,
    options?: QueryOptions,
  ): Promise<boolean>;
  /**
   * Orders a target to hold a span. The order is conditional: the target must
   * have begun `expectedSeq` orders.
   */
  place(
    target: OrderTarget,
    span: Span,
    expectedSeq: number,
  ): Promise<OrderOutcome>;
  /** Moves a request in progress to another path that has the same first stage. */
  repath(
    first: OrderTarget,
    requestId: string,
    path: readonly PathStage[],
  ): Promise<OrderOutcome>;
}
