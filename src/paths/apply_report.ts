/**
 * Takes a target's report into the book.
 *
 * @module
 */

import type { TargetReport } from "../ports/types.ts";
import type { Target } from "./target.ts";
import type { TargetTable } from "./target_table.ts";

/** Takes a report unless it comes from an older process of the target. */
export function applyReport(
  target: Target,
  report: TargetReport,
  book: TargetTable,
): void {
  if (report.bornMs < target.record.bornMs) return;
  const wasSilent = target.noResponseSinceMs !== undefined;
  const old = target.span;
  target.applyReport(report);
  const isSame = old?.from === report.span?.from && old?.to === report.span?.to;
  if (wasSilent || !isSame) book.notify(target);
}
