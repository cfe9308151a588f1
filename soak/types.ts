/**
 * Types of the soak: its fault schedule, and the observations that are checked
 * after a run.
 *
 * @module
 */

/** Kinds of fault. Hosts are real processes; servers are reached through proxies. */
export type FaultKind =
  | "host-kill"
  | "host-stop"
  | "host-pause"
  | "host-reload"
  | "host-clock-jump"
  | "server-silent"
  | "server-reset"
  | "server-delay"
  | "server-answers-lost"
  | "server-errors"
  | "server-refuses"
  | "server-cuts"
  | "server-leaves"
  | "store-silent"
  | "store-busy"
  | "store-reset"
  | "store-delay"
  | "store-drill"
  | "key-revoked"
  | "key-revoked-unseen"
  | "config-written"
  | "content-crashes";

/** One fault. Both times are relative to the start of the requests. */
export interface Fault {
  readonly kind: FaultKind;
  readonly startMs: number;
  readonly endMs: number;
  /** Index of the host or server that the fault is injected into. */
  readonly index: number;
}

export interface ScheduleOptions {
  readonly seed: number;
  /** Duration of fault injection; the run also has fault-free time before and after. */
  readonly faultPhaseMs: number;
  readonly hosts: number;
  readonly servers: number;
  /** How many of the servers hold no layers; these have the highest indices. */
  readonly plainServers: number;
}

export type RouteName = "briefs" | "slips" | "acks" | "bulk";

/** One request as its caller observed it. */
export interface Attempt {
  readonly id: string;
  readonly route: RouteName;
  readonly key: string;
  readonly host: string;
  /** Sent as the body. */
  readonly content: string;
  /** The part of its prompt that ends servers; absent for other requests. */
  readonly crashingPart?: string;
  readonly startMs: number;
  endMs: number | undefined;
  status: number | undefined;
  isWhole: boolean;
  isNotExecuted: boolean;
  hasDisconnected: boolean;
  echoedId: string | undefined;
  signature: string | undefined;
  /** The header of the answer as it was received. */
  retryAfter?: string;
  body: string;
}

/** A request that a back end started to execute. */
export interface Execution {
  readonly attemptId: string;
  readonly serverId: string;
  readonly atMs: number;
}

/** An order that a back end received. */
export interface ReceivedOrder {
  readonly serverId: string;
  readonly order: Readonly<Record<string, unknown>>;
}

/** A time interval on the monotonic clock of the soak process. */
export interface Interval {
  readonly startMs: number;
  readonly endMs: number;
}

export interface SentSignal {
  readonly name: NodeJS.Signals;
  readonly atMs: number;
  /** Sent while the runtime was starting, which ends the process at any signal. */
  readonly isBeforeProgram?: boolean;
}

/** One process of a host, from its start to its end. */
export interface HostLife {
  readonly host: string;
  readonly startMs: number;
  /** Signals from the soak, in order. */
  readonly signals: readonly SentSignal[];
  /** When it first answered that it is ready. */
  readyMs: number | undefined;
  /** Undefined while it runs. */
  end: ProcessEnd | undefined;
  /** What it used, in order. */
  readonly samples: ProcessSample[];
}

export interface ProcessSample {
  readonly atMs: number;
  /** Processor time since its start. */
  readonly processorMs: number;
  readonly residentBytes: number;
  readonly descriptors: number;
}

export interface ProcessEnd {
  readonly atMs: number;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** The end of its log. */
  readonly lastLines: readonly string[];
}

/** A server that named a limit for its requests, from `startMs` on. */
export interface LimitedServer {
  readonly serverId: string;
  /** Requests a second from all hosts together. */
  readonly limitPerS: number;
  readonly startMs: number;
  /** Times of all its requests, queries and orders. */
  readonly arrivedAtMs: readonly number[];
  /** Times at which its processes ended. */
  readonly endedAtMs: readonly number[];
}

/** When hosts were cut off from all servers. */
export interface LinkCut extends Interval {
  readonly hosts: readonly string[];
}

/** A pause that a server asked a host for. */
export interface AskedPause {
  readonly serverId: string;
  readonly host: string;
  readonly atMs: number;
  readonly endMs: number;
  /** Times of all requests, queries and orders of that host there. */
  readonly arrivedAtMs: readonly number[];
}

/** The observations of one run, against which the invariants are checked. */
export interface History {
  readonly attempts: readonly Attempt[];
  readonly executions: readonly Execution[];
  readonly orders: readonly ReceivedOrder[];
  /** When the key of the second customer was revoked. */
  readonly revocations: readonly Interval[];
  /** When servers were removed from the store, counted from their drain notice. */
  readonly absences: readonly (Interval & { readonly serverId: string })[];
  /** When the store failed or was slow. */
  readonly storeFaults: readonly Interval[];
  /** When hosts were stopped, killed, paused or had their clocks set. */
  readonly hostFaults: readonly (Interval & { readonly host: string })[];
  readonly lives: readonly HostLife[];
  /** When no caller sent: before the requests, and after them. */
  readonly rests: readonly Interval[];
  readonly limits: readonly LimitedServer[];
  /** When hosts were cut off from all servers. */
  readonly linkCuts:
    readonly (Interval & { readonly hosts: readonly string[] })[];
  readonly pauses: readonly AskedPause[];
  /** When more requests of `BURST_ROUTE` were sent than servers had room for. */
  readonly bursts: readonly Interval[];
  /** When the last fault ended; undefined if the run ended before that. */
  readonly faultsEndMs: number | undefined;
  /** Streams that servers still executed after all callers had finished. */
  readonly leakedStreams: number;
  /** Calls of hosts that the store or a server refused as malformed. */
  readonly invalidCalls: readonly string[];
  /** When the observations end. */
  readonly untilMs: number;
}

/** Limits that a run is configured with and checked against. */
export interface Bounds {
  readonly revokeMs: number;
  readonly drainMs: number;
  readonly recoveryMs: number;
  /** Time that a process has to end after SIGTERM. */
  readonly graceMs: number;
  /** Time in which a process becomes ready if it reaches the store and servers. */
  readonly startupMs: number;
  /** Cores that a process may use while no caller sends. */
  readonly restingCores: number;
  /** Limit of the memory of a process. */
  readonly residentBytes: number;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retrySlack: number;
  readonly maxAttempts: number;
  readonly events: number;
  readonly maxLayers: number;
  /** Time after a fault of a host from which bounds on its knowledge hold. */
  readonly stableWindowMs: number;
  /** Servers that one content may end before it counts as their cause. */
  readonly maxCrashes: number;
  /** Sends of such a content that may follow later than `crashReactionMs`. */
  readonly maxSendsAfterCrashes: number;
  readonly crashReactionMs: number;
  /** The same as `maxCrashes` for a part of a prompt. */
  readonly maxPartCrashes: number;
}
