/**
 * The result of one send of a streaming call.
 *
 * @module
 */

export type SendResult =
  | { readonly kind: "done" }
  | {
    readonly kind: "not-run";
    readonly wasSent: boolean;
    readonly reason: string;
    /** Defined if no target can run the request before. */
    readonly retryAfterMs?: number;
  }
  | { readonly kind: "broken"; readonly reason: string };

/** Without a failure, the response is complete. */
export function toSendResult(failure: string | undefined): SendResult {
  return failure === undefined
    ? { kind: "done" }
    : { kind: "broken", reason: failure };
}
