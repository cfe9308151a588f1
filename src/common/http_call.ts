/**
 * One small HTTP call with its answer read whole: for the store and for
 * questions to targets, not for callers' requests. Every call has a deadline,
 * since a connection may fall silent without a reset.
 *
 * @module
 */

import { type Agent, type OutgoingHttpHeaders, request } from "node:http";

/** Largest answer that is read; a store's page is at most 2 MiB. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** An address to listen at or to call. */
export interface Endpoint {
  readonly ip: string;
  readonly port: number;
}

/** Options of a call. */
export interface HttpCallOptions {
  readonly endpoint: Endpoint;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: Buffer | string;
  /** The call fails, and its connection closes, when this much time has passed. */
  readonly timeoutMs: number;
  readonly agent: Agent;
}

/** An answer, whole. */
export interface HttpResponse {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/** Resolves with any answer, whatever its status; rejects without one. */
export function callHttp(options: HttpCallOptions): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    const { endpoint, body } = options;
    const clientRequest = request({
      host: endpoint.ip,
      port: endpoint.port,
      method: options.method,
      path: options.path,
      agent: options.agent,
      headers: {
        ...options.headers,
        ...(options.method === "POST"
          ? { "content-length": Buffer.byteLength(body ?? "") }
          : {}),
      },
    });
    const timer = setTimeout(
      () =>
        clientRequest.destroy(
          new Error(`no answer within ${options.timeoutMs} ms`),
        ),
      options.timeoutMs,
    );
    clientRequest.on("close", () => {
      clearTimeout(timer);
      reject(new Error("connection closed before the answer"));
    });
    clientRequest.on("error", reject);
    clientRequest.on("response", (response) => {
      const chunks: Buffer[] = [];
      let sizeBytes = 0;
      response.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        sizeBytes += chunk.length;
        if (sizeBytes > MAX_RESPONSE_BYTES) {
          clientRequest.destroy(new Error("answer too large"));
        }
      });
      response.on("error", reject);
      response.on("end", () => {
        resolve({
          status: response.statusCode ?? 0,
          rawHeaders: response.rawHeaders,
          body: Buffer.concat(chunks, sizeBytes),
        });
      });
    });
    clientRequest.end(body);
  });
}
