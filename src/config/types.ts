/**
 * Messages about configuration.
 *
 * @module
 */

import type { Config } from "./schema.ts";

/** A configuration with its number; number 0 is the empty one. */
export interface ConfigState {
  readonly version: number;
  /** Offset of the log record that made this version, -1 before the first. */
  readonly offset: number;
  readonly config: Config;
}

/** A change asked for by an operator. */
export interface PatchRequest {
  readonly baseVersion: number;
  readonly format: "merge-patch" | "json-patch";
  readonly patch: unknown;
  /** Operator's name, for the audit trail. */
  readonly operator: string;
  readonly note?: string;
}

/** An accepted change. */
export interface ConfigChange {
  readonly version: number;
  readonly offset: number;
}

/** One line of the audit trail, read from the log's own records. */
export interface AuditEntry {
  readonly offset: number;
  readonly atWallMs: number;
  readonly operator: string;
  readonly baseVersion: number;
  /** `accepted` made a version; `superseded` lost the race for it. */
  readonly result: "accepted" | "superseded" | "invalid";
  readonly version?: number;
  readonly note?: string;
  readonly patch: unknown;
}
