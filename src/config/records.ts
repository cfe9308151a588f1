/**
 * Records of the configuration stream, and the snapshots that hosts send each
 * other.
 *
 * @module
 */

import { z } from "zod";
import type { LogRecord } from "../clients/types.ts";
import type { Config } from "./schema.ts";
import type { AuditEntry, ConfigState } from "./types.ts";

/** Name of the configuration's log stream. */
export const CONFIG_STREAM = "config";

const changeSchema = z.object({
  kind: z.literal("change"),
  baseVersion: z.int().min(0),
  format: z.enum(["merge-patch", "json-patch"]),
  patch: z.unknown(),
  operator: z.string(),
  note: z.string().optional(),
  atWallMs: z.number(),
});

const snapshotSchema = z.object({
  kind: z.literal("snapshot"),
  version: z.int().min(0),
  /** Offset of the change that created the version; -1 if there was none. */
  offset: z.int().min(-1),
  /** The snapshot contains every record below this offset. */
  nextOffset: z.int().min(0),
  config: z.unknown(),
  writer: z.string(),
});

const acceptedSchema = z.object({
  kind: z.literal("accepted"),
  stableOffset: z.int().min(0),
  writer: z.string(),
});

const recordSchema = z.discriminatedUnion("kind", [
  changeSchema,
  snapshotSchema,
  acceptedSchema,
]);

/** An operator's change; it is accepted only on top of `baseVersion`. */
export type ChangeRecord = z.infer<typeof changeSchema>;

/** The configuration before `nextOffset`, for readers that start after it. */
export type SnapshotRecord = z.infer<typeof snapshotSchema> & {
  readonly config: Config;
};

/** States that a majority of the hosts has all changes below `stableOffset`. */
export type AcceptedRecord = z.infer<typeof acceptedSchema>;

export type ConfigRecord = ChangeRecord | SnapshotRecord | AcceptedRecord;

/** Parses the data of a log record; undefined if it is of another kind. */
export function parseRecord(record: LogRecord): ConfigRecord | undefined {
  const parsed = recordSchema.safeParse(record.data);
  return parsed.success ? parsed.data as ConfigRecord : undefined;
}

/** Result of a change, with the id of its record. */
export interface RecordResult extends AuditEntry {
  readonly id: string;
}

/** Position of a snapshot in the log. */
export interface SnapshotPosition {
  readonly offset: number;
  readonly atWallMs: number;
  readonly nextOffset: number;
}

/** A reduced state without pending changes, which can be sent to another host. */
export interface LedgerSnapshot {
  readonly state: ConfigState;
  readonly nextOffset: number;
  readonly lastSnapshot?: SnapshotPosition;
  readonly results: readonly RecordResult[];
}
