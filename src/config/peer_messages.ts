/**
 * Messages about configuration between hosts.
 *
 * @module
 */

import { z } from "zod";
import type { Outcome } from "../common/verdict.ts";
import type { Disposable } from "../common/lifecycle.ts";
import type { LogRecord } from "../clients/types.ts";
import { parseConfig } from "./patch.ts";
import type { LedgerSnapshot } from "./records.ts";

/** Method by which a round travels down the tree of hosts. */
export const ROUND_METHOD = "config.round";
/** Method by which a host that lags fetches what it misses. */
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
  /** Name of the receiver, since another host may have taken over its address. */
  to: z.string(),
  /** URL of the host that sent this copy; it holds `nextOffset`. */
  senderUrl: z.string(),
  depth: z.int().min(0).max(32),
  from: z.string().nullable(),
  until: z.string().nullable(),
  nextOffset: z.int().min(0),
  stableOffset: z.int().min(0),
  /** At this time every accepted change was below `stableOffset`; null if unknown. */
  asOfWallMs: z.number().nullable(),
  records: z.array(recordSchema),
});

const roundReplySchema = z.object({
  /** Hosts below and at the receiver that hold `nextOffset`. */
  holding: z.int().min(0),
  /** The highest offset held by one of them, and where to fetch it. */
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

/** What a host that lags is given: the records it misses or a whole state. */
export interface PullReply {
  readonly isGrounded: boolean;
  readonly stableOffset: number;
  readonly records?: readonly LogRecord[];
  readonly snapshot?: LedgerSnapshot;
}

/** Reads a message; throws when a peer sent something else. */
export function readRoundMessage(parameters: unknown): RoundMessage {
  return roundMessageSchema.parse(parameters);
}

/** Reads a reply; undefined when a peer sent something else. */
export function readRoundReply(value: unknown): RoundReply | undefined {
  return roundReplySchema.safeParse(value).data;
}

export function readPullRequest(parameters: unknown): PullRequest {
  return pullRequestSchema.parse(parameters);
}

/** Reads a reply and checks its configuration; undefined when it is not valid. */
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
