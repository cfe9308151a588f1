/**
 * Reads the responses of targets into memory.
 *
 * @module
 */

import { ByteBuffer } from "../common/byte_buffer.ts";
import type { ResponseMetadata } from "../ports/types.ts";
import { TARGET_HEADER } from "./answer_signals.ts";
import { headerNameFault } from "./head_faults.ts";
import type { SendOutcome } from "./upstream.ts";

type UpstreamResponse = Extract<SendOutcome, { readonly kind: "answer" }>;

const MAX_BODY_BYTES = 16 * 1024 * 1024;
/** All bodies that are being read; beyond it, those that are not small fail. */
const MAX_BUFFERED_BYTES = 24 * 1024 * 1024;
const SMALL_BODY_BYTES = 128 * 1024;
/** Unwanted bytes that are read to keep the connection. */
const MAX_DISCARDED_BYTES = 64 * 1024;
/** Longest wait for the end of an unwanted body. */
const DISCARD_TIMEOUT_MS = 500;

let bufferedBytes = 0;

/** Resolves with undefined if the response is truncated or too large. */
export function readResponseBody(
  { answer, hasFailed }: UpstreamResponse,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const body = new ByteBuffer({ expectedBytes: announcedBytes(answer) });
    let sizeBytes = 0;
    answer.on("data", (chunk: Buffer) => {
      body.append(chunk);
      sizeBytes += chunk.length;
      bufferedBytes += chunk.length;
      const exceedsBudget = bufferedBytes > MAX_BUFFERED_BYTES &&
        sizeBytes > SMALL_BODY_BYTES;
      if (exceedsBudget || sizeBytes > MAX_BODY_BYTES) answer.destroy();
    });
    answer.on("end", () => {
      resolve(
        answer.complete && !hasFailed() ? body.view() : undefined,
      );
    });
    answer.on("close", () => {
      bufferedBytes -= sizeBytes;
      body.clear();
      resolve(undefined);
    });
  });
}

/** 0 if the length is not announced or too large. */
function announcedBytes({ headers }: UpstreamResponse["answer"]): number {
  const length = Number(headers["content-length"] ?? 0);
  return length <= MAX_BODY_BYTES ? length : 0;
}

/** Reads the rest of an unwanted response, or closes its connection if it has no end. */
export function discardBody(answer: UpstreamResponse["answer"]): void {
  let sizeBytes = 0;
  const timer = setTimeout(() => answer.destroy(), DISCARD_TIMEOUT_MS);
  answer.on("close", () => clearTimeout(timer));
  answer.on("data", (chunk: Buffer) => {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_DISCARDED_BYTES) answer.destroy();
  });
}

/** Why a response is not that of the request. */
export type HeadFault =
  | {
    readonly kind: "refused";
    readonly status: number;
    /** Address of the target at fault, if the response names one. */
    readonly address: string | undefined;
  }
  | { readonly kind: "invalid"; readonly reason: string };

/**
 * Checks the head of a response. The body of a refusal, which promises that the
 * request was not run, is discarded; that of an invalid response is not read.
 */
export function checkHead(
  { answer, isNewConnection }: UpstreamResponse,
  { metadata, requestId }: {
    readonly metadata: ResponseMetadata;
    readonly requestId: string;
  },
): HeadFault | undefined {
  const status = answer.statusCode ?? 0;
  const invalid = (reason: string): HeadFault => {
    answer.destroy();
    return { kind: "invalid", reason };
  };
  if (isOfOtherRequest(metadata, { requestId, isNewConnection })) {
    return invalid("response of another request");
  }
  if (metadata.isNotExecuted || status === 421) {
    discardBody(answer);
    return { kind: "refused", status, address: metadata.failedStageAddress };
  }
  if (metadata.requestId !== requestId || !metadata.isSigned) {
    return invalid("response id or signature invalid");
  }
  const headFault = unforwardableHead(answer);
  if (headFault !== undefined) return invalid(headFault);
  if (answer.headers["content-encoding"] !== undefined) {
    return invalid("response has a content-encoding");
  }
  return undefined;
}

/** Why Node.js, which reads heads that it does not write, cannot pass a head on. */
function unforwardableHead(
  { statusCode = 0, rawHeaders }: UpstreamResponse["answer"],
): string | undefined {
  if (statusCode < 200) return `status ${statusCode} is not final`;
  return headerNameFault(rawHeaders);
}

/**
 * Whether a response says nothing about the request, as a late copy of another
 * request's response does. Without an id, only the first response on a connection
 * is known to be that of the request.
 */
function isOfOtherRequest(
  metadata: ResponseMetadata,
  { requestId, isNewConnection }: {
    readonly requestId: string;
    readonly isNewConnection: boolean;
  },
): boolean {
  return metadata.requestId === undefined
    ? !isNewConnection
    : namesOtherRequest(metadata, requestId);
}

export function namesOtherRequest(
  { requestId }: Pick<ResponseMetadata, "requestId">,
  expectedId: string,
): boolean {
  return requestId !== undefined && requestId !== expectedId;
}

const UNFORWARDED_HEADERS = new Set([
  TARGET_HEADER,
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
