/**
 * Finds the stage of a path for which a request waits: the first target names it
 * in its report, some hundred milliseconds after it stalled.
 *
 * @module
 */

import { applyReport } from "../paths/apply_report.ts";
import { QUERY_INTERVAL_MS } from "../paths/stage_checker.ts";
import type { PathStage, StalledRequest } from "../ports/types.ts";
import type { CallContext } from "./context.ts";

export const REPORT_TIMEOUT_MS = 300;

export interface StalledStageOptions {
  readonly context: Pick<
    CallContext,
    "clock" | "control" | "monitor" | "targets"
  >;
  readonly requestId: string;
  readonly stages: readonly PathStage[];
  /** Time of the last event. */
  readonly progressMs: number;
  /** Whether the stream has ended meanwhile. */
  readonly isDone: () => boolean;
}

/**
 * `unchecked` if no query may be sent now, `silent` if the first target did not
 * answer, undefined if it names no stage.
 */
export async function findStalledStage(
  options: StalledStageOptions,
): Promise<PathStage | "unchecked" | "silent" | undefined> {
  const { context: { targets, control, monitor, clock } } = options;
  const [first] = options.stages;
  const known = targets.get(first.targetId);
  const isRecent = known !== undefined &&
    known.noResponseSinceMs === undefined &&
    known.reportedMs > clock.nowMs() - QUERY_INTERVAL_MS;
  if (isRecent) {
    // The report may be older than the stall, and name an earlier one.
    if (known.reportedMs <= options.progressMs) return "unchecked";
    return stageNamedBy(known.report?.stalled ?? [], options) ?? "unchecked";
  }
  if (!monitor.budget.tryAcquire()) return "unchecked";
  const report = await control.report(
    { id: first.targetId, address: first.address },
    REPORT_TIMEOUT_MS,
    { purpose: "stalled-request" },
  );
  if (options.isDone() || report === "withheld") return undefined;
  if (report === undefined) return "silent";
  const firstTarget = targets.get(first.targetId);
  if (firstTarget !== undefined) applyReport(firstTarget, report, targets);
  return stageNamedBy(report.stalled, options);
}

/** The target of the stage counts as unresponsive. */
function stageNamedBy(
  entries: readonly StalledRequest[],
  { context: { targets }, requestId, stages }: StalledStageOptions,
): PathStage | undefined {
  const stalled = entries.find((entry) => entry.requestId === requestId);
  if (stalled === undefined) return undefined;
  const target = targets.byAddress(stalled.address);
  if (target !== undefined) {
    targets.markUnresponsive(target.id, { waitedForBy: stages[0].targetId });
  }
  return stages.find(({ address }) => address === stalled.address);
}
