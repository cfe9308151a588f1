/**
 * HTTP client call that buffers the whole response, for calls to the store and
 * control calls to targets, not for callers' requests. Every call has a
 * timeout, since a connection can stop responding without a reset.
 *
 * @module
 */

import { type Agent, type OutgoingHttpHeaders, request } from "node:http";
import { ByteBuffer } from "./byte_buffer.ts";
import { limitResponseHead } from "./response_head_limit.ts";

/** Pages of the store are at most 2 MiB. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

export interface Endpoint {
  readonly ip: string;
  readonly port: number;
}

export interface HttpCallOptions {
  readonly endpoint: Endpoint;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers?: OutgoingHttpHeaders;
  readonly body?: Buffer | string;
  /** The call fails, and its connection is closed, after this time. */
  readonly timeoutMs: number;
  /** Local address of the connection; by default, the system's choice. */
  readonly localAddress?: string;
  /** `false` for a connection of its own. */
  readonly agent: Agent | false;
}

export interface HttpResponse {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
}

/** Resolves with a response of any status; rejects if none is received in full. */
export function callHttp(options: HttpCallOptions): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    const { endpoint, body } = options;
    const clientRequest = request({
      host: endpoint.ip,
      port: endpoint.port,
      method: options.method,
      path: options.path,
      agent: options.agent,
      localAddress: options.localAddress,
      headers: {
        ...options.headers,
        ...(options.method === "POST"
          ? { "content-length": Buffer.byteLength(body ?? "") }
          : {}),
      },
    });
    limitResponseHead(clientRequest);
    const timer = setTimeout(
      () =>
        clientRequest.destroy(
          new Error(`no response within ${options.timeoutMs} ms`),
        ),
      options.timeoutMs,
    );
    clientRequest.on("close", () => {
      clearTimeout(timer);
      reject(new Error("connection closed before the response was complete"));
    });
    clientRequest.on("error", reject);
    clientRequest.on("response", (response) => {
      const body = new ByteBuffer();
      response.on("data", (chunk: Buffer) => {
        body.append(chunk);
        if (body.length > MAX_RESPONSE_BYTES) {
          clientRequest.destroy(new Error("response body exceeds 8 MiB"));
        }
      });
      response.on("error", reject);
      response.on("end", () => {
        resolve({
          status: response.statusCode ?? 0,
          rawHeaders: response.rawHeaders,
          body: body.view(),
        });
      });
    });
    clientRequest.end(body);
  });
}
