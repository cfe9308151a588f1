/**
 * A stand-in for the users' store: in-memory keyed topics with offsets, long
 * polls, snapshots and injectable faults.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { SERVER_IP } from "../loopback_address.ts";
import { recordsFault, storeCallFault } from "./call_checks.ts";

export type StoreFault = "none" | "silent" | "busy" | "reset";

export interface DrillOptions {
  /** The store comes back as it was this long before it goes away. */
  readonly copyAgeMs: number;
  /** How long it is away. */
  readonly awayMs: number;
}

interface JournalEntry extends KeyedEntry {
  readonly topic: string;
  readonly atMs: number;
}

interface KeyedEntry {
  readonly key: string;
  readonly value: Buffer;
}

interface Topic {
  firstOffset: number;
  readonly records: KeyedEntry[];
  readonly newest: Map<string, { value: Buffer; offset: number }>;
}

export class StoreStandin {
  readonly #server: Server;
  readonly #topics = new Map<string, Topic>();
  readonly #waitingReads = new Set<() => void>();
  readonly #journal: JournalEntry[] = [];
  #isAway = false;
  fault: StoreFault = "none";
  /** Named in all answers if defined; each drill increments it. */
  era: number | undefined;
  /** Leaves the era out of the answers. */
  hidesEra = false;
  /** Paths of all received calls, in order. */
  readonly calls: string[] = [];
  /** Calls that were refused with 400, each with its fault. */
  readonly invalidCalls: string[] = [];

  constructor() {
    this.#server = createServer((request, response) =>
      this.#serve(request, response)
    );
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `${SERVER_IP}:${port}`;
  }

  listen(): Promise<void> {
    return new Promise((resolve) => this.#server.listen(0, SERVER_IP, resolve));
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Appends a record; an undefined value deletes the key. */
  put(topic: string, key: string, value: unknown): void {
    const bytes = value === undefined
      ? Buffer.alloc(0)
      : Buffer.isBuffer(value)
      ? value
      : Buffer.from(JSON.stringify(value));
    this.#append(topic, key, bytes);
  }

  /**
   * Goes away and comes back from an older copy, without the records that were
   * appended since. Resolves when the store is back.
   */
  async drill({ copyAgeMs, awayMs }: DrillOptions): Promise<void> {
    const copiedMs = performance.now() - copyAgeMs;
    this.#isAway = true;
    this.#server.closeAllConnections();
    await new Promise((resolve) => setTimeout(resolve, awayMs));
    const kept = this.#journal.filter(({ atMs }) => atMs <= copiedMs);
    this.#journal.length = 0;
    this.#topics.clear();
    this.#waitingReads.clear();
    for (const { topic, key, value, atMs } of kept) {
      this.#append(topic, key, value, atMs);
    }
    this.era = (this.era ?? 0) + 1;
    this.#isAway = false;
  }

  /** Drops the history of a topic; only snapshots keep the newest value of each key. */
  compact(topic: string): void {
    const compacted = this.#topic(topic);
    compacted.firstOffset += compacted.records.length;
    compacted.records.length = 0;
  }

  #append(
    name: string,
    key: string,
    value: Buffer,
    atMs = performance.now(),
  ): number {
    const topic = this.#topic(name);
    this.#journal.push({ topic: name, key, value, atMs });
    const offset = topic.firstOffset + topic.records.length;
    topic.records.push({ key, value });
    if (value.length === 0) topic.newest.delete(key);
    else topic.newest.set(key, { value, offset });
    for (const wake of [...this.#waitingReads]) wake();
    return offset;
  }

  #topic(name: string): Topic {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = { firstOffset: 0, records: [], newest: new Map() };
      this.#topics.set(name, topic);
    }
    return topic;
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? "/", "http://store");
    this.calls.push(url.pathname);
    if (this.era !== undefined && !this.hidesEra) {
      response.setHeader("Store-Era", this.era);
    }
    if (this.fault === "silent") return;
    if (this.#isAway || this.fault === "reset") {
      request.socket.destroy();
      return;
    }
    if (this.fault === "busy") {
      response.writeHead(503).end();
      return;
    }
    const fault = storeCallFault(request.method ?? "", url);
    if (fault !== undefined) {
      this.#refuseInvalid(request, response, fault);
      return;
    }
    const topic = url.searchParams.get("topic") ?? "";
    if (url.pathname === "/v1/log-read") this.#read(url, topic, response);
    else if (url.pathname === "/v1/log-newest") {
      this.#sendNewest(topic, response);
    } else this.#receiveAppend(topic, request, response);
  }

  #refuseInvalid(
    { method, url }: IncomingMessage,
    response: ServerResponse,
    fault: string,
  ): void {
    const line = `store: ${method} ${url}: ${fault}`;
    this.invalidCalls.push(line);
    console.error(line);
    response.writeHead(400).end(JSON.stringify({ error: fault }));
  }

  #read(url: URL, name: string, response: ServerResponse): void {
    const from = Number(url.searchParams.get("from"));
    const timeoutMs = Number(url.searchParams.get("wait-ms") ?? 0);
    const topic = this.#topic(name);
    const answer = (): void => {
      clearTimeout(timer);
      this.#waitingReads.delete(wake);
      const endOffset = topic.firstOffset + topic.records.length;
      if (from < topic.firstOffset || from > endOffset) {
        response.writeHead(410).end(
          JSON.stringify({ "start-offset": topic.firstOffset }),
        );
        return;
      }
      response.writeHead(200).end(encodeRead(topic, from));
    };
    const wake = (): void => {
      if (topic.firstOffset + topic.records.length > from) answer();
    };
    const timer = setTimeout(answer, timeoutMs);
    this.#waitingReads.add(wake);
    wake();
  }

  #sendNewest(name: string, response: ServerResponse): void {
    const topic = this.#topic(name);
    const items = [...topic.newest].map(([key, { value, offset }]) => ({
      key,
      value: value.toString("base64"),
      offset,
    }));
    response.writeHead(200).end(JSON.stringify({
      items,
      "has-more": false,
      "end-offset": topic.firstOffset + topic.records.length,
    }));
  }

  #receiveAppend(
    topic: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      const body = Buffer.concat(chunks);
      const fault = recordsFault(body);
      if (fault !== undefined) {
        this.#refuseInvalid(request, response, fault);
        return;
      }
      const keyBytes = body[4];
      const key = body.toString("utf8", 5, 5 + keyBytes);
      const offset = this.#append(topic, key, body.subarray(5 + keyBytes));
      response.writeHead(200).end(
        JSON.stringify({ offset, "end-offset": offset + 1 }),
      );
    });
  }
}

function encodeRead(topic: Topic, from: number): Buffer {
  const header = Buffer.alloc(16);
  const endOffset = topic.firstOffset + topic.records.length;
  header.writeBigUInt64BE(BigInt(endOffset), 0);
  header.writeBigUInt64BE(BigInt(topic.firstOffset), 8);
  const records = topic.records.slice(from - topic.firstOffset).map(
    ({ key, value }) => {
      const keyBytes = Buffer.from(key);
      const prefix = Buffer.alloc(5);
      prefix.writeUInt32BE(1 + keyBytes.length + value.length, 0);
      prefix.writeUInt8(keyBytes.length, 4);
      return Buffer.concat([prefix, keyBytes, value]);
    },
  );
  return Buffer.concat([header, ...records]);
}
