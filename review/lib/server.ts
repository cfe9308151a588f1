/**
 * A stand-in for a model server or a plain server of the users' platform, as a
 * program of its own would behave: sound unless a case sets a fault that the
 * pages name.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { performance } from "node:perf_hooks";

/** How the body of an answer is delimited. */
export type Framing = "chunked" | "length" | "unframed";

export interface ServerOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Kind of accelerator; undefined for a plain server. */
  readonly kind?: string;
  /** Events of a complete stream. */
  readonly events?: number;
  readonly eventGapMs?: number;
  /** Duration of a plain request. */
  readonly workMs?: number;
}

/** A request that the server began to run. */
export interface Run {
  readonly id: string;
  readonly server: string;
  readonly atMs: number;
  readonly from: string;
  readonly lastEventId: string | undefined;
  readonly isLeaving: boolean;
}

/** A server on a loopback port of its own. */
export class ReviewServer {
  readonly options: ServerOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly bornMs = Date.now();
  #port = 0;
  readonly runs: Run[] = [];
  span: { from: number; to: number } | undefined;
  seq = 0;
  framing: Framing = "chunked";
  /** Whether it says in all its answers that it leaves. */
  isLeaving = false;
  state: "ready" | "draining" = "ready";
  isUp = true;
  /** Whether it writes its entry with each heartbeat. */
  isRegistered = true;
  /** Of its plain answers, each of this number is reset midway; 0 for none. */
  resetEvery = 0;
  /** Answers that were reset midway. */
  readonly resets: string[] = [];
  #plainAnswers = 0;
  /** Of its streams, each of this number is garbled; 0 for none. */
  garbleEvery = 0;
  /** Streams with wrong bytes. */
  readonly garbled: string[] = [];
  #streams = 0;
  /** Events after which a stream ends the server; Infinity for never. */
  crashAfterEvents = Infinity;
  onCrash: () => void = () => {};

