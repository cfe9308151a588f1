/**
 * Records of the log stream that holds the configuration, and the messages in
 * which hosts pass them on.
 *
 * @module
 */

import { z } from "zod";
import type { LogRecord } from "../platform/types.ts";
import type { Config } from "./schema.ts";

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

const recordSchema = z.discriminatedUnion("kind", [
  changeSchema,
  snapshotSchema,
]);

/** An operator's change; it counts only if `baseVersion` is in force before it. */
export type ChangeRecord = z.infer<typeof changeSchema>;

/** The configuration in force before `nextOffset`, for readers that start late. */
export type SnapshotRecord = z.infer<typeof snapshotSchema> & {
  readonly config: Config;
};

export type ConfigRecord = ChangeRecord | SnapshotRecord;

/** Reads the data of a log record; undefined when it is none of ours. */
export function parseRecord(record: LogRecord): ConfigRecord | undefined {
  const parsed = recordSchema.safeParse(record.data);
  return parsed.success ? parsed.data as ConfigRecord : undefined;
}
