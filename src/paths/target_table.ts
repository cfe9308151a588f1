/**
 * The targets known to this host, each with its record, load and health.
 * Records come from the store, loads from this host's own requests and from the
 * other hosts, and health from failed sends and unanswered probes.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { ILog } from "../common/logging.ts";
import type { TargetRecord } from "../ports/types.ts";
import { Target } from "./target.ts";

/**
 * Records that expired during a store outage reappear within two seconds of its
 * recovery; until then a missing record does not mean that the target is gone.
 */
const RECOVERY_GRACE_MS = 2_000;
/** How long a removed target is remembered; older than any copy of the store. */
const REMOVED_RETENTION_MS = 120_000;
/** How long a target that leaves is remembered after its last record. */
const LEAVING_RETENTION_MS = 600_000;

/** The process of a target that said that it leaves. */
interface LeavingProcess {
  readonly bornMs: number;
  readonly untilMs: number;
}

interface RemovedTarget {
  readonly bornMs: number;
  readonly atMs: number;
  /** Whether it was draining before, so that it left as planned. */
  readonly wasDraining: boolean;
}

export interface TargetTableOptions {
  readonly clock: Clock;
  readonly log: ILog;
}

/** Targets by id. */
export class TargetTable {
  readonly #clock: Clock;
  readonly #log: ILog;
  readonly #targets = new Map<string, Target>();
  readonly #removeAtMs = new Map<string, number>();
  readonly #removed = new Map<string, RemovedTarget>();
  readonly #leaving = new Map<string, LeavingProcess>();
  readonly #onChange = new Emitter<Target>();

  /** Fires when a target is added, changed or removed, or when its health changes. */
  readonly onChange: Event<Target> = this.#onChange.event;

  constructor(options: TargetTableOptions) {
    this.#clock = options.clock;
    this.#log = options.log;
  }

  get(id: string): Target | undefined {
    return this.#targets.get(id);
  }

  /** Whether a process of a target was removed although it was not draining. */
  hasVanished(id: string, bornMs: number): boolean {
    const removed = this.#removed.get(id);
    return removed?.bornMs === bornMs && !removed.wasDraining;
  }

  all(): Target[] {
    return [...this.#targets.values()];
  }

  ofService(service: string): Target[] {
    return this.all().filter((target) => target.record.service === service);
  }

  /** The target whose process has an address now. */
  byAddress(address: string): Target | undefined {
    const sharing = this.#sharing(address);
    return sharing.find(({ isReplaced }) => !isReplaced) ?? sharing[0];
  }

  /** Adds or updates a target from its record in the store. */
  put(record: TargetRecord): void {
    this.#removeAtMs.delete(record.id);
    this.#removed.delete(record.id);
    const known = this.#targets.get(record.id);
    if (known === undefined) {
      const target = new Target({ record, clock: this.#clock });
      const { bornMs } = this.#leaving.get(record.id) ?? {};
      target.isLeaving = bornMs === record.bornMs;
      this.#targets.set(record.id, target);
      this.#log.info("target added", describe(record));
      this.#compareProcesses(record.address);
      this.#onChange.fire(target);
      return;
    }
    const { address: oldAddress } = known.record;
    if (!known.update(record)) return;
    this.#log.info("target updated", describe(record));
    this.#compareProcesses(record.address);
    if (oldAddress !== record.address) this.#compareProcesses(oldAddress);
    this.#onChange.fire(known);
  }

  #sharing(address: string): Target[] {
    return this.all().filter(({ record }) => record.address === address);
  }

  /**
   * The record of a process that ended stays for some seconds. If another process
   * got its address meanwhile, a path must not name that address for both.
   */
  #compareProcesses(address: string): void {
    const sharing = this.#sharing(address);
    // Of records without the time of their start, the one added last holds.
    const newest = sharing.reduce<Target | undefined>(
      (last, one) =>
        last === undefined || one.record.bornMs >= last.record.bornMs
          ? one
          : last,
      undefined,
    );
    for (const target of sharing) {
      const isReplaced = target !== newest;
      if (target.isReplaced === isReplaced) continue;
      target.isReplaced = isReplaced;
      this.#log.info(
        isReplaced
          ? "target replaced at its address"
          : "target has its address again",
        { target: target.id, address, newest: newest?.id },
      );
      this.#onChange.fire(target);
    }
  }

