/**
 * The types that the routing core shares with whatever feeds it: the
 * configuration in force, what is known of targets, and the outcome of calls
 * to them. Adapters decode outside formats into these types; nothing here
 * knows a wire format.
 *
 * @module
 */

import type { Endpoint } from "../common/http_call.ts";

export type { Endpoint };

/** What may be sent again after a send whose outcome is unknown. */
export type RetryPolicy = "idempotent" | "non-idempotent" | "stream";

/** One service among those that share a route. */
export interface WeightedService {
  readonly service: string;
  /** Share of the route's requests, relative to the sum of all weights. */
  readonly weight: number;
}

/** A rule that maps a host name and a path prefix to services. */
export interface Route {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly retryPolicy: RetryPolicy;
  readonly timeoutMs: number;
  /** Time to the first byte of a timely answer. */
  readonly firstByteGoalMs: number;
  /** Longest pause between events of a timely stream. */
  readonly eventGapGoalMs: number | undefined;
  /** Targets to which one request may be sent. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** No key is needed. */
  readonly isPublic: boolean;
  /** A stream may go on at another target after its last event. */
  readonly isResumable: boolean;
  readonly split: readonly WeightedService[];
}

/** A kind of accelerator host. */
export interface TargetKind {
  readonly name: string;
  readonly memoryMb: number;
  /** Factor on the time of a decoding step. */
  readonly decodeTimeFactor: number;
  /** Factor on the time to read a prompt. */
  readonly prefillTimeFactor: number;
}

/** Published figures of a service whose model is spread over targets. */
export interface EngineProfile {
  readonly layers: number;
  readonly layerMb: number;
  /** Memory of one token of context over all layers. */
  readonly kvBytesPerToken: number;
  /** Requests that a target takes at once as the first of a path. */
  readonly slots: number;
  readonly stepMs: number;
  readonly perSequenceMs: number;
  readonly contextPerKiloTokenMs: number;
  readonly prefillTokensPerMs: number;
  /** Most prompt tokens that are read in one step. */
  readonly chunkTokens: number;
  /** Bytes that a step to the next target of a path moves for each token. */
  readonly activationBytes: number;
  /** Rate of the pipe between two failure domains, which all steps share; Infinity where none is told. */
  readonly domainLinkMbps: number;
  /** Time to load the whole model. */
  readonly loadMs: number;
  readonly maxConcurrentLoads: number;
  readonly typicalPromptTokens: number;
  readonly typicalOutputTokens: number;
  readonly kinds: ReadonlyMap<string, TargetKind>;
}

/** A service that targets belong to. */
export interface Service {
  readonly name: string;
  /** Present where the service's model is spread over its targets. */
  readonly engine: EngineProfile | undefined;
}

/** A customer, found by one of its keys. */
export interface Customer {
  readonly name: string;
  /** Goes before the route's priority where present. */
  readonly priority: number | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
}

/** A whole configuration. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  /** Undefined where callers need no key. */
  readonly customersByKey: ReadonlyMap<string, Customer> | undefined;
}

/** Consecutive layers, `to` exclusive. */
export interface Span {
  readonly from: number;
  readonly to: number;
}

/** What a target says of itself in the directory. */
export interface TargetRecord {
  readonly id: string;
  readonly service: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly domain: string;
  readonly state: "ready" | "draining";
  /** Wall-clock start of the target's process, 0 where it is not told. */
  readonly bornMs: number;
  readonly kind: string | undefined;
  readonly span: Span | undefined;
}

/** A target's answer to a question about its state. */
export interface TargetReport {
  readonly bornMs: number;
  /** Orders begun since the target's start; an order may name the expected value. */
  readonly orderSeq: number;
  readonly isBusy: boolean;
  readonly kind: string | undefined;
  readonly span: Span | undefined;
  /** Over 1: the target is slow. */
  readonly slowness: number;
  readonly active: number;
  readonly queued: number;
  /** Tokens x layers that are held and cannot yield. */
  readonly usedTokenLayers: number;
  readonly totalTokenLayers: number;
  /** Requests that wait for a target which does not answer. */
  readonly stalled: readonly StalledRequest[];
}

