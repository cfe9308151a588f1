/**
 * Records of the log stream that holds the configuration, and the messages in
 * which hosts pass them on.
 *
 * @module
 */

import { z } from "zod";
import type { LogRecord } from "../clients/types.ts";
import type { Config } from "./schema.ts";
import type { AuditEntry, ConfigState } from "./types.ts";

/** The log stream of the configuration. */
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
  /** Offset of the record that made the version. */
  offset: z.int().min(-1),
  /** Every record below this offset is contained in the snapshot. */
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

/** An operator's change; it counts only if `baseVersion` is in force before it. */
export type ChangeRecord = z.infer<typeof changeSchema>;

/** The configuration in force before `nextOffset`, for readers that start late. */
export type SnapshotRecord = z.infer<typeof snapshotSchema> & {
  readonly config: Config;
};

/** The word that most hosts know all changes below `stableOffset`. */
export type AcceptedRecord = z.infer<typeof acceptedSchema>;

export type ConfigRecord = ChangeRecord | SnapshotRecord | AcceptedRecord;

/** Reads the data of a log record; undefined when it is none of ours. */
export function parseRecord(record: LogRecord): ConfigRecord | undefined {
  const parsed = recordSchema.safeParse(record.data);
  return parsed.success ? parsed.data as ConfigRecord : undefined;
}

/** What became of one record, by the record's own id. */
export interface RecordResult extends AuditEntry {
  readonly id: string;
}

/** A snapshot that the log holds. */
export interface SnapshotPosition {
  readonly offset: number;
  readonly atWallMs: number;
  readonly nextOffset: number;
}

/** A reduced state, accepted as a whole, that can be handed to another host. */
export interface LedgerSnapshot {
  readonly state: ConfigState;
  readonly nextOffset: number;
  readonly lastSnapshot?: SnapshotPosition;
  readonly results: readonly RecordResult[];
}
