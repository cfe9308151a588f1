/**
 * Probes unresponsive targets until they respond, so that recovered targets
 * receive requests again, and targets that only other hosts found unresponsive.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import type { Target } from "../paths/target.ts";
import type { TargetTable } from "../paths/target_table.ts";
import { applyReport } from "../paths/apply_report.ts";
import type { ITargetControl } from "../ports/services.ts";

/** Time between probes of an unresponsive target. */
const PROBE_INTERVAL_MS = 500;
const REPORT_TIMEOUT_MS = 400;
/** Least time between probes of a target that other hosts suspect. */
const VERIFY_INTERVAL_MS = 900;
/**
 * Targets of a plain service have no reports; requests are sent to them again
 * after this.
 */
const PLAIN_SERVICE_RETRY_MS = 1_000;

export interface TargetProberOptions {
  readonly targets: TargetTable;
  readonly control: ITargetControl;
  readonly clock: Clock;
  readonly log: ILog;
  readonly hasReports: (service: string) => boolean;
}

export class TargetProber {
  readonly #options: TargetProberOptions;

  readonly #verifying = new Set<string>();

  constructor(options: TargetProberOptions) {
    this.#options = options;
    options.targets.onChange((target) => {
      if (target.isDoubted) void this.#verify(target);
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, targets } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(PROBE_INTERVAL_MS, signal);
      await this.probeAll();
      for (const target of targets.all()) {
        if (target.isDoubted) void this.#verify(target);
      }
    }
  }

  /** Probes all targets that do not respond to this host. */
  async probeAll(): Promise<void> {
    const unresponsive = this.#options.targets.all().filter((target) =>
      target.noResponseSinceMs !== undefined
    );
    await Promise.all(unresponsive.map((target) => this.#probe(target)));
  }

  /** Asks a target that other hosts suspect for a report. */
  async #verify(target: Target): Promise<void> {
    const { targets, control, hasReports, log, clock } = this.#options;
    const { id, record } = target;
    if (this.#verifying.has(id) || !hasReports(record.service)) return;
    this.#verifying.add(id);
    const report = await control.report(
      { id, address: record.address },
      REPORT_TIMEOUT_MS,
      { purpose: "suspicion" },
    );
    if (report !== undefined && report !== "withheld") {
      applyReport(target, report, targets);
      log.info("suspected target responds to this host", { target: id });
      targets.notify(target);
    }
    await clock.sleep(VERIFY_INTERVAL_MS);
    this.#verifying.delete(id);
  }

  async #probe(target: Target): Promise<void> {
    const { targets, control, clock, log, hasReports } = this.#options;
    const sinceMs = target.noResponseSinceMs ?? clock.nowMs();
    if (!hasReports(target.record.service)) {
      if (clock.nowMs() - sinceMs < PLAIN_SERVICE_RETRY_MS) return;
      target.noResponseSinceMs = undefined;
      targets.notify(target);
      return;
    }
    const { id, record } = target;
    const report = await control.report(
      { id, address: record.address },
      REPORT_TIMEOUT_MS,
      { purpose: "recovery" },
    );
    if (report === undefined || report === "withheld") return;
    applyReport(target, report, targets);
    log.info("target responds again", {
      target: id,
      silentMs: Math.round(clock.nowMs() - sinceMs),
    });
  }
}
