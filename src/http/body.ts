/**
 * Reads request bodies within a size and a deadline. restify's body reader
 * has no deadline, and answers an oversize body only after reading all of it.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { Ok } from "ts-results-es";
import type { Clock } from "../common/clock.ts";
import { notRun, type Outcome } from "../common/verdict.ts";

/** Limits on a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly deadlineMs: number;
  readonly clock: Clock;
}

/** Reads the whole body. */
export async function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Outcome<Buffer>> {
  const stopTimer = new AbortController();
  const read = bufferBody(request, limits.maxBytes);
  const expired = limits.clock
    .sleep(limits.deadlineMs - limits.clock.nowMs(), stopTimer.signal)
    .then(() => notRun("bad-request", "the body did not arrive in time"));
  const outcome = await Promise.race([read, expired]);
  stopTimer.abort();
  if (outcome.isErr()) request.pause();
  return outcome;
}

/** Reads the body and parses it as JSON. */
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
      `the body is not JSON: ${(error as Error).message}`,
    );
  }
}

function bufferBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Outcome<Buffer>> {
  return new Promise((resolve) => {
    const tooLarge = () =>
      resolve(notRun("body-too-large", `the body exceeds ${maxBytes} bytes`));
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
      return tooLarge();
    }
    const onIncomplete = () =>
      resolve(notRun("cancelled", "the body broke off"));
    if (request.destroyed && !request.readableEnded) return onIncomplete();
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) tooLarge();
      else chunks.push(chunk);
    });
    request.on("end", () => resolve(new Ok(Buffer.concat(chunks))));
    request.on("error", onIncomplete);
    request.on("close", onIncomplete);
  });
}
