/**
 * Watches one HTTP request for the moment from which a byte of it may have
 * left. Before that moment the far side cannot have acted on it.
 *
 * @module
 */

import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { TLSSocket } from "node:tls";

/** Knows whether a byte of its request may have left this process. */
export class SendTracker {
  #mayHaveSent = false;

  /** Never goes back to false. */
  get mayHaveSent(): boolean {
    return this.#mayHaveSent;
  }

  /** Starts to watch; called when the request is made, before any event. */
  track(request: ClientRequest): void {
    request.once("socket", (socket) => this.#trackSocket(socket));
  }

  #trackSocket(socket: Socket): void {
    // A connection that failed at once takes no byte any more.
    if (socket.destroyed) return;
    const isOpening = socket.connecting ||
      (socket instanceof TLSSocket && socket.getProtocol() === null);
    if (!isOpening) {
      this.#mayHaveSent = true;
      return;
    }
    // Node.js writes the waiting head in the same turn as this event.
    const connectedEvent = socket instanceof TLSSocket
      ? "secureConnect"
      : "connect";
    socket.once(connectedEvent, () => this.#mayHaveSent = true);
  }
}
