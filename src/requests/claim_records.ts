/**
 * Records of the claim streams `claims-0` … `claims-(P-1)`, and the messages
 * that carry them between hosts.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { z } from "zod";
import type { ClaimKey } from "./services.ts";

/** Streams that claims are spread over; the same on every host. */
export const CLAIM_PARTITION_COUNT = 4;

/** Longest time for which a holder may dispatch, whatever the deadline. */
export const MAX_CLAIM_DURATION_MS = 3_600_000;

const text = z.string().min(1).max(128);
const result = z.enum(["ran", "may-have-run"]);

const claimOpSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("claim"),
    key: text,
    claimId: text,
    holder: text,
    /** Time for which the holder may still dispatch, from the append on. */
    lastsMs: z.int().min(0).max(MAX_CLAIM_DURATION_MS),
  }),
  z.strictObject({ kind: z.literal("release"), key: text, claimId: text }),
  z.strictObject({
    kind: z.literal("outcome"),
    key: text,
    claimId: text,
    result,
  }),
]);

/** One step of a claim's life. */
export type ClaimOp = z.infer<typeof claimOpSchema>;

/** How a claimed request ended. */
export type ClaimResult = z.infer<typeof result>;

const claimBatchSchema = z.strictObject({ ops: z.array(claimOpSchema) });

const claimOpOutcomeSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("won") }),
  z.strictObject({
    kind: z.literal("lost"),
    /** Who holds the key; absent when it has become free again. */
    claimId: text.optional(),
    holder: text.optional(),
    result: result.optional(),
  }),
  z.strictObject({ kind: z.literal("noted") }),
  z.strictObject({
    kind: z.literal("refused"),
    message: z.string(),
    retryAfterMs: z.number().min(0),
  }),
  z.strictObject({ kind: z.literal("unsettled"), message: z.string() }),
]);

/**
 * What became of an op. `won`, `lost` and `noted` are read from the log's
 * order; `refused` never reached the log; `unsettled` may yet appear there.
 */
export type ClaimOpOutcome = z.infer<typeof claimOpOutcomeSchema>;

const submitSchema = z.strictObject({
  partition: z.int().min(0).max(CLAIM_PARTITION_COUNT - 1),
  op: claimOpSchema,
  waitMs: z.number().min(0),
});

/** Parameters of the peer method `claims.submit`; it returns a `ClaimFate`. */
export type ClaimSubmit = z.infer<typeof submitSchema>;

const statusQuerySchema = z.strictObject({ claimId: text });

const claimStatusSchema = z.enum([
  "dead",
  "running",
  "ran",
  "may-have-run",
  "unknown",
]);

/** What a holder says of its own claim; `dead` never ran and never will. */
export type ClaimStatus = z.infer<typeof claimStatusSchema>;

/** Reads a record's data; undefined when it is not a batch of ops. */
export function parseClaimBatch(data: unknown): readonly ClaimOp[] | undefined {
  return claimBatchSchema.safeParse(data).data?.ops;
}

/** Reads the parameters of `claims.submit`; throws when they are malformed. */
export function parseClaimSubmit(parameters: unknown): ClaimSubmit {
  return submitSchema.parse(parameters);
}

/** Reads the answer of `claims.submit`. */
export function parseClaimOpOutcome(
  answer: unknown,
): ClaimOpOutcome | undefined {
  return claimOpOutcomeSchema.safeParse(answer).data;
}

/** Reads the parameters of `claims.status`; throws when they are malformed. */
export function parseClaimStatusQuery(parameters: unknown): string {
  return statusQuerySchema.parse(parameters).claimId;
}

/** Reads the answer of `claims.status`; anything odd counts as unknown. */
export function parseClaimStatus(answer: unknown): ClaimStatus {
  return claimStatusSchema.safeParse(answer).data ?? "unknown";
}

/**
 * Digest that stands for a key in records. It is cryptographic so that no
 * customer can craft a key that collides with another's.
 */
export function digestClaimKey(key: ClaimKey): string {
  return createHash("sha256")
    .update(JSON.stringify([key.customer, key.service, key.idempotencyKey]))
    .digest("base64url")
    .slice(0, 22);
}

/** The partition of a key digest. */
export function partitionOf(digest: string): number {
  const bytes = Buffer.from(digest.slice(0, 8), "base64url");
  return bytes.readUInt32BE(0) % CLAIM_PARTITION_COUNT;
}

/** The stream of a partition. */
export function claimStream(partition: number): string {
  return `claims-${partition}`;
}
