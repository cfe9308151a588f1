/**
 * Exit codes of the command-line tool. Scripts use them to distinguish failures.
 *
 * @module
 */

import type { Failure } from "../common/verdict.ts";

export const EXIT_CODES = {
  ok: 0,
  /** The operator interface rejected the request; nothing was changed. */
  refused: 1,
  /** Wrong arguments, settings or declarations; nothing was sent. */
  usage: 2,
  /** The operator interface is unreachable; nothing was changed. */
  unreachable: 3,
  /** The base version is no longer current; nothing was changed. */
  stale: 4,
  /** The change may have been applied; read the version before a retry. */
  unknown: 5,
} as const;

/** Summary of the codes for `--help`. */
export const EXIT_CODES_HELP = "Exit codes: 0 success; 1 rejected; " +
  "2 wrong arguments or declarations; 3 unreachable; 4 stale version; " +
  "5 unknown whether the change was applied.";

export function exitCodeOf(failure: Failure): number {
  if (failure.verdict === "may-have-run") return EXIT_CODES.unknown;
  if (failure.code === "stale-version") return EXIT_CODES.stale;
  if (failure.code === "connection-failed") return EXIT_CODES.unreachable;
  return EXIT_CODES.refused;
}
