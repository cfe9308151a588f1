/**
 * Sizes and limits of a soak deployment.
 *
 * @module
 */

import { HOST_NAME, KEY } from "../standins/users_platform/deployment.ts";
import type { Bounds, RouteName } from "./types.ts";

export { HOST_NAME };

/** API keys by customer name. The key of `second` is revoked by some faults. */
export const CUSTOMER_KEYS: Readonly<Record<string, string>> = {
  first: KEY,
  second: "key-of-second",
};
export const UNKNOWN_KEY = "key-of-nobody";
export const DEADLINE_MS = 3_000;

/** Streaming routes of the model service; the second is less urgent. */
export const URGENT_ROUTE: RouteName = "briefs";
export const BURST_ROUTE: RouteName = "bulk";

/** A request whose body contains this ends the server that executes it. */
export const CRASHING_TEXT = "ends its server";
export const CRASHING_ROUTES: readonly RouteName[] = [
  "briefs",
  "slips",
  "acks",
];
export const CRASH_RESTART_MS = 1_000;
/** The same for a request whose prompt has this part. */
export const CRASHING_PART = "dead";
/** A part that prompts have beside it, and all other prompts too. */
export const SHARED_PART = "beef";

export const HOST_COUNT = 4;
export const MODEL_SERVER_COUNT = 12;
export const PLAIN_SERVER_COUNT = 3;
/** Failure domains, assigned to hosts and servers in turn. */
export const DOMAINS = ["a", "b"];

/** Limits that the hosts are set to; `recoveryMs` is the platform's own limit. */
export const BOUNDS: Bounds = {
  revokeMs: 5_000,
  drainMs: 2_000,
  recoveryMs: 15_000,
  graceMs: 8_000,
  startupMs: 12_000,
  restingCores: 0.1,
  residentBytes: 350e6,
  retryRatio: 0.2,
  retryWindowMs: 10_000,
  retrySlack: 24,
  maxAttempts: 2,
  events: 12,
  maxLayers: 2,
  stableWindowMs: 3_000,
  maxCrashes: 3,
  maxSendsAfterCrashes: 3,
  crashReactionMs: 3_000,
  maxPartCrashes: 5,
};

/** How long requests continue after the recovery time. */
export const CHECKED_RECOVERY_MS = 3_000;
/** The platform starts a process that has ended again after this time. */
export const HOST_RESTART_MS = 300;
/** Time after the last request until hosts are at rest, and how long that is judged. */
export const SETTLING_MS = 1_000;
export const REST_MS = 2_000;
/** Time in which a new deployment must become ready. */
export const STARTUP_TIMEOUT_MS = 20_000;

/** `bounds` of the hosts' settings. */
export const HOST_BOUNDS: Readonly<Record<string, number>> = {
  "revoke-ms": BOUNDS.revokeMs,
  "drain-ms": BOUNDS.drainMs,
  "grace-s": BOUNDS.graceMs / 1_000,
  "retry-ratio": BOUNDS.retryRatio,
  "retry-window-s": BOUNDS.retryWindowMs / 1_000,
  "retry-slack": BOUNDS.retrySlack,
  "stall_ms": 3_000,
};
