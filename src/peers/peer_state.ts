/**
 * Encoding of the state that each host broadcasts to the others.
 *
 * @module
 */

import type { HostRecord, LossEntry, SharedLimit } from "../ports/types.ts";
import {
  decodeDemand,
  decodePrefill,
  encodeDemand,
  encodePrefill,
  MAX_HOST_REQUESTS,
  type ServiceDemand,
} from "./demand_codec.ts";

/** Hosts learn of larger entries, which only another writer makes, from the log. */
const MAX_LOSSES_BYTES = 16 * 1024;
/** A longer list is malformed. */
const MAX_COMPANIONS = 16;

/** Load of one host on one target. */
export interface PeerUse {
  readonly targetId: string;
  readonly streams: number;
  readonly tokenLayers: number;
  /**
   * Tokens x layers of prompts in progress; undefined if only hosts of earlier
   * versions use the target.
   */
  readonly prefillTokenLayers?: number;
}

/** State that a host broadcasts. */
export interface PeerState {
  /**
   * Incremented with each datagram of a process, so that reordered ones are
   * discarded.
   */
  readonly sequenceNumber: number;
  readonly uses: readonly PeerUse[];
  /** Targets that are unresponsive to this host. */
  readonly unresponsiveTargets: readonly string[];
  /**
   * Slow targets with their slowdown factors; sent only by the leader, which
   * queries the targets.
   */
  readonly slowTargets: readonly (readonly [string, number])[] | undefined;
  /**
   * Eligible as leader, which sends orders to targets: the store is reachable
   * and the host is not stopping.
   */
  readonly canLead: boolean;
  /** Serves requests of hosts that reach no target. */
  readonly acceptsDelegated: boolean;
  /** Services from all of whose targets the host is cut off. */
  readonly cutOffServices: readonly string[];
  /** Reads the store's logs and answers queries about them. */
  readonly isReader: boolean;
  /** Contents that ended targets; those that were cleared have no losses. */
  readonly losses: readonly LossEntry[];
  /** Contents whose sends broke off, in the same form. */
  readonly breaks: readonly LossEntry[];
  /** Targets that named a limit, or withdrew one lately. */
  readonly limits: readonly SharedLimit[];
  /** The highest era of the store that the host has met. */
  readonly era: number | undefined;
  readonly isEraSettled: boolean;
  /** The receiver is to send the digests of all failure domains. */
  readonly wantsDigests: boolean;
  /** Demand at the host; undefined if it is of an earlier version. */
  readonly demand?: readonly ServiceDemand[];
  /** Lists that were dropped when the state was decoded. */
  readonly malformedLists?: readonly MalformedList[];
}

export type MalformedList = "demand" | "prefill";

/** A state with the host that sent it. */
export interface ReceivedState {
  readonly host: HostRecord;
  readonly state: PeerState;
}

export function encodePeerState(host: HostRecord, state: PeerState): Buffer {
  return Buffer.from(JSON.stringify({
    h: encodeHost(host),
    n: state.sequenceNumber,
    u: state.uses.map((
      use,
    ) => [use.targetId, use.streams, Math.round(use.tokenLayers)]),
    q: state.unresponsiveTargets,
    w: state.slowTargets ?? null,
    l: state.canLead ? 1 : 0,
    r: state.isReader ? 1 : 0,
    a: state.acceptsDelegated ? 1 : 0,
    x: state.cutOffServices,
    c: encodeLosses(state.losses),
    b: encodeLosses(state.breaks),
    m: state.limits.map(encodeLimit),
    e: encodeEra(state),
    d: state.wantsDigests ? 1 : 0,
    f: encodePrefill(state.uses),
    v: state.demand && encodeDemand(state.demand, MAX_HOST_REQUESTS),
  }));
}

/** Returns undefined for a malformed state. */
export function decodePeerState(
  fields: Readonly<Record<string, unknown>>,
): ReceivedState | undefined {
  const { h, n, u, q, w, l, r, a, x, c, b, m, e, d, f, v } = fields;
  const host = decodeHost(h);
  if (host === undefined || !Array.isArray(u) || !Array.isArray(q)) {
    return undefined;
  }
  if (!isNumber(n)) return undefined;
  const prefill = decodePrefill(f, u.length);
  const demand = decodeDemand(v, MAX_HOST_REQUESTS);
  return {
    host,
    state: {
      sequenceNumber: n,
      uses: u.flatMap((use, index) => decodeUse(use, prefill?.[index])),
      unresponsiveTargets: q.filter((target) => typeof target === "string"),
      slowTargets: Array.isArray(w) ? w.filter(isSlowTarget) : undefined,
      canLead: l === 1,
      isReader: r === 1,
      acceptsDelegated: a === 1,
      cutOffServices: Array.isArray(x)
        ? x.filter((name) => typeof name === "string")
        : [],
      // Hosts of earlier versions send none.
      losses: Array.isArray(c) ? c.flatMap(decodeLosses) : [],
      breaks: Array.isArray(b) ? b.flatMap(decodeLosses) : [],
      limits: Array.isArray(m) ? m.flatMap(decodeLimit) : [],
      ...decodeEra(e),
      wantsDigests: d === 1,
      ...(demand === undefined ? {} : { demand }),
      ...malformedOf({
        demand: v !== undefined && demand === undefined,
        prefill: f !== undefined && prefill === undefined,
      }),
    },
  };
}

