/**
 * Applies a target's report to the target table.
 *
 * @module
 */

import type { TargetReport } from "../ports/types.ts";
import type { Target } from "./target.ts";
import type { TargetTable } from "./target_table.ts";

/** Ignores a report from an earlier process of the target. */
export function applyReport(
  target: Target,
  report: TargetReport,
  targetTable: TargetTable,
): void {
  if (report.bornMs < target.record.bornMs) return;
  const wasUnresponsive = target.noResponseSinceMs !== undefined;
  const old = target.span;
  target.applyReport(report);
  const isSame = old?.from === report.span?.from && old?.to === report.span?.to;
  if (wasUnresponsive || !isSame) targetTable.notify(target);
}
