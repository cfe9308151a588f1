/**
 * A proxy on the loopback interface that can delay, swallow, cut and reset
 * what passes.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Passes connections on to one address. */
export class LoopbackProxy {
  readonly #upstreamAddress: string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Added to each piece of data, both ways. */
  delayMs = 0;
  /** Nothing passes, either way; connections stay open. */
  dropsAll = false;
  /** What comes back is lost; requests arrive. */
  dropsAnswers = false;

  constructor(target: string) {
    this.#upstreamAddress = target;
    this.#server = createServer((inner) => this.#accept(inner));
  }

  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  listen(): Promise<void> {
    return new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
  }

  /** Resets all connections. */
  reset(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Ends all troubles; connections that lost bytes are of no more use. */
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

  #accept(inner: Socket): void {
    const [host, port] = this.#upstreamAddress.split(":");
    const outer = connect({ host, port: Number(port) });
    this.#forward(inner, outer, () => this.dropsAll);
    this.#forward(outer, inner, () => this.dropsAll || this.dropsAnswers);
  }

  #forward(from: Socket, to: Socket, isLost: () => boolean): void {
    this.#sockets.add(from);
    from.setNoDelay(true);
    const pass = (act: () => void): void => {
      if (this.delayMs === 0) act();
      else setTimeout(act, this.delayMs);
    };
    let hasLost = false;
    from.on("data", (chunk) => {
      // A gap in the bytes would be no fault that a network makes.
      hasLost ||= isLost();
      if (!hasLost) pass(() => to.destroyed || to.write(chunk));
    });
    from.on("end", () => {
      if (!hasLost) pass(() => to.end());
    });
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      pass(() => to.destroySoon());
    });
  }
}
