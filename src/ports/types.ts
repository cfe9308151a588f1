/**
 * Types shared by the routing core and its adapters: the active configuration,
 * the state of targets, and the outcome of calls to them. Adapters decode
 * external formats into these types, which are independent of any wire format.
 *
 * @module
 */

import type { Endpoint } from "../common/http_call.ts";

export type { Endpoint };

/** Which requests may be retried after an attempt whose outcome is unknown. */
export type RetryPolicy = "idempotent" | "non-idempotent" | "stream";

/** A service that receives a share of a route's traffic. */
export interface WeightedService {
  readonly service: string;
  /** Share of the route's requests, relative to the sum of the route's weights. */
  readonly weight: number;
}

/** A routing rule that maps a host name and a path prefix to services. */
export interface Route {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly retryPolicy: RetryPolicy;
  readonly timeoutMs: number;
  /** Latency goal for the first byte of the response. */
  readonly firstByteGoalMs: number;
  /** Latency goal for the gap between two events of a stream. */
  readonly eventGapGoalMs: number | undefined;
  /** Maximum number of targets to which one request is sent. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Requests need no API key. */
  readonly isPublic: boolean;
  /** A stream may resume at another target after its last event. */
  readonly isResumable: boolean;
  readonly split: readonly WeightedService[];
}

/** A kind of accelerator host. */
export interface TargetKind {
  readonly name: string;
  readonly memoryMb: number;
  /** Multiplier for the duration of a decode step. */
  readonly decodeTimeFactor: number;
  /** Multiplier for the prefill time of a prompt. */
  readonly prefillTimeFactor: number;
}

/** Published performance profile of a service whose model is split across targets. */
export interface EngineProfile {
  readonly layers: number;
  readonly layerMb: number;
  /** KV cache size of one token, summed over all layers. */
  readonly kvBytesPerToken: number;
  /** Maximum number of concurrent requests for which a target is the first stage. */
  readonly slots: number;
  readonly stepMs: number;
  readonly perSequenceMs: number;
  readonly contextPerKiloTokenMs: number;
  readonly prefillTokensPerMs: number;
  /** Maximum number of prompt tokens in one prefill step. */
  readonly chunkTokens: number;
  /** Bytes sent to the next stage of a path for each token. */
  readonly activationBytes: number;
  /**
   * Bandwidth of the link between two failure domains, shared by all transfers;
   * Infinity if not configured.
   */
  readonly domainLinkMbps: number;
  /** Time to load all layers of the model. */
  readonly loadMs: number;
  readonly maxConcurrentLoads: number;
  readonly typicalPromptTokens: number;
  readonly typicalAnswerTokens: number;
  readonly kinds: ReadonlyMap<string, TargetKind>;
}

/** A service that targets belong to. */
export interface Service {
  readonly name: string;
  /** Defined if the service's model is split across its targets. */
  readonly engine: EngineProfile | undefined;
}

export interface Customer {
  readonly name: string;
  /** Overrides the route's priority if defined. */
  readonly priority: number | undefined;
}

/** Size and time limits for callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMs: number;
  readonly idleMs: number;
}

export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  readonly limits: CallerLimits;
  /** Undefined if callers need no API key. */
  readonly customersByKey: ReadonlyMap<string, Customer> | undefined;
}

/** A contiguous range of layers; `to` is exclusive. */
export interface Span {
  readonly from: number;
  readonly to: number;
}

/** A target's registration in the directory. */
export interface TargetRecord {
  readonly id: string;
  readonly service: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly domain: string;
  readonly state: "ready" | "draining";
  /** Wall-clock start time of the target's process; 0 if not reported. */
  readonly bornMs: number;
  readonly kind: string | undefined;
  readonly span: Span | undefined;
}

