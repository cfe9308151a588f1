/**
 * Bounds what a server may send before the head of its final response: interim
 * responses, blank lines and the head itself. Node.js bounds the size of one head
 * only, and reads any number of interim ones.
 *
 * @module
 */

import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Sound servers send none, or one before a long response. */
const MAX_INTERIM_RESPONSES = 8;
/** Four times the largest head that Node.js accepts. */
const MAX_BYTES_BEFORE_RESPONSE = 64 * 1024;

/** Destroys a request, with an error, whose server exceeds a bound. */
export function limitResponseHead(request: ClientRequest): void {
  let hasResponse = false;
  let interimResponses = 0;
  let sizeBytes = 0;
  request.on("information", () => {
    interimResponses++;
    if (interimResponses !== MAX_INTERIM_RESPONSES + 1) return;
    request.destroy(
      new Error(`more than ${MAX_INTERIM_RESPONSES} interim responses`),
    );
  });
  request.on("response", () => hasResponse = true);
  request.on("socket", (socket: Socket) => {
    const onData = (chunk: Buffer): void => {
      // Node.js has parsed the chunk, which may hold the head and a part of the body.
      if (hasResponse) {
        socket.off("data", onData);
        return;
      }
      sizeBytes += chunk.length;
      if (sizeBytes <= MAX_BYTES_BEFORE_RESPONSE) return;
      socket.off("data", onData);
      request.destroy(
        new Error(`no response within ${MAX_BYTES_BEFORE_RESPONSE} bytes`),
      );
    };
    socket.on("data", onData);
    request.on("close", () => socket.off("data", onData));
  });
}
