/**
 * Messages between hosts about the configuration.
 *
 * @module
 */

import { z } from "zod";
import type { Outcome } from "../common/verdict.ts";
import type { Disposable } from "../common/lifecycle.ts";
import type { LogRecord } from "../clients/types.ts";
import { parseConfig } from "./patch.ts";
import type { LedgerSnapshot } from "./records.ts";

/** Method that delivers a round to the next hosts of the tree. */
export const ROUND_METHOD = "config.round";
/** Method by which a host that lags behind fetches missing records. */
export const PULL_METHOD = "config.pull";

/** Calls a method of the peer at `url`. */
export type CallPeer = (
  url: string,
  request: { readonly method: string; readonly parameters: unknown },
  options: { readonly deadlineMs: number },
) => Promise<Outcome<unknown>>;

/** Registers the handler of a method that peers call. */
export type HandlePeer = (
  method: string,
  handler: (parameters: unknown) => Promise<unknown> | unknown,
) => Disposable;

const recordSchema = z.object({
  id: z.string(),
  data: z.unknown(),
  offset: z.int().min(0),
  atWallMs: z.number(),
});

const roundMessageSchema = z.object({
  /** Name of the receiver, since another host may now have its address. */
  to: z.string(),
  /** URL of a host that has all records below `nextOffset`. */
  senderUrl: z.string(),
  depth: z.int().min(0).max(32),
  from: z.string().nullable(),
  until: z.string().nullable(),
  nextOffset: z.int().min(0),
  stableOffset: z.int().min(0),
  /** Wall-clock time at which every accepted change was below `stableOffset`; null if unknown. */
  asOfWallMs: z.number().nullable(),
  records: z.array(recordSchema),
});

const roundReplySchema = z.object({
  /** Hosts in the receiver's subtree, itself included, with all records below `nextOffset`. */
  holding: z.int().min(0),
  /** The highest `nextOffset` of these hosts, and the URL of the host that has it. */
  newestOffset: z.int().min(0),
  newestUrl: z.string().nullable(),
});

const pullRequestSchema = z.object({ nextOffset: z.int().min(0) });

const snapshotPositionSchema = z.object({
  offset: z.int(),
  atWallMs: z.number(),
  nextOffset: z.int(),
});

const pullReplySchema = z.object({
  isGrounded: z.boolean(),
  stableOffset: z.int().min(0),
  records: z.array(recordSchema).optional(),
  snapshot: z.object({
    state: z.object({
      version: z.int().min(0),
      offset: z.int(),
      config: z.unknown(),
    }),
    nextOffset: z.int().min(0),
    lastSnapshot: snapshotPositionSchema.optional(),
    results: z.array(z.unknown()),
  }).optional(),
});

export type RoundMessage = z.infer<typeof roundMessageSchema>;
export type RoundReply = z.infer<typeof roundReplySchema>;
export type PullRequest = z.infer<typeof pullRequestSchema>;

/** The records that the caller misses, or a snapshot if they are no longer kept. */
export interface PullReply {
  readonly isGrounded: boolean;
  readonly stableOffset: number;
  readonly records?: readonly LogRecord[];
  readonly snapshot?: LedgerSnapshot;
}

/** Parses a message; throws if it does not match the schema. */
export function readRoundMessage(parameters: unknown): RoundMessage {
  return roundMessageSchema.parse(parameters);
}

/** Parses a reply; undefined if it does not match the schema. */
export function readRoundReply(value: unknown): RoundReply | undefined {
  return roundReplySchema.safeParse(value).data;
}

export function readPullRequest(parameters: unknown): PullRequest {
  return pullRequestSchema.parse(parameters);
}

/** Parses a reply and checks its configuration; undefined if either is not valid. */
export function readPullReply(value: unknown): PullReply | undefined {
  const parsed = pullReplySchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { snapshot, ...rest } = parsed.data;
  if (snapshot === undefined) return rest as PullReply;
  const config = parseConfig(snapshot.state.config);
  if (config.isErr()) return undefined;
  return {
    ...rest,
    snapshot: {
      ...snapshot,
      state: { ...snapshot.state, config: config.value },
      results: snapshot.results as LedgerSnapshot["results"],
    },
  } as PullReply;
}