  /**
   * Adds a target from an older copy of the store. What this host knows of a
   * target, also that it left, is newer than the copy.
   */
  putRestored(record: TargetRecord): void {
    const removed = this.#removed.get(record.id);
    const hasLeft = removed !== undefined && removed.bornMs >= record.bornMs;
    if (!hasLeft && !this.#targets.has(record.id)) this.put(record);
  }

  /**
   * Removes a target that has no record in the store. While `isStoreRecovered`
   * is false, which lasts until some time after an outage, the removal is
   * delayed by a grace period.
   */
  remove(id: string, isStoreRecovered: boolean): void {
    if (!this.#targets.has(id)) return;
    const graceMs = isStoreRecovered ? 0 : RECOVERY_GRACE_MS;
    if (!this.#removeAtMs.has(id)) {
      this.#removeAtMs.set(id, this.#clock.nowMs() + graceMs);
    }
    this.sweep();
  }

  /** Applies a snapshot of the store. */
  replaceAll(
    records: readonly TargetRecord[],
    isStoreRecovered: boolean,
  ): void {
    const present = new Set(records.map(({ id }) => id));
    for (const id of this.#targets.keys()) {
      if (!present.has(id)) this.remove(id, isStoreRecovered);
    }
    for (const record of records) this.put(record);
  }

  /** Removes targets whose grace period is over; called periodically. */
  sweep(): void {
    const nowMs = this.#clock.nowMs();
    for (const [id, { atMs }] of this.#removed) {
      if (nowMs - atMs > REMOVED_RETENTION_MS) this.#removed.delete(id);
    }
    for (const [id, { untilMs }] of this.#leaving) {
      if (nowMs > untilMs) this.#leaving.delete(id);
    }
    for (const [id, untilMs] of this.#removeAtMs) {
      if (nowMs < untilMs) continue;
      this.#removeAtMs.delete(id);
      const target = this.#targets.get(id);
      if (target === undefined) continue;
      this.#targets.delete(id);
      target.isRemoved = true;
      const { bornMs, state } = target.record;
      const wasDraining = state === "draining" || target.isLeaving;
      if (target.isLeaving) this.#rememberLeaving(target);
      this.#removed.set(id, { bornMs, atMs: nowMs, wasDraining });
      const { address } = target.record;
      this.#log.info("target removed", { target: id, address });
      this.#compareProcesses(address);
      this.#onChange.fire(target);
    }
  }

  /** Marks a target as unresponsive to this host; `evidence` is logged. */
  markUnresponsive(
    id: string,
    evidence: Readonly<Record<string, unknown>>,
  ): void {
    const target = this.#targets.get(id);
    if (target === undefined || target.noResponseSinceMs !== undefined) return;
    target.markUnresponsive();
    this.#log.warn("target unresponsive", {
      target: id,
      address: target.record.address,
      ...evidence,
    });
    this.#onChange.fire(target);
  }

  /** Records that the process of a target said that it leaves. */
  markLeaving(id: string): void {
    const target = this.#targets.get(id);
    if (target === undefined || target.isLeaving) return;
    target.isLeaving = true;
    this.#log.info("target leaving", {
      target: id,
      address: target.record.address,
      state: target.record.state,
    });
    this.#onChange.fire(target);
  }

  /** A record that lapses and comes back does not say that the target leaves. */
  #rememberLeaving({ id, record }: Target): void {
    const untilMs = this.#clock.nowMs() + LEAVING_RETENTION_MS;
    this.#leaving.set(id, { bornMs: record.bornMs, untilMs });
  }

  /** Fires `onChange` for a target whose health changed. */
  notify(target: Target): void {
    this.#onChange.fire(target);
  }
}

function describe(record: TargetRecord): Readonly<Record<string, unknown>> {
  const { id, address, service, state, domain, span, kind, bornMs } = record;
  return {
    target: id,
    address,
    service,
    state,
    domain,
    kind,
    span: span && `${span.from}-${span.to}`,
    bornMs,
  };
}