/** A target's response to a status query. */
export interface TargetReport {
  readonly bornMs: number;
  /**
   * Number of orders begun since the target started; an order may state the
   * value that it expects.
   */
  readonly orderSeq: number;
  readonly isBusy: boolean;
  readonly kind: string | undefined;
  readonly span: Span | undefined;
  /** Slowdown factor reported by the target; above 1 if it is slow. */
  readonly slowness: number;
  readonly active: number;
  readonly queued: number;
  /** Tokens times layers of KV cache in use that cannot be evicted. */
  readonly usedTokenLayers: number;
  readonly totalTokenLayers: number;
  /** Requests that wait for an unresponsive target. */
  readonly stalled: readonly StalledRequest[];
  /** Requests a second that the target accepts from all hosts together. */
  readonly requestLimitPerS?: number;
}

/**
 * Result of a report query: undefined if no valid report arrived in time;
 * `withheld` if it was not sent, since the target limits its requests.
 */
export type ReportOutcome = TargetReport | "withheld" | undefined;

/** A request that is blocked on a target, with that target's address. */
export interface StalledRequest {
  readonly requestId: string;
  readonly address: string;
}

/** One stage of a path: a target and the layers that it runs. */
export interface PathStage extends Span {
  readonly targetId: string;
  readonly address: string;
}

/** Request metadata decoded from a caller's headers. */
export interface RequestMetadata {
  readonly requestId: string | undefined;
  /** Time that the caller is willing to wait, counted from the request's arrival. */
  readonly waitMs: number | undefined;
  readonly key: string | undefined;
  readonly promptTokens: number;
  readonly maxAnswerTokens: number;
  /** The caller's estimate of the output length. */
  readonly likelyAnswerTokens: number | undefined;
  /**
   * Ids of the parts of the prompt that other requests may share, in order;
   * without the last part, which is the request's or its session's own.
   */
  readonly sharedPromptParts: readonly string[];
  readonly lastEventId: number | undefined;
}

/** Metadata added to a forwarded request. */
export interface ForwardMetadata {
  readonly targetId: string;
  readonly remainingMs: number;
  readonly customer: string | undefined;
  readonly path: readonly PathStage[] | undefined;
  /** Defined if a stream resumes at another target. */
  readonly lastEventId: number | undefined;
  /** 0 is the most urgent, 9 the least. */
  readonly urgency: number | undefined;
}

/** Metadata of a request that another host serves. */
export type DelegationMetadata = Pick<
  ForwardMetadata,
  "remainingMs" | "lastEventId"
>;

/** Metadata decoded from the headers of a target's response. */
export interface ResponseMetadata {
  readonly requestId: string | undefined;
  /** The response carries the target's server signature. */
  readonly isSigned: boolean;
  /** The target reports that it did not execute the request. */
  readonly isNotExecuted: boolean;
  /** Address of the target whose stage of the path failed. */
  readonly failedStageAddress: string | undefined;
  readonly load: TargetLoad | undefined;
  /** Requests a second that the target accepts from all hosts together. */
  readonly requestLimitPerS: number | undefined;
  /** The target says that it leaves. */
  readonly isLeaving: boolean;
  /** Time for which a target that rejects a request wants no other. */
  readonly retryAfterMs: number | undefined;
}

/** Request counts as reported by a target. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Alternating header names and values, as in `IncomingMessage.rawHeaders`. */
export type RawHeaders = readonly string[];

/** Outcome of an order to a target. */
export type OrderOutcome =
  | { readonly kind: "begun" }
  | { readonly kind: "already" }
  | {
    readonly kind: "refused";
    readonly status: number;
    readonly address?: string;
  }
  | { readonly kind: "unknown"; readonly reason: string };

/** Registration of a router host. */
export interface HostRecord {
  readonly id: string;
  readonly domain: string;
  /** Address for datagrams from other hosts. */
  readonly ip: string;
  readonly port: number;
  /** Wall-clock start time of the host's process. */
  readonly bornMs: number;
}

