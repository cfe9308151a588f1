/**
 * The datagram that hosts send one another.
 *
 * @module
 */

import type { HostRecord } from "../ports/types.ts";

/** Load of one host on one target. */
export interface PeerUse {
  readonly targetId: string;
  readonly streams: number;
  readonly tokenLayers: number;
}

/** What a host tells the others. */
export interface PeerState {
  /** Grows by one with each datagram of a process. */
  readonly sequenceNumber: number;
  readonly uses: readonly PeerUse[];
  /** Targets that do not answer this host. */
  readonly unresponsiveTargets: readonly string[];
  /** Targets that are slow, with their factor; only the host that asks them tells. */
  readonly slowTargets: readonly (readonly [string, number])[] | undefined;
  /** May give orders: it is in touch with the store and not stopping. */
  readonly canLead: boolean;
  /** Reads the store's logs and answers for them. */
  readonly isReader: boolean;
}

/** A state with its sender. */
export interface ReceivedState {
  readonly host: HostRecord;
  readonly state: PeerState;
}

export function encodePeerState(host: HostRecord, state: PeerState): Buffer {
  return Buffer.from(JSON.stringify({
    h: [host.id, host.domain, host.ip, host.port, host.bornMs],
    n: state.sequenceNumber,
    u: state.uses.map((
      use,
    ) => [use.targetId, use.streams, Math.round(use.tokenLayers)]),
    q: state.unresponsiveTargets,
    w: state.slowTargets ?? null,
    l: state.canLead ? 1 : 0,
    r: state.isReader ? 1 : 0,
  }));
}

/** Undefined where the fields are not those of a state. */
export function decodePeerState(
  fields: Readonly<Record<string, unknown>>,
): ReceivedState | undefined {
  const { h, n, u, q, w, l, r } = fields;
  if (!Array.isArray(h) || !Array.isArray(u) || !Array.isArray(q)) {
    return undefined;
  }
  const [id, domain, ip, port, bornMs] = h;
  if (
    typeof id !== "string" || typeof domain !== "string" ||
    typeof ip !== "string"
  ) {
    return undefined;
  }
  if (!isPort(port) || !isNumber(bornMs) || !isNumber(n)) return undefined;
  return {
    host: { id, domain, ip, port, bornMs },
    state: {
      sequenceNumber: n,
      uses: u.flatMap(decodeUse),
      unresponsiveTargets: q.filter((target) => typeof target === "string"),
      slowTargets: Array.isArray(w) ? w.filter(isSlowTarget) : undefined,
      canLead: l === 1,
      isReader: r === 1,
    },
  };
}

function decodeUse(value: unknown): PeerUse[] {
  if (!Array.isArray(value)) return [];
  const [targetId, streams, tokenLayers] = value;
  if (
    typeof targetId !== "string" || !isNumber(streams) || !isNumber(tokenLayers)
  ) return [];
  return [{ targetId, streams, tokenLayers }];
}

function isSlowTarget(value: unknown): value is [string, number] {
  return Array.isArray(value) && typeof value[0] === "string" &&
    isNumber(value[1]);
}

function isPort(value: unknown): value is number {
  return isNumber(value) && Number.isInteger(value) && value > 0 &&
    value < 65_536;
}

function isNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value);
}
