/**
 * Types of the configuration service.
 *
 * @module
 */

import type { Config } from "./schema.ts";

/** A version of the configuration; version 0 is the empty one. */
export interface ConfigState {
  readonly version: number;
  /** Offset of the log record that created this version; -1 for version 0. */
  readonly offset: number;
  readonly config: Config;
}

/** A change requested by an operator. */
export interface PatchRequest {
  readonly baseVersion: number;
  readonly format: "merge-patch" | "json-patch";
  readonly patch: unknown;
  /** Name of the operator, for the audit trail. */
  readonly operator: string;
  readonly note?: string;
}

/** An accepted change. */
export interface ConfigChange {
  readonly version: number;
  readonly offset: number;
}

/** An entry of the audit trail, derived from the records of the log. */
export interface AuditEntry {
  readonly offset: number;
  readonly atWallMs: number;
  readonly operator: string;
  readonly baseVersion: number;
  /**
   * `accepted`: created a version; `superseded`: its base version was no longer
   * the newest; `invalid`: the resulting configuration was not valid.
   */
  readonly result: "accepted" | "superseded" | "invalid";
  readonly version?: number;
  readonly note?: string;
  readonly patch: unknown;
}
