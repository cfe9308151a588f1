/**
 * Passes records of a followed log that are too large for a datagram to another
 * host, over HTTP. The host that asks dates the answer from the start of its
 * call, like an answer to a datagram.
 *
 * @module
 */

import type {
  IncomingHttpHeaders,
  IncomingMessage,
  ServerResponse,
} from "node:http";
import { gunzipSync, gzipSync } from "node:zlib";
import { callHttp } from "../common/http_call.ts";
import type { KeepAliveAgent } from "../common/keep_alive_agent.ts";
import type { ILog } from "../common/logging.ts";
import type { Endpoint } from "../ports/types.ts";
import {
  decodeLogAnswer,
  decodeLogQuery,
  encodeLogAnswer,
  encodeLogQuery,
  type LogAnswerRead,
  type LogQuery,
} from "./log_messages.ts";
import type { LogResponder } from "./log_responder.ts";

const PATH = "/log-records";
/** The query of the datagram, in a header. */
const QUERY_HEADER = "log-query";
const WATERMARK_HEADER = "log-watermark-delta-ms";
const RECOVERY_HEADER = "log-since-recovery-ms";
/** A decompressed answer is at most this large. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Routes and keys repeat the same members; more effort saves little. */
const COMPRESSION_LEVEL = 1;

export interface LogTransferOptions {
  readonly responder: LogResponder;
  readonly agent: KeepAliveAgent;
  readonly log: ILog;
  /** Whether a request between hosts is that of a caller. */
  readonly isDelegated: (headers: IncomingHttpHeaders) => boolean;
}

/** Compressed records, for the hosts that are at the same offset. */
interface CachedBody {
  readonly key: string;
  readonly body: Buffer;
}

export class LogTransfer {
  readonly #options: LogTransferOptions;
  #cached: CachedBody | undefined;

  constructor(options: LogTransferOptions) {
    this.#options = options;
  }

  /** Answers a request between hosts if it asks for records; else returns false. */
  tryServe(request: IncomingMessage, response: ServerResponse): boolean {
    const { url, headers } = request;
    // A delegated request has a caller's path and headers.
    const isQuery = url === PATH && headers[QUERY_HEADER] !== undefined &&
      !this.#options.isDelegated(headers);
    if (isQuery) this.#serve(request, response);
    return isQuery;
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    const query = parseQuery(request.headers[QUERY_HEADER]);
    if (query === undefined) {
      response.writeHead(400, { "content-length": "0" }).end();
      return;
    }
    const read = this.#options.responder.readNow(query);
    if (read === undefined) {
      response.writeHead(404, { "content-length": "0" }).end();
      return;
    }
    const body = this.#bodyOf(query, read);
    response.writeHead(200, {
      "content-type": "application/json",
      "content-encoding": "gzip",
      "content-length": body.length,
      [WATERMARK_HEADER]: read.watermarkDeltaMs,
      [RECOVERY_HEADER]: read.sinceRecoveryMs,
    });
    response.end(body);
  }

  /** Resolves with undefined if the host does not answer within `timeoutMs`. */
  async fetch(
    endpoint: Endpoint,
    query: Omit<LogQuery, "id">,
    timeoutMs: number,
  ): Promise<LogAnswerRead | undefined> {
    const { agent, log } = this.#options;
    try {
      const { status, rawHeaders, body } = await callHttp({
        endpoint,
        method: "GET",
        path: PATH,
        headers: {
          [QUERY_HEADER]: encodeLogQuery({ ...query, id: 0 }).toString(),
        },
        timeoutMs,
        agent,
      });
      if (status !== 200) throw new Error(`HTTP ${status}`);
      const text = gunzipSync(body, { maxOutputLength: MAX_ANSWER_BYTES });
      const { say } = JSON.parse(text.toString()) as { say?: unknown };
      const read = decodeLogAnswer(say)?.read;
      if (read === undefined) throw new Error("malformed records");
      return {
        ...read,
        watermarkDeltaMs: numberOf(rawHeaders, WATERMARK_HEADER),
        sinceRecoveryMs: numberOf(rawHeaders, RECOVERY_HEADER),
      };
    } catch (error) {
      log.info("records not received from another host", {
        log: query.log,
        ip: endpoint.ip,
        reason: String(error),
      });
      return undefined;
    }
  }

  /** What changes with each call is in the headers, so that the body can be reused. */
  #bodyOf(query: LogQuery, read: LogAnswerRead): Buffer {
    const { log, fromOffset } = query;
    const key = [log, fromOffset, read.nextOffset, read.era].join(" ");
    if (this.#cached?.key !== key) {
      const answer = encodeLogAnswer({
        id: 0,
        read: { ...read, watermarkDeltaMs: 0, sinceRecoveryMs: 0 },
      });
      const body = gzipSync(answer, { level: COMPRESSION_LEVEL });
      this.#cached = { key, body };
    }
    return this.#cached.body;
  }
}

function parseQuery(
  header: string | string[] | undefined,
): LogQuery | undefined {
  try {
    const { ask } = JSON.parse(String(header)) as { ask?: unknown };
    return decodeLogQuery(ask);
  } catch {
    // The caller answers a malformed query with 400.
    return undefined;
  }
}

/** Throws if the header is missing or no number. */
function numberOf(rawHeaders: readonly string[], name: string): number {
  const index = rawHeaders.findIndex((one, i) =>
    i % 2 === 0 && one.toLowerCase() === name
  );
  const value = Number(index < 0 ? NaN : rawHeaders[index + 1]);
  if (!Number.isFinite(value)) throw new Error(`${name}: must be a number`);
  return value;
}
