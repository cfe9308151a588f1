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
  }
  | { readonly kind: "broken"; readonly reason: string };

/** Without a failure, the response is complete. */
export function toSendResult(failure: string | undefined): SendResult {
  return failure === undefined
    ? { kind: "done" }
    : { kind: "broken", reason: failure };
}
