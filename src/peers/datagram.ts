/**
 * Tells the kinds of datagrams apart that hosts send one another.
 *
 * @module
 */

import {
  decodeLogAnswer,
  decodeLogQuestion,
  type LogAnswer,
  type LogQuestion,
} from "./log_messages.ts";
import { decodePeerState, type HeardState } from "./peer_state.ts";

/** One datagram. */
export type Datagram =
  | { readonly kind: "state"; readonly heard: HeardState }
  | { readonly kind: "question"; readonly question: LogQuestion }
  | { readonly kind: "answer"; readonly answer: LogAnswer };

/** Undefined where the bytes are no datagram of a host. */
export function decodeDatagram(bytes: Buffer): Datagram | undefined {
  const fields = parse(bytes);
  if (fields === undefined) return undefined;
  if ("ask" in fields) {
    const question = decodeLogQuestion(fields.ask);
    return question && { kind: "question", question };
  }
  if ("say" in fields) {
    const answer = decodeLogAnswer(fields.say);
    return answer && { kind: "answer", answer };
  }
  const heard = decodePeerState(fields);
  return heard && { kind: "state", heard };
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
