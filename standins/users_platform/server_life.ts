/**
 * The process of a stand-in server: how it ends, and what answers at its address
 * afterwards.
 *
 * @module
 */

import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { listenAgain } from "./listen_again.ts";

/**
 * What callers see of a server that ends:
 * - `refuses`: connections break and new ones are refused until the restart.
 * - `closes-late`: as `refuses`, but new connections are accepted a while longer.
 * - `back-at-once`: connections break; the restarted server has the same id.
 * - `replaced-at-once`: connections break; a server with another id answers.
 * - `silent`: connections stay open without answers until the restart, after
 *   which a server with another id answers.
 */
export const SERVER_ENDINGS = [
  "refuses",
  "closes-late",
  "back-at-once",
  "replaced-at-once",
  "silent",
] as const;

export type ServerEnding = typeof SERVER_ENDINGS[number];

/** How long the port of a server that closes late accepts connections. */
export const CLOSING_MS = 40;

export interface ServerLifeOptions {
  readonly id: string;
  readonly server: Server;
}

export class ServerLife {
  readonly #options: ServerLifeOptions;
  #timer: NodeJS.Timeout | undefined;
  #replacements = 0;
  #bornMs = Date.now();
  ending: ServerEnding = "refuses";
  /** Time until a server that ended listens again, with its layers loaded. */
  restartMs = 50;
  /** Whether the process has ended, though connections may still be accepted. */
  #hasEnded = false;
  /** Times of its ends on the monotonic clock of the process. */
  readonly endedAtMs: number[] = [];
  /** Called when the server ends, and when it listens again. */
  onListeningChange: (isListening: boolean) => void = () => {};

  constructor(options: ServerLifeOptions) {
    this.#options = options;
  }

  /** Changes with each replacement of the server. */
  get id(): string {
    const { id } = this.#options;
    return this.#replacements === 0 ? id : `${id}-${this.#replacements}`;
  }

  /** Wall-clock start time of the process. */
  get bornMs(): number {
    return this.#bornMs;
  }

  get isRunning(): boolean {
    return !this.#hasEnded;
  }

  end(): void {
    if (!this.isRunning) return;
    const { server } = this.#options;
    this.#hasEnded = true;
    this.endedAtMs.push(performance.now());
    this.onListeningChange(false);
    switch (this.ending) {
      case "refuses":
        this.#closePort();
        break;
      case "closes-late":
        server.closeAllConnections();
        this.#timer = setTimeout(() => this.#closePort(), CLOSING_MS);
        break;
      case "back-at-once":
        server.closeAllConnections();
        this.#start({ isReplaced: false });
        break;
      case "replaced-at-once":
        server.closeAllConnections();
        this.#start({ isReplaced: true });
        break;
      case "silent":
        this.#timer = setTimeout(() => {
          server.closeAllConnections();
          this.#start({ isReplaced: true });
        }, this.restartMs);
    }
  }

  dispose(): void {
    clearTimeout(this.#timer);
  }

  #closePort(): void {
    const { server } = this.#options;
    const { port } = server.address() as AddressInfo;
    server.close();
    server.closeAllConnections();
    this.#timer = setTimeout(() => {
      listenAgain(server, port);
      this.#start({ isReplaced: false });
    }, this.restartMs);
  }

  #start({ isReplaced }: { readonly isReplaced: boolean }): void {
    if (isReplaced) this.#replacements++;
    this.#bornMs = Date.now();
    this.#hasEnded = false;
    this.onListeningChange(true);
  }
}
