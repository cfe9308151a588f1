/**
 * A TCP proxy on the loopback interface that can delay or drop data and reset
 * connections.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { listenAgain } from "../standins/users_platform/listen_again.ts";

/** Forwards connections to one address. */
export class LoopbackProxy {
  readonly #upstreamAddress: string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #refusedPort = 0;
  /** Delay of each chunk, in both directions. */
  delayMs = 0;
  /** Drops data in both directions; connections stay open. */
  dropsAll = false;
  /** Drops data from the upstream only; requests still arrive. */
  dropsAnswers = false;

  constructor(target: string) {
    this.#upstreamAddress = target;
    this.#server = createServer((client) => this.#accept(client));
  }

  get address(): string {
    const { port } = (this.#server.address() ??
      { port: this.#refusedPort }) as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  listen(): Promise<void> {
    return new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
  }

  /** Resets all connections and refuses new ones until `accept`. */
  refuse(): void {
    if (!this.#server.listening) return;
    this.#refusedPort = (this.#server.address() as AddressInfo).port;
    this.#server.close();
    this.reset();
  }

  accept(): void {
    if (this.#server.listening) return;
    listenAgain(this.#server, this.#refusedPort);
  }

  /** Resets all connections. */
  reset(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Ends all faults and resets all connections, as some have lost bytes. */
  clearFaults(): void {
    this.dropsAll = false;
    this.dropsAnswers = false;
    this.delayMs = 0;
    this.reset();
  }

  dispose(): void {
    this.reset();
    this.#server.close();
  }

  #accept(client: Socket): void {
    const [host, port] = this.#upstreamAddress.split(":");
    const upstream = connect({ host, port: Number(port) });
    this.#forward(client, upstream, () => this.dropsAll);
    this.#forward(upstream, client, () => this.dropsAll || this.dropsAnswers);
  }

  #forward(from: Socket, to: Socket, shouldDrop: () => boolean): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    const delayed = (action: () => void): void => {
      if (this.delayMs === 0) action();
      else setTimeout(action, this.delayMs);
    };
    let hasDropped = false;
    from.on("data", (chunk) => {
      // Once a chunk is dropped, drop the rest too: TCP never delivers a gap.
      hasDropped ||= shouldDrop();
      if (!hasDropped) delayed(() => to.destroyed || to.write(chunk));
    });
    from.on("end", () => {
      if (!hasDropped) delayed(() => to.end());
    });
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      delayed(() => to.destroySoon());
    });
  }
}
