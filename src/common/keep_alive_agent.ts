/**
 * Keeps connections alive for a short time. A connection that receives
 * data while idle, or that its target may be about to close, is not reused.
 *
 * @module
 */

import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Idle connections are closed after this time; targets announce some seconds. */
const MAX_IDLE_MS = 2_000;
/** Share of the announced time-out that is used, to allow for transit time. */
const KEEP_ALIVE_FRACTION = 0.5;
const DEFAULT_MAX_IDLE_SOCKETS = 8;

export interface KeepAliveAgentOptions {
  /** Idle connections that are kept to each address. */
  readonly maxIdleSockets?: number;
  /** Called when an idle connection receives data that belongs to no request. */
  readonly onUnsolicitedData?: (address: string, sizeBytes: number) => void;
}

interface IdleListeners {
  readonly onData: (chunk: Buffer) => void;
}

/** Connection pool. */
export class KeepAliveAgent extends Agent {
  readonly #idleListeners = new WeakMap<object, IdleListeners>();
  readonly #onUnsolicitedData: (address: string, sizeBytes: number) => void;

  constructor(options: KeepAliveAgentOptions = {}) {
    super({
      keepAlive: true,
      maxFreeSockets: options.maxIdleSockets ?? DEFAULT_MAX_IDLE_SOCKETS,
      scheduling: "lifo",
    });
    this.#onUnsolicitedData = options.onUnsolicitedData ?? (() => {});
  }

  /** Called by Node.js when a response is complete and its connection may be kept. */
  override keepSocketAlive(socket: Socket): boolean {
    const idleMs = Math.min(
      MAX_IDLE_MS,
      keepAliveTimeoutMs(socket) * KEEP_ALIVE_FRACTION,
    );
    if (idleMs <= 0 || socket.destroyed) return false;
    super.keepSocketAlive(socket);
    const onData = (chunk: Buffer): void => {
      this.#onUnsolicitedData(
        `${socket.remoteAddress}:${socket.remotePort}`,
        chunk.length,
      );
      socket.destroy();
    };
    this.#idleListeners.set(socket, { onData });
    socket.on("data", onData);
    socket.setTimeout(idleMs);
    return true;
  }

  /** Called by Node.js before a kept-alive connection is reused. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const listeners = this.#idleListeners.get(socket);
    if (listeners !== undefined) socket.off("data", listeners.onData);
    this.#idleListeners.delete(socket);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}

/** Time-out in the last response's `Keep-Alive` header, or `Infinity`. */
function keepAliveTimeoutMs(socket: Socket): number {
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
