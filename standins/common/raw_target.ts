/**
 * A target on a plain TCP socket that executes, answers or cuts the connection
 * at any byte of a request or response, which an HTTP server cannot do.
 *
 * @module
 */

import { type AddressInfo, createServer, type Server, Socket } from "node:net";

/** Handling of one request. Fractions are of the received request, 0 to 1. */
export interface RawScript {
  /** Fraction at which the target executes the request; absent for never. */
  readonly executeAtFraction?: number;
  /** Fraction at which the connection is cut; absent to read the complete request. */
  readonly cutAtFraction?: number;
  /** Written once the request is complete; absent to send no answer. */
  readonly answer?: string;
  /** A second answer, written when the next request on the connection begins. */
  readonly extraAnswer?: string;
  /** Ends the connection after this many bytes of the answer. */
  readonly cutAnswerAtByte?: number;
  /** Ends the connection once the answer is written. */
  readonly closesAfterAnswer?: boolean;
}

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

  /** Number of requests that the target executed. */
  get executionCount(): number {
    return this.#executionCount;
  }

  /** Number of requests that arrived completely. */
  get completeCount(): number {
    return this.#completeCount;
  }

  /** Connections accepted since `setScripts`. */
  get connectionCount(): number {
    return this.#connectionCount;
  }

  /** Sets one script per request, with the last one repeated, and resets the counts. */
  setScripts(...scripts: readonly RawScript[]): void {
    this.#scripts = scripts;
    this.#requestCount = 0;
    this.#executionCount = 0;
    this.#completeCount = 0;
    this.#connectionCount = 0;
  }

  /** Listens on a free loopback port and returns the base URL. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, "127.0.0.1", () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve(`http://127.0.0.1:${port}`);
      });
    });
  }

  /** Destroys all connections and resolves when they are closed. */
  async closeConnections(): Promise<void> {
    const closed = [...this.#sockets].map((socket) =>
      new Promise((resolve) => socket.once("close", resolve).destroy())
    );
    await Promise.all(closed);
  }

  /** Stops listening and destroys all connections, like a target that crashed. */
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
    let hasExecuted = false;
    let extraAnswer: string | undefined;
    socket.on("data", (chunk) => {
      if (extraAnswer !== undefined) socket.write(extraAnswer);
      extraAnswer = undefined;
      received = Buffer.concat([received, chunk]);
      const fraction = received.length / requestLength(received);
      if (!hasExecuted && fraction >= (script.executeAtFraction ?? Infinity)) {
        hasExecuted = true;
        this.#executionCount++;
      }
      if (fraction >= (script.cutAtFraction ?? Infinity)) {
        socket.destroy();
        return;
      }
      if (fraction < 1) return;
      this.#completeCount++;
      answer(socket, script);
      extraAnswer = script.extraAnswer;
      received = Buffer.alloc(0);
      hasExecuted = false;
      script = this.#nextScript();
    });
  }

  #nextScript(): RawScript {
    const index = Math.min(this.#requestCount++, this.#scripts.length - 1);
    return this.#scripts[index];
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

/** Length of the first request in `received`; infinite until its head is complete. */
function requestLength(received: Buffer): number {
  const headEnd = received.indexOf("\r\n\r\n");
  if (headEnd < 0) return Infinity;
  const head = received.subarray(0, headEnd).toString("latin1");
  const length = /^content-length: *(\d+)/im.exec(head)?.[1] ?? "0";
  return headEnd + 4 + Number(length);
}
