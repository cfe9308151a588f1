/**
 * Exit codes of the command-line tool, so that scripts can tell failures
 * apart.
 *
 * @module
 */

import type { Failure } from "../common/verdict.ts";

export const EXIT_CODES = {
  ok: 0,
  /** The operator interface refused the request; nothing was changed. */
  refused: 1,
  /** Wrong arguments, settings or declarations; nothing was sent. */
  usage: 2,
  /** The operator interface cannot be reached; nothing was changed. */
  unreachable: 3,
  /** The base version is no longer in force; nothing was changed. */
  stale: 4,
  /** The change may have been made; read the version before trying again. */
  unknown: 5,
} as const;

/** Lists the codes for `--help`. */
export const EXIT_CODES_HELP = "Exit codes: 0 done; 1 refused; " +
  "2 wrong arguments or declarations; 3 unreachable; 4 stale version; " +
  "5 unknown whether the change was made.";

/** The exit code that tells a failure. */
export function exitCodeOf(failure: Failure): number {
  if (failure.verdict === "may-have-run") return EXIT_CODES.unknown;
  if (failure.code === "stale-version") return EXIT_CODES.stale;
  if (failure.code === "connection-failed") return EXIT_CODES.unreachable;
  return EXIT_CODES.refused;
}
