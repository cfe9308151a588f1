/**
 * Sizes and bounds of a soak.
 *
 * @module
 */

import { HOST_NAME, KEY } from "../standins/users_platform/deployment.ts";
import type { Bounds } from "./types.ts";

export { HOST_NAME };

/** Keys by the name of their customer; the second one's is revoked now and then. */
export const CUSTOMER_KEYS: Readonly<Record<string, string>> = {
  first: KEY,
  second: "key-of-second",
};
export const UNKNOWN_KEY = "key-of-nobody";
/** Time that a caller gives a request. */
export const DEADLINE_MS = 3_000;

export const HOST_COUNT = 4;
export const MODEL_SERVER_COUNT = 12;
export const PLAIN_SERVER_COUNT = 3;
/** Hosts and servers alternate between these. */
export const DOMAINS = ["a", "b"];

/** What the hosts' settings say; recovery is the platform's own bound. */
export const BOUNDS: Bounds = {
  revokeMs: 5_000,
  drainMs: 2_000,
  recoveryMs: 15_000,
  retryRatio: 0.2,
  retryWindowMs: 10_000,
  retrySlack: 24,
  maxAttempts: 2,
  events: 12,
  maxLayers: 2,
};

/** Requests go on this long after the time to recover. */
export const CHECKED_RECOVERY_MS = 3_000;
/** A new deployment serves within this time. */
export const STARTUP_TIMEOUT_MS = 20_000;
