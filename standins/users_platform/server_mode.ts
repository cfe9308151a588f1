/**
 * The faults of a stand-in server.
 *
 * @module
 */

/** How requests are answered; all modes except `good` are faults. */
export type ServerMode =
  | "good"
  | "error"
  | "shed"
  | "hang"
  | "cut"
  | "foreign"
  | "unsigned"
  | "unframed"
  | "unframed-reset"
  | "unframed-reset-at-once"
  | "reset"
  | "intrude"
  | "stall";
