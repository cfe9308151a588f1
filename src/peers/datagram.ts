/**
 * Decodes the datagrams exchanged between hosts, by kind.
 *
 * @module
 */

import { decodeDigests, type DomainDigest } from "./domain_digest.ts";
import {
  decodeLogAnswer,
  decodeLogQuery,
  type LogAnswer,
  type LogQuery,
} from "./log_messages.ts";
import { decodePeerState, type ReceivedState } from "./peer_state.ts";

export type Datagram =
  | { readonly kind: "state"; readonly received: ReceivedState }
  | { readonly kind: "digests"; readonly digests: readonly DomainDigest[] }
  | { readonly kind: "query"; readonly query: LogQuery }
  | { readonly kind: "answer"; readonly answer: LogAnswer };

/** Returns undefined for a malformed datagram. */
export function decodeDatagram(bytes: Buffer): Datagram | undefined {
  const fields = parse(bytes);
  if (fields === undefined) return undefined;
  if ("dig" in fields) {
    const digests = decodeDigests(fields.dig);
    return digests && { kind: "digests", digests };
  }
  if ("ask" in fields) {
    const query = decodeLogQuery(fields.ask);
    return query && { kind: "query", query };
  }
  if ("say" in fields) {
    const answer = decodeLogAnswer(fields.say);
    return answer && { kind: "answer", answer };
  }
  const received = decodePeerState(fields);
  return received && { kind: "state", received };
}

function parse(bytes: Buffer): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(bytes.toString());
    return typeof value === "object" && value !== null
      ? value as Record<string, unknown>
      : undefined;
  } catch {
    return undefined;
  }
}