/** A request that is held up, and the address that it waits for. */
export interface StalledRequest {
  readonly requestId: string;
  readonly address: string;
}

/** A part of a path: a target and the layers that it runs. */
export interface PathStage extends Span {
  readonly targetId: string;
  readonly address: string;
}

/** What the core reads from a caller's headers. */
export interface RequestMetadata {
  readonly requestId: string | undefined;
  /** Time that the caller waits, from arrival. */
  readonly waitMs: number | undefined;
  readonly key: string | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's own estimate. */
  readonly estimatedOutputTokens: number | undefined;
  readonly lastEventId: number | undefined;
}

/** What a forwarded request carries beside the caller's own headers. */
export interface ForwardMetadata {
  readonly targetId: string;
  readonly remainingMs: number;
  readonly customer: string | undefined;
  readonly path: readonly PathStage[] | undefined;
  /** Set where a stream goes on at another target. */
  readonly lastEventId: number | undefined;
  /** 0 is the most urgent, 9 the least. */
  readonly urgency: number | undefined;
}

/** What a target's answer says beside its status. */
export interface ResponseMetadata {
  readonly requestId: string | undefined;
  /** The target vouches for the answer's body. */
  readonly isSigned: boolean;
  /** The target states that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** Address of the target of the path that is at fault. */
  readonly failedStageAddress: string | undefined;
  readonly load: TargetLoad | undefined;
}

/** A target's own count of its requests. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Headers as Node.js gives them: names and values by turns. */
export type RawHeaders = readonly string[];

/** How an order to a target ended. */
export type OrderOutcome =
  | { readonly kind: "begun" }
  | { readonly kind: "already" }
  | {
    readonly kind: "refused";
    readonly status: number;
    readonly address?: string;
  }
  | { readonly kind: "unknown"; readonly reason: string };

/** A host of the router. */
export interface HostRecord {
  readonly id: string;
  readonly domain: string;
  /** Where other hosts reach it by datagrams. */
  readonly ip: string;
  readonly port: number;
  /** Wall-clock start of its process. */
  readonly bornMs: number;
}

/** A record of a keyed log; without a value the key is dropped. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** One read of a keyed log. */
export type KeyedRead =
  | {
    readonly kind: "records";
    readonly records: readonly KeyedRecord[];
    readonly nextOffset: number;
    /** The read reached the end of the log. */
    readonly isComplete: boolean;
    /** Present where another host answered in the log's place. */
    readonly relay?: RelayedRead;
  }
  | { readonly kind: "expired" };

/** What another host told of its own reads of a log. */
export interface RelayedRead {
  /** From the call's start to the moment up to which all records are known. */
  readonly watermarkDeltaMs: number;
  /** Time since the log's last return after an outage. */
  readonly sinceRecoveryMs: number;
}

/** The newest record of each key, and where to read on. */
export interface KeyedSnapshot {
  readonly records: readonly KeyedRecord[];
  readonly nextOffset: number;
}

/** The members of the deploy settings that the core uses. */
export interface HostSettings {
  readonly hostId: string;
  readonly domain: string;
  readonly ip: string;
  readonly frontend: Endpoint;
  readonly readiness: Endpoint;
  readonly metrics: Endpoint;
  readonly peerPort: number;
  readonly bounds: HostBounds;
}

/** Bounds that the deployment states. */
export interface HostBounds {
  /** A key that was taken away may be honoured this long. */
  readonly revokeMs: number;
  readonly drainMs: number;
  readonly graceMs: number;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Repeats beyond the ratio, over all hosts. */
  readonly retrySlack: number;
  /** How long a target waits for a silent one. */
  readonly stallMs: number;
}
