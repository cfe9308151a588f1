/**
 * Writes the answer to one request onto the connection of a stand-in server, with
 * a fault at any place of it: in the head, inside or between events, at the end.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

export type Framing = "length" | "chunks" | "close";

export type Trouble =
  /** The connection ends. */
  | "close"
  | "reset"
  /** The server goes on after a silence. */
  | "silence"
  /** An event of another stream, and then the rest. */
  | "foreign-event"
  /** The first half of an event that the next one runs into. */
  | "half-event"
  /** The head and the text of another server's error, and then the end. */
  | "error-text"
  /** Bytes until the caller closes. */
  | "endless"
  /** Interim responses until the caller closes; belongs before the head. */
  | "interim";

/** Where the trouble comes; `piece` counts from 0, a plain body is one piece. */
export type Place =
  | { readonly at: "head"; readonly fraction: number }
  | { readonly at: "piece"; readonly piece: number; readonly fraction: number }
  | { readonly at: "before-piece"; readonly piece: number }
  | { readonly at: "before-end" };

export interface AnswerScript {
  /** `refuse` promises that the request has not run. */
  readonly kind: "serve" | "fail" | "refuse" | "hang";
  readonly framing: Framing;
  readonly trouble: Trouble | undefined;
  readonly place: Place;
  readonly silenceMs: number;
  /** Whether all is written at once, and not piece by piece. */
  readonly isBurst: boolean;
  /** Writes a whole answer to another request behind this one. */
  readonly hasSecondAnswer: boolean;
  /** Writes a refusal without an id first, if the connection is a kept one. */
  readonly repeatsRefusal: boolean;
}

/** What a server wrote of one answer. */
export interface AnswerRun {
  readonly kind: AnswerScript["kind"];
  readonly pieces: readonly string[];
}

const PIECE_GAP_MS = 2;
const ENDLESS_LIMIT_MS = 4_000;
const ENDLESS_CHUNK = `data: ${"x".repeat(16_384)}\n`;
const INTERIM_RESPONSES = "HTTP/1.1 100 Continue\r\n\r\n".repeat(400);
const ERROR_TEXT = "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed\n\n";
const usedSockets = new WeakSet<Socket>();

export interface ScriptedAnswer {
  readonly request: IncomingMessage;
  readonly script: AnswerScript;
  readonly run: AnswerRun;
  readonly contentType: string;
}

/** Resolves when the answer is written, as far as the script says. */
export async function writeScripted(answer: ScriptedAnswer): Promise<void> {
  const { request, script } = answer;
  const { socket } = request;
  const isKept = usedSockets.has(socket);
  usedSockets.add(socket);
  socket.setNoDelay(true);
  if (isKept && script.repeatsRefusal) {
    socket.write(formatHead(503, ["Jackdawshift-Not-Executed: 1"], 0));
  }
  if (script.kind === "hang") return;
  if (script.kind !== "serve") {
    const isRefusal = script.kind === "refuse";
    const lines = isRefusal
      ? [`Jackdawshift-Attempt-Id: ${idOf(request)}`, "Retry-After: 0.1"]
      : signedLines(request);
    const body = isRefusal ? "" : "failed";
    const notRun = isRefusal ? ["Jackdawshift-Not-Executed: 1"] : [];
    socket.write(
      formatHead(isRefusal ? 503 : 500, [...lines, ...notRun], body.length) +
        body,
    );
    return;
  }
  let buffered = "";
  for (const part of partsOf(answer)) {
    if (socket.destroyed) return;
    if (typeof part === "string") {
      buffered += part;
      if (script.isBurst) continue;
    }
    if (buffered !== "") socket.write(buffered);
    buffered = "";
    if (typeof part === "string") await sleep(PIECE_GAP_MS);
    else if (await part(socket)) return;
  }
  if (buffered !== "") socket.write(buffered);
  if (script.framing === "close") socket.end();
}

/** A trouble acts on the connection; resolves with whether the answer ends there. */
type Part = string | ((socket: Socket) => Promise<boolean>);

function partsOf(
  { request, script, run, contentType }: ScriptedAnswer,
): Part[] {
  const { framing, place } = script;
  const frame = (text: string) =>
    framing === "chunks" && text !== ""
      ? `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
      : text;
  const length = run.pieces.join("").length;
  const framingLines = framing === "length"
    ? [`Content-Length: ${length}`]
    : framing === "chunks"
    ? ["Transfer-Encoding: chunked"]
    : ["Connection: close"];
  const head = [
    "HTTP/1.1 200 OK",
    ...signedLines(request),
    `Content-Type: ${contentType}`,
    ...framingLines,
    "",
    "",
  ].join("\r\n");
  const trouble = troubleParts(script, frame);
  const split = (text: string, fraction: number): [string, string] => {
    const at = Math.floor(text.length * fraction);
    return [text.slice(0, at), text.slice(at)];
  };
  const parts: Part[] = [];
  if (place.at === "head") {
    const [first, rest] = split(head, place.fraction);
    parts.push(first, ...trouble, rest);
  } else parts.push(head);
  for (const [index, piece] of run.pieces.entries()) {
    const isHere = "piece" in place && place.piece === index;
    if (isHere && place.at === "piece") {
      const [first, rest] = split(piece, place.fraction);
      parts.push(frame(first), ...trouble, frame(rest));
    } else parts.push(...(isHere ? trouble : []), frame(piece));
  }
  if (place.at === "before-end") parts.push(...trouble);
  if (framing === "chunks") parts.push("0\r\n\r\n");
  if (script.hasSecondAnswer) {
    parts.push(
      formatHead(200, [
        "Jackdawshift-Attempt-Id: another",
        "Jackdawshift-Server-Signature: signed.another",
      ], 7) + "foreign",
    );
  }
  return parts;
}

function troubleParts(
  { trouble, silenceMs }: AnswerScript,
  frame: (text: string) => string,
): Part[] {
  const isEnd = () => Promise.resolve(true);
  switch (trouble) {
    case undefined:
      return [];
    case "close":
      return [(socket) => (socket.end(), isEnd())];
    case "reset":
      return [(socket) => (socket.resetAndDestroy(), isEnd())];
    case "silence":
      return [() => sleep(silenceMs).then(() => false)];
    case "foreign-event":
      return [frame("id: 900\ndata: another's\n\n")];
    case "half-event":
      return [frame("id: 900\ndata: half")];
    case "error-text":
      return [frame(ERROR_TEXT), (socket) => (socket.end(), isEnd())];
    case "endless":
      return [(socket) => writeEndlessly(socket, frame(ENDLESS_CHUNK))];
    case "interim":
      return [(socket) => writeEndlessly(socket, INTERIM_RESPONSES)];
  }
}

async function writeEndlessly(socket: Socket, text: string): Promise<boolean> {
  const endMs = Date.now() + ENDLESS_LIMIT_MS;
  while (!socket.destroyed && Date.now() < endMs) {
    if (!socket.write(text)) await sleep(1);
  }
  socket.destroy();
  return true;
}

function signedLines(request: IncomingMessage): string[] {
  return [
    `Jackdawshift-Attempt-Id: ${idOf(request)}`,
    "Jackdawshift-Server-Signature: signed",
  ];
}

function idOf(request: IncomingMessage): string {
  return String(request.headers["jackdawshift-attempt-id"]);
}

function formatHead(
  status: number,
  lines: readonly string[],
  length: number,
): string {
  return [
    `HTTP/1.1 ${status} X`,
    ...lines,
    `Content-Length: ${length}`,
    "",
    "",
  ].join("\r\n");
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
