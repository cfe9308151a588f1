/**
 * Detects when the first byte of an HTTP request may have been sent. Before that,
 * the peer can't have executed any of it.
 *
 * @module
 */

import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { TLSSocket } from "node:tls";

/** Tracks whether any byte of a request may have left this process. */
export class SendTracker {
  #mayHaveSent = false;

  /** Never returns to false once it is true. */
  get mayHaveSent(): boolean {
    return this.#mayHaveSent;
  }

  /** Must be called when the request is created, before its first event. */
  track(request: ClientRequest): void {
    request.once("socket", (socket) => this.#trackSocket(socket));
  }

  #trackSocket(socket: Socket): void {
    // A socket that failed immediately sends nothing.
    if (socket.destroyed) return;
    const isOpening = socket.connecting ||
      (socket instanceof TLSSocket && socket.getProtocol() === null);
    if (!isOpening) {
      this.#mayHaveSent = true;
      return;
    }
    // Node.js writes the buffered header in the same turn as this event.
    const connectedEvent = socket instanceof TLSSocket
      ? "secureConnect"
      : "connect";
    socket.once(connectedEvent, () => this.#mayHaveSent = true);
  }
}