/** What a host knows of the targets that ended while they ran one content. */
export interface LossEntry {
  /** A content, or a part of a prompt, see `quarantine_ids.ts`. */
  readonly contentId: string;
  /** How often the content was cleared; losses before that no longer count. */
  readonly clearCount: number;
  /** Targets lost in sequence since then. */
  readonly losses: number;
  /** Targets lost in sequence since the last complete response. */
  readonly totalLosses: number;
  /**
   * Processes of targets among them, sorted; the same process ends only once,
   * however many copies and hosts it fails.
   */
  readonly processes: readonly string[];
  /** Last event that was sent before any of these losses; -1 if none. */
  readonly lossEventId: number;
  /**
   * Ids that all lost requests had beside this one, so that each of them may be
   * the cause; undefined if they are not recorded.
   */
  readonly companions?: readonly string[];
  /** The latest send after the content was withheld; undefined if none. */
  readonly trial?: ContentTrial;
}

/** A send of a content that was withheld, on which the other sends wait. */
export interface ContentTrial {
  /** Rises with each trial of an entry. */
  readonly number: number;
  /** The host that sends; empty if the trial ended without a result. */
  readonly hostId: string;
}

/** What a host knows of the limit of a target, and has sent there. */
export interface SharedLimit {
  readonly targetId: string;
  /** Undefined if the target has withdrawn its limit. */
  readonly limitPerS: number | undefined;
  /** Time since a response of the target showed it. */
  readonly ageMs: number;
  /** Requests of this host to the target in the last seconds. */
  readonly recentSends: number;
}

/** The records that the hosts share through the store. */
export interface RegistrySnapshot {
  readonly hosts: readonly HostRecord[];
  readonly quarantined: readonly LossEntry[];
  /** The last era of the store that a host held for settled. */
  readonly settledEra: number | undefined;
}

/** A record of a keyed log. An undefined value is a tombstone, which deletes the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Buffer | undefined;
}

/** Result of one read of a keyed log. */
export type KeyedRead =
  | {
    readonly kind: "records";
    readonly records: readonly KeyedRecord[];
    readonly nextOffset: number;
    /** The read reached the end of the log. */
    readonly isComplete: boolean;
    /** Era of the log; undefined if it has none. */
    readonly era?: number;
    /** Defined if another host answered instead of the log. */
    readonly relay?: RelayedRead;
  }
  | { readonly kind: "expired"; readonly era?: number };

/** Freshness of a log's records as reported by another host. */
export interface RelayedRead {
  /**
   * Watermark (time up to which all records are known) relative to the start of
   * the call.
   */
  readonly watermarkDeltaMs: number;
  /** Time since the last outage of the log ended. */
  readonly sinceRecoveryMs: number;
}

/** The newest record of each key, and the offset of the next read. */
export interface KeyedSnapshot {
  readonly records: readonly KeyedRecord[];
  readonly nextOffset: number;
  /** Era of the log; undefined if it has none. */
  readonly era?: number;
}

/** Both ports belong to the range; port 0 leaves the choice to the system. */
export interface PortRange {
  readonly first: number;
  readonly last: number;
}

/** The deployment settings that the core uses. */
export interface HostSettings {
  readonly hostId: string;
  readonly domain: string;
  readonly ip: string;
  readonly frontend: Endpoint;
  readonly readiness: Endpoint;
  readonly metrics: Endpoint;
  /** Ports of which the host uses one for other hosts, over UDP and TCP. */
  readonly peerPorts: PortRange;
  /** Local address of connections to targets; by default, the system's choice. */
  readonly outgoingIp?: string;
  /** No process ran on this host before, as the whole system starts first. */
  readonly isFirstStart: boolean;
  readonly bounds: HostBounds;
}

export interface DecodedSettings {
  readonly host: HostSettings;
  /** Error messages of invalid members, each replaced by a default. */
  readonly faults: readonly string[];
}

/** Limits set by the deployment. */
export interface HostBounds {
  /** Maximum time for which a revoked key may still be accepted. */
  readonly revokeMs: number;
  readonly drainMs: number;
  readonly graceMs: number;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries allowed beyond the ratio, summed over all hosts. */
  readonly retrySlack: number;
  /** How long a target waits for an unresponsive next stage. */
  readonly stallMs: number;
}
