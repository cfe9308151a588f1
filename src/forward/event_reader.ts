/**
 * Splits the bytes of an event stream into whole events and reads their ids.
 * Bytes pass unchanged; an event that has not ended is held back, so that a
 * stream which breaks off inside an event can go on at another target.
 *
 * @module
 */

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** An event is some hundred bytes; a longer one is no event stream. */
const MAX_EVENT_BYTES = 1_024 * 1_024;

/** Whole events, as their bytes came. */
export interface EventBatch {
  readonly bytes: Buffer;
  /** Ids of the events, in order; undefined for an event without one. */
  readonly ids: readonly (number | undefined)[];
}

/** Reads one stream. */
export class EventReader {
  #incomplete: Buffer | undefined;

  /** Bytes of an event that has not ended. */
  get pendingBytes(): number {
    return this.#incomplete?.length ?? 0;
  }

  /** Takes a chunk; undefined where no event ends in it. Throws on an endless event. */
  push(chunk: Buffer): EventBatch | undefined {
    const bytes = this.#incomplete === undefined
      ? chunk
      : Buffer.concat([this.#incomplete, chunk]);
    const ids: (number | undefined)[] = [];
    let eventStart = 0;
    let lineStart = 0;
    let id: number | undefined;
    for (;;) {
      const newline = bytes.indexOf(NEWLINE, lineStart);
      if (newline < 0) break;
      const lineEnd =
        newline > lineStart && bytes[newline - 1] === CARRIAGE_RETURN
          ? newline - 1
          : newline;
      if (lineEnd === lineStart) {
        ids.push(id);
        id = undefined;
        eventStart = newline + 1;
      } else {
        id = readId(bytes, lineStart, lineEnd) ?? id;
      }
      lineStart = newline + 1;
    }
    this.#incomplete = eventStart === bytes.length
      ? undefined
      : bytes.subarray(eventStart);
    if (this.pendingBytes > MAX_EVENT_BYTES) {
      throw new Error("event without an end");
    }
    return ids.length === 0
      ? undefined
      : { bytes: bytes.subarray(0, eventStart), ids };
  }
}

/** The number in an `id:` line. */
function readId(bytes: Buffer, start: number, end: number): number | undefined {
  // "id:" as bytes; most lines are data and are not decoded.
  if (
    bytes[start] !== 0x69 || bytes[start + 1] !== 0x64 ||
    bytes[start + 2] !== 0x3a
  ) {
    return undefined;
  }
  const text = bytes.toString("latin1", start + 3, end).trim();
  return /^\d+$/.test(text) ? Number(text) : undefined;
}
