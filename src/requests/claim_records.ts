/**
 * Records of the claim streams `claims-0` … `claims-(P-1)`, and the messages
 * that carry them between hosts.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { z } from "zod";
import type { ClaimKey } from "./services.ts";

/** Number of claim streams; must be the same on every host. */
export const CLAIM_PARTITION_COUNT = 4;

/** Maximum time for which a holder may dispatch, whatever the deadline. */
export const MAX_CLAIM_DURATION_MS = 3_600_000;

const text = z.string().min(1).max(128);
const result = z.enum(["ran", "may-have-run"]);

const claimOpSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("claim"),
    key: text,
    claimId: text,
    holder: text,
    /** Time for which the holder may dispatch, from the append on. */
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

/** An operation on a claim. */
export type ClaimOp = z.infer<typeof claimOpSchema>;

/** How a claimed request ended. */
export type ClaimResult = z.infer<typeof result>;

const claimBatchSchema = z.strictObject({ ops: z.array(claimOpSchema) });

const claimOpOutcomeSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("won") }),
  z.strictObject({
    kind: z.literal("lost"),
    /** Claim that holds the key; absent if the key is free again. */
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
 * Outcome of an op. `won`, `lost` and `noted` follow from log order; `refused`
 * means that the op never reached the log, `unsettled` that it still may.
 */
export type ClaimOpOutcome = z.infer<typeof claimOpOutcomeSchema>;

const submitSchema = z.strictObject({
  partition: z.int().min(0).max(CLAIM_PARTITION_COUNT - 1),
  op: claimOpSchema,
  waitMs: z.number().min(0),
});

/** Parameters of peer method `claims.submit`; it returns a `ClaimOpOutcome`. */
export type ClaimSubmit = z.infer<typeof submitSchema>;

const statusQuerySchema = z.strictObject({ claimId: text });

const claimStatusSchema = z.enum([
  "dead",
  "running",
  "ran",
  "may-have-run",
  "unknown",
]);

/** Status of a claim by its holder; a `dead` claim never ran and never will. */
export type ClaimStatus = z.infer<typeof claimStatusSchema>;

/** Parses the data of a record; undefined if it is not a batch of ops. */
export function parseClaimBatch(data: unknown): readonly ClaimOp[] | undefined {
  return claimBatchSchema.safeParse(data).data?.ops;
}

/** Parses the parameters of `claims.submit`; throws `ZodError` if malformed. */
export function parseClaimSubmit(parameters: unknown): ClaimSubmit {
  return submitSchema.parse(parameters);
}

/** Parses the result of `claims.submit`; undefined if malformed. */
export function parseClaimOpOutcome(
  answer: unknown,
): ClaimOpOutcome | undefined {
  return claimOpOutcomeSchema.safeParse(answer).data;
}

/** Parses the parameters of `claims.status`; throws `ZodError` if malformed. */
export function parseClaimStatusQuery(parameters: unknown): string {
  return statusQuerySchema.parse(parameters).claimId;
}

/** Parses the result of `claims.status`; `unknown` if malformed. */
export function parseClaimStatus(answer: unknown): ClaimStatus {
  return claimStatusSchema.safeParse(answer).data ?? "unknown";
}

/**
 * Digest that identifies a key in records. A cryptographic hash, so that no
 * customer can craft a key that collides with another customer's.
 */
export function digestClaimKey(key: ClaimKey): string {
  return createHash("sha256")
    .update(JSON.stringify([key.customer, key.service, key.idempotencyKey]))
    .digest("base64url")
    .slice(0, 22);
}

export function partitionOf(digest: string): number {
  const bytes = Buffer.from(digest.slice(0, 8), "base64url");
  return bytes.readUInt32BE(0) % CLAIM_PARTITION_COUNT;
}

export function claimStream(partition: number): string {
  return `claims-${partition}`;
}
