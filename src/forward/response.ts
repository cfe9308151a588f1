/**
 * Reads the responses of targets into memory.
 *
 * @module
 */

import type { SendOutcome } from "./upstream.ts";

type UpstreamResponse = Extract<SendOutcome, { readonly kind: "answer" }>;

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Resolves with undefined if the response is truncated or too large. */
export function readResponseBody(
  { answer, hasFailed }: UpstreamResponse,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    answer.on("data", (chunk: Buffer) => {
      chunks.push(chunk);
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_BODY_BYTES) answer.destroy();
    });
    answer.on("end", () => {
      resolve(
        answer.complete && !hasFailed()
          ? Buffer.concat(chunks, sizeBytes)
          : undefined,
      );
    });
    answer.on("close", () => resolve(undefined));
  });
}

const UNFORWARDED_HEADERS = new Set([
  "connection",
  "content-length",
  "keep-alive",
  "proxy-authenticate",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Headers of a response, without those of its connection and its framing. */
export function responseHeaders(answer: UpstreamResponse["answer"]): string[] {
  const headers: string[] = [];
  const raw = answer.rawHeaders;
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (!UNFORWARDED_HEADERS.has(raw[i].toLowerCase())) {
      headers.push(raw[i], raw[i + 1]);
    }
  }
  return headers;
}

/** Whether the body is delimited only by the close of the connection. */
export function isUnframed({ headers }: UpstreamResponse["answer"]): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}
