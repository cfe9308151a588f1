/**
 * Splits an event stream into complete events and reads their ids. Bytes are
 * passed through unchanged. An incomplete event is held back, so that a stream
 * that breaks inside an event can be resumed at another target.
 *
 * @module
 */

import { ByteBuffer } from "../common/byte_buffer.ts";

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
/** Events are some hundred bytes; larger input is not an event stream. */
const MAX_EVENT_BYTES = 256 * 1_024;

export interface StreamEvent {
  /** Undefined for an event without an id. */
  readonly id: number | undefined;
  /**
   * Why it cannot be an event of a sound stream: more than one line names an id,
   * as if one event ran into another, or no line is a field of the format.
   */
  readonly fault: "second-id" | "no-field" | undefined;
  /** Offset behind the event in the bytes of its batch. */
  readonly endOffset: number;
}

/** Complete events, with their bytes as received. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly events: readonly StreamEvent[];
  /** False if the bytes are blank lines and comments only. */
  readonly hasFields: boolean;
}

/** What the lines of an incomplete event hold so far. */
interface LineState {
  readonly id: number | undefined;
  readonly hasSecondId: boolean;
  readonly hasKnownField: boolean;
  readonly isComment: boolean;
}

const NO_LINES: LineState = {
  id: undefined,
  hasSecondId: false,
  hasKnownField: false,
  isComment: true,
};

/** Incremental parser of one event stream. Reads each byte once. */
export class EventReader {
  #incomplete = new ByteBuffer();
  /** Offset of the incomplete event's last line. */
  #lineStart = 0;
  #lines = NO_LINES;

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.#incomplete.length;
  }

  /** Whether the incomplete event exceeds the maximum size. */
  get isOversized(): boolean {
    return this.pendingBytes > MAX_EVENT_BYTES;
  }

  /** Parses a chunk. Returns undefined if no event ends in it. */
  push(chunk: Buffer): EventBatch | undefined {
    const firstNew = this.pendingBytes;
    this.#incomplete.append(chunk);
    const bytes = this.#incomplete.view();
    const events: StreamEvent[] = [];
    let eventStart = 0;
    let hasFields = false;
    for (let searchFrom = firstNew;;) {
      const newline = bytes.indexOf(NEWLINE, searchFrom);
      if (newline < 0) break;
      searchFrom = newline + 1;
      const lineStart = this.#lineStart;
      const lineEnd =
        newline > lineStart && bytes[newline - 1] === CARRIAGE_RETURN
          ? newline - 1
          : newline;
      if (lineEnd === lineStart) {
        // Blank lines and comments alone are no event.
        eventStart = newline + 1;
        const { isComment } = this.#lines;
        if (!isComment) events.push(toEvent(this.#lines, eventStart));
        hasFields ||= !isComment;
        this.#lines = NO_LINES;
      } else this.#lines = addLine(this.#lines, bytes, lineStart, lineEnd);
      this.#lineStart = newline + 1;
    }
    if (eventStart === 0) return undefined;
    // The batch keeps the bytes, so the rest goes to a buffer of its own.
    this.#incomplete = new ByteBuffer();
    this.#incomplete.append(bytes.subarray(eventStart));
    this.#lineStart -= eventStart;
    return { bytes: bytes.subarray(0, eventStart), events, hasFields };
  }
}

function toEvent(
  { id, hasSecondId, hasKnownField }: LineState,
  endOffset: number,
): StreamEvent {
  const fault = hasSecondId
    ? "second-id"
    : hasKnownField
    ? undefined
    : "no-field";
  return { id, fault, endOffset };
}

function addLine(
  lines: LineState,
  bytes: Buffer,
  start: number,
  end: number,
): LineState {
  const lineId = readId(bytes, start, end);
  const id = lineId ?? lines.id;
  return {
    id,
    hasSecondId: lines.hasSecondId ||
      (lineId !== undefined && lines.id !== undefined),
    hasKnownField: lines.hasKnownField || id !== undefined ||
      isKnownField(bytes, start, end),
    isComment: lines.isComment && bytes[start] === COLON,
  };
}

/** Whether a line is one of the fields that the format of event streams defines. */
function isKnownField(bytes: Buffer, start: number, end: number): boolean {
  const head = bytes.toString("latin1", start, Math.min(end, start + 6));
  return /^(data|event|id|retry)(:|$)/.test(head);
}

/** Parses an `id:` line; undefined for other lines and non-numeric ids. */
function readId(bytes: Buffer, start: number, end: number): number | undefined {
  // Compares the bytes of "id:", since most lines are data and need no decoding.
  if (
    bytes[start] !== 0x69 || bytes[start + 1] !== 0x64 ||
    bytes[start + 2] !== 0x3a
  ) {
    return undefined;
  }
  const text = bytes.toString("latin1", start + 3, end).trim();
  return /^\d+$/.test(text) ? Number(text) : undefined;
}