  constructor(options: ServerOptions) {
    this.options = options;
    this.#server = createServer((request, response) =>
      this.#receive(request, response)
    );
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  get id(): string {
    return this.options.id;
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** The server's entry in the store. */
  get entry(): Record<string, unknown> {
    const { service, zone, kind } = this.options;
    return {
      service,
      address: this.address,
      zone,
      version: "v1",
      slots: 16,
      state: this.state,
      "cold-left-ms": 0,
      seq: this.seq,
      born: this.bornMs,
      ...(kind === undefined ? {} : {
        "route-kind": kind,
        phase: "colocated",
        models: [{ name: "m", version: 1, adapters: [] }],
      }),
      ...(this.span === undefined
        ? {}
        : { layers: { ...this.span, version: 1 } }),
    };
  }

  listen(): Promise<void> {
    return new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", () => {
        this.#port = (this.#server.address() as AddressInfo).port;
        resolve();
      })
    );
  }

  /** Ends as a crashed process does: all channels are reset, new ones refused. */
  crash(): void {
    if (!this.isUp) return;
    this.isUp = false;
    this.#server.close();
    for (const socket of this.#sockets) sendReset(socket);
    this.onCrash();
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #receive(request: IncomingMessage, response: ServerResponse): void {
    if (this.isLeaving) response.setHeader("Server-Leaving", "1");
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      const expected = request.headers["jackdawshift-expect-instance"];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { "content-length": "0" }).end();
        return;
      }
      const body = Buffer.concat(chunks).toString();
      if (request.url === "/v1/report") this.#report(response);
      else if (request.url === "/v1/order") this.#order(body, response);
      else if (request.url === "/healthz") this.#health(response);
      else this.#run(request, response);
    });
  }

  #health(response: ServerResponse): void {
    response.writeHead(this.isLeaving ? 503 : 200, {
      "jackdawshift-instance-id": this.id,
      "content-length": "0",
    }).end();
  }

  #report(response: ServerResponse): void {
    const { kind } = this.options;
    sendJson(response, 200, {
      phase: "colocated",
      models: [{ name: "m", version: 1, adapters: [] }],
      born: this.bornMs,
      busy: false,
      seq: this.seq,
      queued: 0,
      active: 0,
      "kv-used-tokens": 0,
      "kv-total-tokens": 1_000_000,
      "kv-handles": 0,
      pace: 1,
      ...(kind === undefined ? {} : { "route-kind": kind }),
      ...(this.span === undefined
        ? {}
        : { layers: { ...this.span, version: 1 } }),
    });
  }

  #order(body: string, response: ServerResponse): void {
    const order = JSON.parse(body) as Record<string, unknown>;
    if (order.op !== "place") {
      sendJson(response, 404, {});
      return;
    }
    if (order.expect !== undefined && order.expect !== this.seq) {
      sendJson(response, 409, {});
      return;
    }
    this.seq++;
    this.span = { from: Number(order.from), to: Number(order.to) };
    sendJson(response, 202, {});
  }

  #run(request: IncomingMessage, response: ServerResponse): void {
    const { headers } = request;
    const id = String(headers["jackdawshift-attempt-id"]);
    const lastEventId = headers["last-event-id"];
    this.runs.push({
      id,
      server: this.id,
      atMs: performance.now(),
      from: request.socket.remoteAddress ?? "",
      lastEventId: typeof lastEventId === "string" ? lastEventId : undefined,
      isLeaving: this.isLeaving,
    });
    const answer = {
      "Jackdawshift-Attempt-Id": id,
      "Jackdawshift-Server-Signature": `signed.${this.id}.${id}`,
      "Jackdawshift-Server-Load": "1,0,16",
    };
    const { events, workMs = 5 } = this.options;
    if (events === undefined) {
      setTimeout(() => this.#answerPlain(response, { id, answer }), workMs);
      return;
    }
    if (this.framing === "unframed") removeFraming(response);
    response.writeHead(200, {
      ...answer,
      "Content-Type": "text/event-stream",
    });
    const isGarbled = this.garbleEvery > 0 &&
      ++this.#streams % this.garbleEvery === 0;
    if (isGarbled) this.garbled.push(id);
    const next = Number(lastEventId ?? -1) + 1;
    this.#emit(response, { next, garbleAt: isGarbled ? next : undefined });
  }

  #answerPlain(
    response: ServerResponse,
    { id, answer }: {
      readonly id: string;
      readonly answer: Readonly<Record<string, string>>;
    },
  ): void {
    const text = plainBody(this.id, id);
    if (this.framing !== "unframed") {
      response.writeHead(200, { ...answer, "content-length": text.length });
      response.end(text);
      return;
    }
    removeFraming(response);
    response.writeHead(200, answer);
    const isReset = this.resetEvery > 0 &&
      ++this.#plainAnswers % this.resetEvery === 0;
    if (!isReset) {
      response.end(text);
      return;
    }
    this.resets.push(id);
    const { socket } = response;
    response.write(text.slice(0, text.length / 2), () => {
      if (socket !== null) sendReset(socket);
    });
  }

  #emit(
    response: ServerResponse,
    { next, garbleAt }: {
      readonly next: number;
      readonly garbleAt: number | undefined;
    },
  ): void {
    const { events = 0, eventGapMs = 20 } = this.options;
    if (response.destroyed || !this.isUp) return;
    if (next >= this.crashAfterEvents) {
      // A server that crashes may cut off its stream in the middle of an event.
      response.write(`id: ${next}\ndata: pie`);
      setTimeout(() => this.crash(), 5);
      return;
    }
    if (next >= events) {
      response.end();
      return;
    }
    // A piece of some other stream follows the piece; both come in one chunk.
    const stray = next === garbleAt ? pieceOf(next + 1_000) : "";
    response.write(pieceOf(next) + stray);
    const emitNext = (): void =>
      this.#emit(response, { next: next + 1, garbleAt });
    // The next chunk follows at once, as tokens of one pass do.
    if (stray === "") setTimeout(emitNext, eventGapMs);
    else emitNext();
  }
}

function pieceOf(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** The whole body of a plain server's answer. */
export function plainBody(server: string, id: string): string {
  return `answer of ${server} to ${id}\n${"0123456789".repeat(80)}`;
}

/** No length and no chunks: the answer ends with its channel. */
function removeFraming(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
}

/**
 * Resets a channel, as the system does for a process that ends with unread
 * bytes. `resetAndDestroy` of Node.js ends the channel first, which would look
 * like the end of the answer.
 */
function sendReset(socket: Socket): void {
  const { _handle: handle } = socket as unknown as {
    readonly _handle: { reset(done: () => void): void } | null;
  };
  handle?.reset(() => socket.destroy());
}

function sendJson(
  response: ServerResponse,
  status: number,
  fields: Record<string, unknown>,
): void {
  const text = JSON.stringify(fields);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
