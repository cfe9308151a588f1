/**
 * Encoding of a digest: what the hosts of one failure domain broadcast, summed
 * up by one of them, its relay. A host that reads the digests of all domains
 * knows the fleet at a cost that does not grow with the number of hosts.
 *
 * @module
 */

import type { HostRecord, LossEntry, SharedLimit } from "../ports/types.ts";
import {
  type AgedDemand,
  decodeAgedDemand,
  decodePrefill,
  encodeAgedDemand,
  encodePrefill,
} from "./demand_codec.ts";
import {
  decodeEra,
  decodeHost,
  decodeLimit,
  decodeLosses,
  encodeEra,
  encodeHost,
  encodeLimit,
  encodeLosses,
  isCount,
  isNumber,
  isSlowTarget,
  type MalformedList,
  malformedOf,
  type PeerUse,
} from "./peer_state.ts";

/** A digest with more entries in one list is malformed. */
const MAX_ENTRIES = 20_000;

/** A target that is unresponsive to some hosts of the domain. */
export interface UnresponsiveTarget {
  readonly targetId: string;
  /** A few of them. */
  readonly hostIds: readonly string[];
}

/** The limit of a target, as one host of the domain knows it. */
export interface HostLimit extends SharedLimit {
  readonly hostId: string;
}

/** A host that does not serve all requests that others pass on. */
export interface LimitedDelegate {
  readonly hostId: string;
  /** Services of which it serves none; undefined for all. */
  readonly cutOffServices: readonly string[] | undefined;
}

export interface DomainDigest {
  /** The host that made the digest; its domain is that of the digest. */
  readonly relay: HostRecord;
  /** Incremented with each digest of a process of the relay. */
  readonly sequenceNumber: number;
  /** Number of live hosts of the domain. */
  readonly hostCount: number;
  /** The live hosts; undefined if the digest repeats none of them. */
  readonly members: readonly HostRecord[] | undefined;
  /** The oldest host that can lead. */
  readonly leader: HostRecord | undefined;
  /** The oldest host that reads the store's logs. */
  readonly reader: HostRecord | undefined;
  /**
   * Live hosts that serve some or no requests of others; undefined if the relay,
   * of an earlier version, does not know.
   */
  readonly limitedDelegates: readonly LimitedDelegate[] | undefined;
  /** Load of all hosts of the domain; undefined if the digest carries none. */
  readonly uses: readonly PeerUse[] | undefined;
  readonly unresponsiveTargets: readonly UnresponsiveTarget[];
  /** Slow targets with their slowdown factors, if a leader is in the domain. */
  readonly slowTargets: readonly (readonly [string, number])[] | undefined;
  readonly losses: readonly LossEntry[];
  readonly breaks: readonly LossEntry[];
  readonly limits: readonly HostLimit[];
  readonly era: number | undefined;
  readonly isEraSettled: boolean;
  /** Demand at the hosts of the domain; undefined if the digest carries none. */
  readonly demand?: AgedDemand;
  /** Lists that were dropped when the digest was decoded. */
  readonly malformedLists?: readonly MalformedList[];
}

function encodeDigest(digest: DomainDigest): unknown {
  return {
    h: encodeHost(digest.relay),
    n: digest.sequenceNumber,
    k: digest.hostCount,
    m: digest.members?.map(encodeHost),
    l: digest.leader && encodeHost(digest.leader),
    r: digest.reader && encodeHost(digest.reader),
    x: digest.limitedDelegates?.map(({ hostId, cutOffServices }) => [
      hostId,
      ...(cutOffServices ?? []),
    ]),
    u: digest.uses?.flatMap((
      { targetId, streams, tokenLayers },
    ) => [targetId, streams, Math.round(tokenLayers)]),
    q: digest.unresponsiveTargets.map((
      { targetId, hostIds },
    ) => [targetId, ...hostIds]),
    w: digest.slowTargets,
    c: encodeLosses(digest.losses),
    b: encodeLosses(digest.breaks),
    t: digest.limits.map((limit) => [limit.hostId, ...encodeLimit(limit)]),
    e: encodeEra(digest),
    f: digest.uses && encodePrefill(digest.uses),
    v: digest.demand && encodeAgedDemand(digest.demand),
  };
}

/** Encodes digests as datagrams of at most `maxBytes`; a larger digest goes alone. */
export function packDigests(
  digests: readonly DomainDigest[],
  maxBytes: number,
): Buffer[] {
  const groups: string[][] = [];
  let sizeBytes = Infinity;
  for (const digest of digests) {
    const text = JSON.stringify(encodeDigest(digest));
    if (sizeBytes + text.length > maxBytes) {
      groups.push([]);
      sizeBytes = 0;
    }
    groups.at(-1)?.push(text);
    sizeBytes += text.length;
  }
  return groups.map((group) => Buffer.from(`{"dig":[${group.join()}]}`));
}

