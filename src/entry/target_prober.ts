/**
 * Probes unresponsive targets until they respond, so that recovered targets
 * receive requests again, and targets that only other hosts found unresponsive.
 * Few hosts probe a target often, see `probe_schedule.ts`.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import type { Target } from "../paths/target.ts";
import type { TargetReachability } from "../paths/target_reachability.ts";
import type { TargetTable } from "../paths/target_table.ts";
import { applyReport } from "../paths/apply_report.ts";
import type { PeerLink } from "../peers/peer_link.ts";
import type { ITargetControl, QueryPurpose } from "../ports/services.ts";
import type { PeerExchange } from "./peer_exchange.ts";
import { ProberRanking, ProbeSchedule } from "./probe_schedule.ts";
import { UnresponsiveReports } from "./unresponsive_reports.ts";

/** Time between looks at which probes are due. */
const TICK_MS = 100;
const REPORT_TIMEOUT_MS = 400;
/**
 * Targets of a plain service have no reports; requests are sent to them again
 * after this.
 */
const PLAIN_SERVICE_RETRY_MS = 1_000;
/**
 * How long a response to this host lets it probe a target at once that other
 * hosts still suspect; longer than a report outweighs their suspicion.
 */
const RESPONSE_RETENTION_MS = 3_000;
/** Age at which such a response is renewed; it outweighs suspicions for 1 s. */
const RESPONSE_RENEWAL_MS = 800;

export interface TargetProberOptions {
  readonly targets: TargetTable;
  readonly control: ITargetControl;
  readonly clock: Clock;
  readonly log: ILog;
  readonly hasReports: (service: string) => boolean;
  readonly reportSilent: TargetReachability["reportSilent"];
  readonly link: Pick<PeerLink, "host" | "onState" | "onDigest">;
  readonly peers: Pick<PeerExchange, "otherHostIds" | "scheduleBroadcast">;
}

export class TargetProber {
  readonly #options: TargetProberOptions;
  readonly #schedules = new Map<string, ProbeSchedule>();
  readonly #pending = new Set<string>();
  /** When a target responded although other hosts suspect it. */
  readonly #respondedMs = new Map<string, number>();
  readonly #ranking = new ProberRanking();
  readonly #reports: UnresponsiveReports;

  constructor(options: TargetProberOptions) {
    this.#options = options;
    const { link, clock } = options;
    this.#reports = new UnresponsiveReports({ link, clock });
    options.targets.onChange((target) => {
      if (target.isDoubted) this.#probeIfDue(target, this.#liveHosts());
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(TICK_MS, signal);
      this.#probeDue();
    }
  }

  /** Probes all targets that do not respond to this host. */
  async probeAll(): Promise<void> {
    const unresponsive = this.#options.targets.all().filter((target) =>
      target.noResponseSinceMs !== undefined
    );
    await Promise.all(unresponsive.map((target) => this.#probe(target)));
  }

  #probeDue(): void {
    let hosts: readonly string[] | undefined;
    for (const target of this.#options.targets.all()) {
      const isDoubted = target.isDoubted || this.#isRenewalDue(target);
      if (target.noResponseSinceMs === undefined && !isDoubted) {
        if (!this.#pending.has(target.id)) this.#schedules.delete(target.id);
        continue;
      }
      hosts ??= this.#liveHosts();
      this.#probeIfDue(target, hosts);
    }
    for (const id of this.#schedules.keys()) {
      if (this.#options.targets.get(id) === undefined) this.#forget(id);
    }
  }

  #isRenewalDue(target: Target): boolean {
    const respondedMs = this.#respondedMs.get(target.id);
    if (respondedMs === undefined || !target.isSuspect) return false;
    const ageMs = this.#options.clock.nowMs() - respondedMs;
    return ageMs >= RESPONSE_RENEWAL_MS && ageMs < RESPONSE_RETENTION_MS;
  }

  #forget(id: string): void {
    this.#schedules.delete(id);
    this.#respondedMs.delete(id);
  }

  #liveHosts(): readonly string[] {
    const { link, peers } = this.#options;
    return [link.host.id, ...peers.otherHostIds()];
  }

  #probeIfDue(target: Target, hosts: readonly string[]): void {
    const { clock, link, hasReports } = this.#options;
    const { id } = target;
    if (!hasReports(target.record.service)) {
      this.#retryPlain(target);
      return;
    }
    const nowMs = clock.nowMs();
    let schedule = this.#schedules.get(id);
    if (schedule === undefined) {
      const respondedMs = this.#respondedMs.get(id) ?? -Infinity;
      schedule = new ProbeSchedule({
        targetId: id,
        hostId: link.host.id,
        isDoubted: target.noResponseSinceMs === undefined,
        hasResponded: nowMs - respondedMs < RESPONSE_RETENTION_MS,
        nowMs,
      });
      this.#schedules.set(id, schedule);
    }
    const isDue = !this.#pending.has(id) && schedule.takeDue({
      nowMs,
      ranked: this.#ranking.of(id, hosts),
      isReportedBy: (host) => this.#reports.has(host, id),
    });
    if (isDue) void this.#probe(target);
  }

  #retryPlain(target: Target): void {
    const { clock, targets } = this.#options;
    const sinceMs = target.noResponseSinceMs;
    if (sinceMs === undefined) return;
    if (clock.nowMs() - sinceMs < PLAIN_SERVICE_RETRY_MS) return;
    target.noResponseSinceMs = undefined;
    targets.notify(target);
  }

  async #probe(target: Target): Promise<void> {
    const { control, hasReports } = this.#options;
    const { id, record } = target;
    if (!hasReports(record.service)) {
      this.#retryPlain(target);
      return;
    }
    const silentSinceMs = target.noResponseSinceMs;
    const purpose: QueryPurpose = silentSinceMs === undefined
      ? "suspicion"
      : "recovery";
    this.#pending.add(id);
    const report = await control.report(
      { id, address: record.address },
      REPORT_TIMEOUT_MS,
      { purpose },
    ).finally(() => this.#pending.delete(id));
    if (report === "withheld") return;
    if (report !== undefined) {
      const { targets } = this.#options;
      applyReport(target, report, targets);
      this.#recordResponse(target, silentSinceMs);
    } else if (
      this.#schedules.get(id)?.isSelected && silentSinceMs === undefined
    ) {
      // The other hosts go by what the selected ones report.
      await this.#options.reportSilent(id, { askedForMs: REPORT_TIMEOUT_MS });
    }
  }

  #recordResponse(target: Target, silentSinceMs: number | undefined): void {
    const { targets, clock, log, peers } = this.#options;
    const { id } = target;
    if (silentSinceMs === undefined) {
      this.#respondedMs.set(id, clock.nowMs());
      log.info("suspected target responds to this host", { target: id });
      targets.notify(target);
      return;
    }
    log.info("target responds again", {
      target: id,
      silentMs: Math.round(clock.nowMs() - silentSinceMs),
    });
    // The other hosts probe it once the selected ones no longer report it.
    if (this.#schedules.get(id)?.isSelected) peers.scheduleBroadcast();
  }
}
