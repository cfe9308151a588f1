/**
 * What this host believes of each target: its record, its load, and whether it
 * answers. Records come from the store, loads from this host's own requests
 * and from the other hosts, doubts from failed sends and silent targets.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { ILog } from "../common/logging.ts";
import type { TargetRecord } from "../ports/types.ts";
import { Target } from "./target.ts";

/**
 * Records that lapsed while the store was away come back within two seconds of
 * its return; until then a missing record does not mean a missing target.
 */
const RECOVERY_GRACE_MS = 2_000;

/** Options of a book. */
export interface TargetTableOptions {
  readonly clock: Clock;
  readonly log: ILog;
}

/** All known targets. */
export class TargetTable {
  readonly #clock: Clock;
  readonly #log: ILog;
  readonly #targets = new Map<string, Target>();
  readonly #removeAtMs = new Map<string, number>();
  readonly #onChange = new Emitter<Target>();

  /** Fires when a target is new, changed, leaving, doubted or trusted again. */
  readonly onChange: Event<Target> = this.#onChange.event;

  constructor(options: TargetTableOptions) {
    this.#clock = options.clock;
    this.#log = options.log;
  }

  get(id: string): Target | undefined {
    return this.#targets.get(id);
  }

  all(): Target[] {
    return [...this.#targets.values()];
  }

  ofService(service: string): Target[] {
    return this.all().filter((target) => target.record.service === service);
  }

  byAddress(address: string): Target | undefined {
    return this.all().find((target) => target.record.address === address);
  }

  /** Takes a record from the store. */
  put(record: TargetRecord): void {
    this.#removeAtMs.delete(record.id);
    const known = this.#targets.get(record.id);
    if (known === undefined) {
      const target = new Target({ record, clock: this.#clock });
      this.#targets.set(record.id, target);
      this.#log.info("target known", describe(record));
      this.#onChange.fire(target);
      return;
    }
    if (known.update(record)) {
      this.#log.info("target changed", describe(record));
      this.#onChange.fire(known);
    }
  }

  /**
   * Takes note that the store holds no record of a target. `isStoreBack` is
   * false until some time after the store's return.
   */
  remove(id: string, isStoreBack: boolean): void {
    if (!this.#targets.has(id)) return;
    const graceMs = isStoreBack ? 0 : RECOVERY_GRACE_MS;
    if (!this.#removeAtMs.has(id)) {
      this.#removeAtMs.set(id, this.#clock.nowMs() + graceMs);
    }
    this.sweep();
  }

  /** Replaces everything by a snapshot of the store. */
  replaceAll(records: readonly TargetRecord[], isStoreBack: boolean): void {
    const present = new Set(records.map(({ id }) => id));
    for (const id of this.#targets.keys()) {
      if (!present.has(id)) this.remove(id, isStoreBack);
    }
    for (const record of records) this.put(record);
  }

  /** Drops targets whose records stayed away; called now and then. */
  sweep(): void {
    const nowMs = this.#clock.nowMs();
    for (const [id, untilMs] of this.#removeAtMs) {
      if (nowMs < untilMs) continue;
      this.#removeAtMs.delete(id);
      const target = this.#targets.get(id);
      if (target === undefined) continue;
      this.#targets.delete(id);
      target.isRemoved = true;
      this.#log.info("target gone", {
        target: id,
        address: target.record.address,
      });
      this.#onChange.fire(target);
    }
  }

  /** Takes note that a target does not answer this host; `evidence` goes to the log. */
  markUnresponsive(
    id: string,
    evidence: Readonly<Record<string, unknown>>,
  ): void {
    const target = this.#targets.get(id);
    if (target === undefined || target.noResponseSinceMs !== undefined) return;
    target.markUnresponsive();
    this.#log.warn("target silent", {
      target: id,
      address: target.record.address,
      ...evidence,
    });
    this.#onChange.fire(target);
  }

  /** Tells listeners that a target's standing changed. */
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
