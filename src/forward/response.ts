/**
 * Reads the body of a target's answer whole.
 *
 * @module
 */

import type { SendOutcome } from "./upstream.ts";

type UpstreamResponse = Extract<SendOutcome, { readonly kind: "answer" }>;

/** Largest answer that is held in memory. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Undefined where the answer broke off or is too large. */
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

/** Headers of an answer without those of its connection and framing. */
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

/** Whether only the end of the connection tells that the answer has ended. */
export function isUnframed({ headers }: UpstreamResponse["answer"]): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}
