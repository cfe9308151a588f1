/**
 * Takes a target's report into the book.
 *
 * @module
 */

import type { TargetReport } from "../ports/types.ts";
import type { Target } from "./target.ts";
import type { TargetBook } from "./target_book.ts";

/** Takes a report unless it comes from an older process of the target. */
export function takeReport(
  target: Target,
  report: TargetReport,
  book: TargetBook,
): void {
  if (report.bornMs < target.record.bornMs) return;
  const wasSilent = target.silentSinceMs !== undefined;
  const old = target.span;
  target.takeReport(report);
  const isSame = old?.from === report.span?.from && old?.to === report.span?.to;
  if (wasSilent || !isSame) book.notify(target);
}