export function encodeHost({ id, domain, ip, port, bornMs }: HostRecord) {
  return [id, domain, ip, port, bornMs] as const;
}

export function decodeHost(value: unknown): HostRecord | undefined {
  if (!Array.isArray(value)) return undefined;
  const [id, domain, ip, port, bornMs] = value;
  if (
    typeof id !== "string" || typeof domain !== "string" ||
    typeof ip !== "string" || !isPort(port) || !isNumber(bornMs)
  ) return undefined;
  return { id, domain, ip, port, bornMs };
}

/** The member `malformedLists` if there are any. */
export function malformedOf(
  lists: Readonly<Record<MalformedList, boolean>>,
): { readonly malformedLists?: readonly MalformedList[] } {
  const malformedLists = (["demand", "prefill"] as const)
    .filter((list) => lists[list]);
  return malformedLists.length === 0 ? {} : { malformedLists };
}

function decodeUse(
  value: unknown,
  prefillTokenLayers: number | undefined,
): PeerUse[] {
  if (!Array.isArray(value)) return [];
  const [targetId, streams, tokenLayers] = value;
  if (
    typeof targetId !== "string" || !isNumber(streams) || !isNumber(tokenLayers)
  ) return [];
  return [{
    targetId,
    streams,
    tokenLayers,
    ...(prefillTokenLayers === undefined ? {} : { prefillTokenLayers }),
  }];
}

/** Entries that do not fit into a datagram beside the others are left out. */
export function encodeLosses(entries: readonly LossEntry[]): unknown[][] {
  let remainingBytes = MAX_LOSSES_BYTES;
  return entries.map(encodeLoss).filter((fields) => {
    const bytes = Buffer.byteLength(JSON.stringify(fields));
    if (bytes > remainingBytes) return false;
    remainingBytes -= bytes;
    return true;
  });
}

function encodeLoss(entry: LossEntry): unknown[] {
  const { contentId, clearCount, losses, lossEventId, totalLosses, processes } =
    entry;
  const fields = [
    contentId,
    clearCount,
    losses,
    lossEventId,
    totalLosses,
    processes,
  ];
  const { trial, companions } = entry;
  if (trial === undefined && companions === undefined) return fields;
  return [...fields, trial?.number, trial?.hostId, companions];
}

export function decodeLosses(value: unknown): LossEntry[] {
  if (!Array.isArray(value)) return [];
  // Hosts of earlier versions send none of the later fields.
  const [contentId, clearCount, losses, lossEventId] = value;
  const [totalLosses = losses, processes = [], ...rest] = value.slice(4);
  const [number, hostId, companions] = rest;
  const trial = isCount(number) && typeof hostId === "string"
    ? { number, hostId }
    : undefined;
  if (
    typeof contentId !== "string" || !isCount(clearCount) || !isCount(losses) ||
    !isCount(lossEventId, -1) || !isCount(totalLosses) ||
    !Array.isArray(processes) ||
    !processes.every((one) => typeof one === "string")
  ) return [];
  return [{
    contentId,
    clearCount,
    losses,
    lossEventId,
    totalLosses,
    processes,
    ...(isStringList(companions) ? { companions } : {}),
    ...(trial === undefined ? {} : { trial }),
  }];
}

function isStringList(value: unknown): value is string[] {
  return Array.isArray(value) && value.length <= MAX_COMPANIONS &&
    value.every((one) => typeof one === "string");
}

export function encodeLimit(limit: SharedLimit): unknown[] {
  const { targetId, limitPerS, ageMs, recentSends } = limit;
  return [targetId, limitPerS ?? null, Math.round(ageMs), recentSends];
}

export function decodeLimit(value: unknown): SharedLimit[] {
  if (!Array.isArray(value)) return [];
  const [targetId, limitPerS, ageMs, recentSends] = value;
  const isLimit = limitPerS === null || (isNumber(limitPerS) && limitPerS >= 0);
  if (
    typeof targetId !== "string" || !isLimit || !isCount(ageMs) ||
    !isCount(recentSends)
  ) return [];
  return [{ targetId, limitPerS: limitPerS ?? undefined, ageMs, recentSends }];
}

export function encodeEra(
  { era, isEraSettled }: Pick<PeerState, "era" | "isEraSettled">,
): unknown[] | null {
  return era === undefined ? null : [era, isEraSettled ? 1 : 0];
}

export function decodeEra(
  value: unknown,
): Pick<PeerState, "era" | "isEraSettled"> {
  const [era, settled] = Array.isArray(value) ? value : [];
  if (!isCount(era)) return { era: undefined, isEraSettled: false };
  return { era, isEraSettled: settled === 1 };
}

export function isCount(value: unknown, min = 0): value is number {
  return Number.isSafeInteger(value) && (value as number) >= min;
}

export function isSlowTarget(value: unknown): value is [string, number] {
  return Array.isArray(value) && typeof value[0] === "string" &&
    isNumber(value[1]);
}

function isPort(value: unknown): value is number {
  return isNumber(value) && Number.isInteger(value) && value > 0 &&
    value < 65_536;
}

export function isNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value);
}
