/**
 * Keeps connections to targets for later requests, for a short time only: a
 * connection that carries anything between two answers, or that its target may
 * be about to close, is not used again.
 *
 * @module
 */

import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Idle connections are closed after this; targets announce some seconds. */
const MAX_IDLE_MS = 2_000;
/** Part of the announced idle time that is used, for the way there. */
const IDLE_SHARE = 0.5;
const MAX_IDLE_SOCKETS = 8;

/** Options of the agent. */
export interface UpstreamAgentOptions {
  /** Called when an idle connection carried bytes that no request waited for. */
  readonly onStrayBytes?: (address: string, sizeBytes: number) => void;
}

interface Guards {
  readonly onData: (chunk: Buffer) => void;
}

/** The pool of connections to all targets. */
export class UpstreamAgent extends Agent {
  readonly #guards = new WeakMap<object, Guards>();
  readonly #onStrayBytes: (address: string, sizeBytes: number) => void;

  constructor(options: UpstreamAgentOptions = {}) {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_SOCKETS,
      scheduling: "lifo",
    });
    this.#onStrayBytes = options.onStrayBytes ?? (() => {});
  }

  /** Called by Node.js when an answer is whole and the connection may be kept. */
  override keepSocketAlive(socket: Socket): boolean {
    const idleMs = Math.min(MAX_IDLE_MS, announcedIdleMs(socket) * IDLE_SHARE);
    if (idleMs <= 0 || socket.destroyed) return false;
    super.keepSocketAlive(socket);
    const onData = (chunk: Buffer): void => {
      this.#onStrayBytes(
        `${socket.remoteAddress}:${socket.remotePort}`,
        chunk.length,
      );
      socket.destroy();
    };
    this.#guards.set(socket, { onData });
    socket.on("data", onData);
    socket.setTimeout(idleMs);
    return true;
  }

  /** Called by Node.js before a kept connection carries another request. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const guards = this.#guards.get(socket);
    if (guards !== undefined) socket.off("data", guards.onData);
    this.#guards.delete(socket);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}

/** Idle time that the target's last answer announced; infinite without one. */
function announcedIdleMs(socket: Socket): number {
  const message = (socket as {
    _httpMessage?: ClientRequest & {
      res?: { headers: Record<string, string> };
    };
  })
    ._httpMessage;
  const hint = message?.res?.headers["keep-alive"];
  const seconds = /timeout=(\d+)/.exec(hint ?? "")?.[1];
  return seconds === undefined ? Infinity : Number(seconds) * 1_000;
}
