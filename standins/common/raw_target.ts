/**
 * A target on a bare socket that acts, answers and cuts at any byte of a
 * request or of its answer, which no HTTP server can be made to do.
 *
 * @module
 */

import { type AddressInfo, createServer, type Server, Socket } from "node:net";

/** What happens to one request. Places are shares of the request, 0 to 1. */
export interface RawScript {
  /** Place from which the target has acted; undefined when it never acts. */
  readonly executeAtFraction?: number;
  /** Place at which the connection is cut; undefined to read it whole. */
  readonly cutAtFraction?: number;
  /** Bytes written once the request is whole; undefined to stay silent. */
  readonly answer?: string;
  /** Second answer, written when the connection's next request begins. */
  readonly extraAnswer?: string;
  /** Cuts after so many bytes of the answer. */
  readonly cutAnswerAtByte?: number;
  /** Cuts once the answer is written. */
  readonly closesAfterAnswer?: boolean;
}

/** The target. */
export class RawTarget {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #scripts: readonly RawScript[] = [];
  #requestCount = 0;
  #executionCount = 0;
  #completeCount = 0;
  #connectionCount = 0;

  constructor() {
    this.#server = createServer((socket) => this.#serve(socket));
  }

  /** How many requests the target acted on. */
  get executionCount(): number {
    return this.#executionCount;
  }

  /** How many requests arrived whole. */
  get completeCount(): number {
    return this.#completeCount;
  }

  /** Connections taken since the scripts began. */
  get connectionCount(): number {
    return this.#connectionCount;
  }

  /** Plays one script for each request, the last one from then on. */
  setScripts(...scripts: readonly RawScript[]): void {
    this.#scripts = scripts;
    this.#requestCount = 0;
    this.#executionCount = 0;
    this.#completeCount = 0;
    this.#connectionCount = 0;
  }

  /** Listens and returns the base URL. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve(`http://127.0.0.1:${port}`);
      });
    });
  }

  /** Cuts all connections and resolves when none is left. */
  async closeConnections(): Promise<void> {
    const closed = [...this.#sockets].map((socket) =>
      new Promise((resolve) => socket.once("close", resolve).destroy())
    );
    await Promise.all(closed);
  }

  /** Stops listening, as a target that died. */
  async close(): Promise<void> {
    const closed = new Promise((resolve) => this.#server.close(resolve));
    await this.closeConnections();
    await closed;
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    this.#connectionCount++;
    socket.once("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    let script = this.#nextScript();
    if (script.cutAtFraction === 0) {
      socket.destroy();
      return;
    }
    let received = Buffer.alloc(0);
    let hasActed = false;
    let crossedAnswer: string | undefined;
    socket.on("data", (chunk) => {
      if (crossedAnswer !== undefined) socket.write(crossedAnswer);
      crossedAnswer = undefined;
      received = Buffer.concat([received, chunk]);
      const share = received.length / requestLength(received);
      if (!hasActed && share >= (script.executeAtFraction ?? Infinity)) {
        hasActed = true;
        this.#executionCount++;
      }
      if (share >= (script.cutAtFraction ?? Infinity)) {
        socket.destroy();
        return;
      }
      if (share < 1) return;
      this.#completeCount++;
      answer(socket, script);
      crossedAnswer = script.extraAnswer;
      received = Buffer.alloc(0);
      hasActed = false;
      script = this.#nextScript();
    });
  }

  #nextScript(): RawScript {
    const place = Math.min(this.#requestCount++, this.#scripts.length - 1);
    return this.#scripts[place];
  }
}

function answer(socket: Socket, script: RawScript): void {
  if (script.answer === undefined) return;
  const { cutAnswerAtByte } = script;
  if (cutAnswerAtByte !== undefined) {
    socket.end(script.answer.slice(0, cutAnswerAtByte));
  } else if (script.closesAfterAnswer) socket.end(script.answer);
  else socket.write(script.answer);
}

/** Length of the request that begins `received`, infinite until it is known. */
function requestLength(received: Buffer): number {
  const headEnd = received.indexOf("\r\n\r\n");
  if (headEnd < 0) return Infinity;
  const head = received.subarray(0, headEnd).toString("latin1");
  const length = /^content-length: *(\d+)/im.exec(head)?.[1] ?? "0";
  return headEnd + 4 + Number(length);
}
