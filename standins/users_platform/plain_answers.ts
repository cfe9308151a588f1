/**
 * The answers of a stand-in server to plain calls, sound or faulty.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { ServerMode } from "./server_mode.ts";

/** Time from the last byte to the end of an answer without a length. */
const UNFRAMED_END_MS = 20;
const CUT_AFTER_MS = 5;

export interface PlainAnswer {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly headers: Record<string, string>;
  readonly mode: ServerMode;
  readonly serverId: string;
}

export function answerPlainly(
  { request, response, headers, mode, serverId }: PlainAnswer,
): void {
  if (mode === "unsigned") delete headers["jackdawshift-server-signature"];
  if (mode.startsWith("unframed")) {
    writeUnframed(request, headers, mode);
    return;
  }
  if (mode === "cut") {
    response.writeHead(200, { ...headers, "content-length": "100" });
    response.write("half");
    setTimeout(() => response.destroy(), CUT_AFTER_MS);
    return;
  }
  response.writeHead(200, headers).end(`answer of ${serverId}`);
}

function writeUnframed(
  { socket }: IncomingMessage,
  headers: Readonly<Record<string, string>>,
  mode: ServerMode,
): void {
  const lines = Object.entries(headers).map((pair) => pair.join(": "));
  socket.write(
    ["HTTP/1.1 200 OK", ...lines, "", "half an answer"].join("\r\n"),
  );
  if (mode === "unframed-reset-at-once") {
    socket.resetAndDestroy();
    return;
  }
  setTimeout(() => {
    if (mode === "unframed") socket.end();
    else socket.resetAndDestroy();
  }, UNFRAMED_END_MS);
}