/** Malformed digests are left out; undefined if `value` is no list. */
export function decodeDigests(value: unknown): DomainDigest[] | undefined {
  if (!Array.isArray(value)) return undefined;
  return value.flatMap((one) => decodeDigest(one) ?? []);
}

function decodeDigest(value: unknown): DomainDigest | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const { h, n, k, m, l, r, x, u, q, w, c, b, t, e, f, v } = value as Record<
    string,
    unknown
  >;
  const relay = decodeHost(h);
  if (relay === undefined || !isCount(n) || !isCount(k)) return undefined;
  const lists = [m, x, u, q, w, c, b, t].filter((list) => list !== undefined);
  if (!lists.every(isShortList)) return undefined;
  const members = m === undefined ? undefined : hostsOf(m);
  const uses = u === undefined ? undefined : decodeUses(u, f);
  const demand = decodeAgedDemand(v);
  const isComplete = (m === undefined || members !== undefined) &&
    (u === undefined || uses !== undefined);
  if (!isComplete) return undefined;
  return {
    relay,
    sequenceNumber: n,
    hostCount: k,
    members,
    leader: hostInDomain(l, relay.domain),
    reader: hostInDomain(r, relay.domain),
    limitedDelegates: x === undefined
      ? undefined
      : listOf(x).flatMap(decodeLimitedDelegate),
    uses,
    unresponsiveTargets: listOf(q).flatMap(decodeUnresponsive),
    slowTargets: w === undefined ? undefined : listOf(w).filter(isSlowTarget),
    losses: listOf(c).flatMap(decodeLosses),
    breaks: listOf(b).flatMap(decodeLosses),
    limits: listOf(t).flatMap(decodeHostLimit),
    ...decodeEra(e),
    ...(demand === undefined ? {} : { demand }),
    ...malformedOf({
      demand: v !== undefined && demand === undefined,
      prefill: f !== undefined && uses !== undefined &&
        decodePrefill(f, uses.length) === undefined,
    }),
  };
}

function isShortList(value: unknown): value is unknown[] {
  return Array.isArray(value) && value.length <= MAX_ENTRIES;
}

function listOf(value: unknown): unknown[] {
  return Array.isArray(value) ? value : [];
}

function hostInDomain(
  value: unknown,
  domain: string,
): HostRecord | undefined {
  const host = decodeHost(value);
  return host?.domain === domain ? host : undefined;
}

function hostsOf(value: unknown): HostRecord[] | undefined {
  const hosts = listOf(value).flatMap((one) => decodeHost(one) ?? []);
  return hosts.length === listOf(value).length ? hosts : undefined;
}

/** Undefined unless all entries are valid, since a part would look like the whole. */
function decodeUses(
  value: unknown,
  prefillValue: unknown,
): PeerUse[] | undefined {
  const fields = listOf(value);
  const prefill = decodePrefill(prefillValue, fields.length / 3);
  const uses: PeerUse[] = [];
  for (let i = 0; i < fields.length; i += 3) {
    const [targetId, streams, tokenLayers] = fields.slice(i, i + 3);
    if (
      typeof targetId !== "string" || !isNumber(streams) ||
      !isNumber(tokenLayers)
    ) return undefined;
    const prefillTokenLayers = prefill?.[i / 3];
    uses.push({
      targetId,
      streams,
      tokenLayers,
      ...(prefillTokenLayers === undefined ? {} : { prefillTokenLayers }),
    });
  }
  return uses;
}

function decodeUnresponsive(value: unknown): UnresponsiveTarget[] {
  const names = listOf(value).filter((name) => typeof name === "string");
  const [targetId, ...hostIds] = names;
  return targetId === undefined ? [] : [{ targetId, hostIds }];
}

function decodeLimitedDelegate(value: unknown): LimitedDelegate[] {
  const names = listOf(value).filter((name) => typeof name === "string");
  const [hostId, ...services] = names;
  if (hostId === undefined) return [];
  const cutOffServices = services.length === 0 ? undefined : services;
  return [{ hostId, cutOffServices }];
}

function decodeHostLimit(value: unknown): HostLimit[] {
  const [hostId, ...limit] = listOf(value);
  if (typeof hostId !== "string") return [];
  return decodeLimit(limit).map((one) => ({ ...one, hostId }));
}
