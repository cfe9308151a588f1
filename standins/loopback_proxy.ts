/**
 * A TCP proxy on the loopback interface that can delay or drop data and reset
 * connections, also of single clients, which it tells apart by their addresses.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { SERVER_IP } from "./loopback_address.ts";
import { listenAgain } from "./users_platform/listen_again.ts";

/**
 * What a cut does: connections stop, or are reset, or live on while new ones
 * are reset.
 */
export type ClientCut = "silent" | "reset" | "refuses-new";

export interface LostAnswer {
  /** Address of the client. */
  readonly to: string;
  readonly atMs: number;
}

/** Forwards connections to one address. */
export class LoopbackProxy {
  readonly #upstreamAddress: string;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #refusedPort = 0;
  /** Cuts by the address of the client. */
  readonly #cuts = new Map<string, ClientCut>();
  /** Data from the upstream that was dropped. */
  readonly lostAnswers: LostAnswer[] = [];
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
    return `${SERVER_IP}:${port}`;
  }

  listen(): Promise<void> {
    return new Promise((resolve) => this.#server.listen(0, SERVER_IP, resolve));
  }

  /** Resets all connections and refuses new ones until `accept`. */
  refuse(): void {
    if (!this.#server.listening) return;
    this.#refusedPort = (this.#server.address() as AddressInfo).port;
    this.#server.close();
    this.reset();
  }

  /** Cuts a client off, or no longer if `cut` is undefined. */
  setCut(clientIp: string, cut: ClientCut | undefined): void {
    if (cut === undefined) this.#cuts.delete(clientIp);
    else this.#cuts.set(clientIp, cut);
    // Connections that were silent have lost bytes.
    if (cut === "refuses-new") return;
    for (const socket of this.#sockets) {
      if (cut !== "silent" && socket.remoteAddress === clientIp) {
        socket.resetAndDestroy();
      }
    }
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
    const ip = client.remoteAddress ?? "";
    const cut = this.#cuts.get(ip);
    if (cut === "reset" || cut === "refuses-new") {
      client.resetAndDestroy();
      return;
    }
    const isSilent = (): boolean => this.#cuts.get(ip) === "silent";
    const [host, port] = this.#upstreamAddress.split(":");
    // The server sees the address of the client.
    const upstream = connect({ host, port: Number(port), localAddress: ip });
    this.#forward({
      from: client,
      to: upstream,
      shouldDrop: () => this.dropsAll || isSilent(),
    });
    this.#forward({
      from: upstream,
      to: client,
      shouldDrop: () => this.dropsAll || this.dropsAnswers || isSilent(),
      onDrop: () => this.lostAnswers.push({ to: ip, atMs: performance.now() }),
    });
  }

  #forward(
    { from, to, shouldDrop, onDrop }: {
      readonly from: Socket;
      readonly to: Socket;
      readonly shouldDrop: () => boolean;
      readonly onDrop?: () => void;
    },
  ): void {
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
      if (hasDropped) onDrop?.();
      else delayed(() => to.destroyed || to.write(chunk));
    });
    let wasReset = false;
    // Node.js may report the end, and no error, of a connection that was reset.
    from.prependListener(
      "end",
      () => wasReset = from.remoteAddress === undefined,
    );
    from.on("end", () => {
      if (hasDropped) return;
      delayed(() => wasReset ? to.resetAndDestroy() : to.end());
    });
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
      this.#sockets.delete(from);
      delayed(() => to.destroySoon());
    });
  }
}
