/**
 * Identifies the content of a request. A caller that sends the same content
 * again uses a new request id, so the id of a request can't tell.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Hexadecimal digits of an id; collisions matter among recent requests only. */
const ID_DIGITS = 16;

export interface RequestContent {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Undefined for a request without an API key. */
  readonly customer: string | undefined;
  readonly body: Buffer | undefined;
}

/** Equal for equal content, on every host. */
export function contentId(content: RequestContent): string {
  const head = [content.method, content.path, content.customer ?? null];
  return createHash("sha256").update(JSON.stringify(head)).update("\n")
    .update(content.body ?? "").digest("hex").slice(0, ID_DIGITS);
}
