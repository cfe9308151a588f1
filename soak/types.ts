/**
 * What a soak does and what it sees.
 *
 * @module
 */

/** Kinds of trouble; `hosts` are real processes, `servers` stand behind proxies. */
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
  | "key-revoked"
  | "key-revoked-unseen"
  | "config-written";

/** One trouble; it is over at `endMs`, counted like `startMs` from the first request. */
export interface Fault {
  readonly kind: FaultKind;
  readonly startMs: number;
  readonly endMs: number;
  /** Which host or server. */
  readonly index: number;
}

/** Options of a schedule. */
export interface ScheduleOptions {
  readonly seed: number;
  /** Time with trouble; some without it comes before and after. */
  readonly faultPhaseMs: number;
  readonly hosts: number;
  readonly servers: number;
  /** The last of the servers, which hold no layers. */
  readonly plainServers: number;
}

/** Routes that callers use. */
export type RouteName = "briefs" | "slips" | "acks";

/** One request as its caller saw it. */
export interface Attempt {
  readonly id: string;
  readonly route: RouteName;
  readonly key: string;
  readonly host: string;
  readonly startMs: number;
  endMs: number | undefined;
  status: number | undefined;
  isWhole: boolean;
  isNotExecuted: boolean;
  hasDisconnected: boolean;
  echoedId: string | undefined;
  signature: string | undefined;
  body: string;
}

/** A request that a back end began to run. */
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

/** A span of time, on the same clock as all others. */
export interface Interval {
  readonly startMs: number;
  readonly endMs: number;
}

/** Everything that the promises are checked against. */
export interface History {
  readonly attempts: readonly Attempt[];
  readonly executions: readonly Execution[];
  readonly orders: readonly ReceivedOrder[];
  /** When the second key was not valid. */
  readonly revocations: readonly Interval[];
  /** When servers were gone from the store's list. */
  readonly absences: readonly (Interval & { readonly serverId: string })[];
  /** When the store did not answer, or late. */
  readonly storeFaults: readonly Interval[];
  /** When the last trouble ended; undefined where the run was cut short. */
  readonly faultsEndMs: number | undefined;
  /** Streams that servers still ran after all callers had ended. */
  readonly leakedStreams: number;
}

/** The bounds that a run is configured with. */
export interface Bounds {
  readonly revokeMs: number;
  readonly drainMs: number;
  readonly recoveryMs: number;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retrySlack: number;
  readonly maxAttempts: number;
  readonly events: number;
  readonly maxLayers: number;
}
