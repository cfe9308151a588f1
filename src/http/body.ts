/**
 * Reads request bodies with a size limit and a deadline. The body reader of
 * restify has no deadline and rejects an oversized body only after it has read
 * all of it.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { Ok } from "ts-results-es";
import { ByteBuffer } from "../common/byte_buffer.ts";
import type { Clock } from "../common/clock.ts";
import { notRun, type Outcome } from "../common/verdict.ts";

export interface BodyLimits {
  readonly maxBytes: number;
  /** Time on `clock` by which the body must be complete. */
  readonly deadlineMs: number;
  readonly clock: Clock;
}

export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Outcome<Buffer>> {
  const stopTimer = new AbortController();
  const read = bufferBody(request, limits.maxBytes);
  const expired = limits.clock
    .sleep(limits.deadlineMs - limits.clock.nowMs(), stopTimer.signal)
    .then(() =>
      notRun("bad-request", "request body not complete within its deadline")
    );
  const outcome = await Promise.race([read, expired]);
  stopTimer.abort();
  if (outcome.isErr()) request.pause();
  return outcome;
}

export async function readJson(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Outcome<unknown>> {
  const body = await readBody(request, limits);
  if (body.isErr()) return body;
  try {
    return new Ok(JSON.parse(body.value.toString("utf8")));
  } catch (error) {
    return notRun(
      "bad-request",
      `request body is not JSON: ${(error as Error).message}`,
    );
  }
}

function bufferBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Outcome<Buffer>> {
  return new Promise((resolve) => {
    const tooLarge = () =>
      resolve(
        notRun("body-too-large", `request body exceeds ${maxBytes} bytes`),
      );
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
      return tooLarge();
    }
    const onIncomplete = () =>
      resolve(
        notRun(
          "cancelled",
          "connection closed before the request body was complete",
        ),
      );
    if (request.destroyed && !request.readableEnded) return onIncomplete();
    const body = new ByteBuffer();
    request.on("data", (chunk: Buffer) => {
      if (body.length + chunk.length > maxBytes) tooLarge();
      else body.append(chunk);
    });
    request.on("end", () => resolve(new Ok(body.view())));
    request.on("error", onIncomplete);
    request.on("close", onIncomplete);
  });
}
