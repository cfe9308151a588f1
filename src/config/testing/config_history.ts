/**
 * Records what operators were told and what hosts served, and checks it
 * against the log read as a plain list.
 *
 * @module
 */

import type { Outcome } from "../../common/verdict.ts";
import type { ConfigChange, ConfigState, PatchRequest } from "../types.ts";
import type { ConfigFleet } from "./config_fleet.ts";

/** Promised time from acceptance to being in force on every ready host. */
export const MAX_PROPAGATION_MS = 7_000;

const customer = { keyDigests: [], requestsPerS: 1, concurrentRequests: 1 };

const INVALID_PATCH = { services: { desk: { customers: ["nobody"] } } };

interface Operation {
  readonly marker: string;
  readonly atMs: number;
  readonly outcome: Outcome<ConfigChange>;
}

interface Observation {
  readonly host: string;
  readonly atMs: number;
  readonly isReady: boolean;
  readonly version: number;
  readonly markers: string;
}

interface LatestRead {
  readonly version: number;
  readonly startedMs: number;
  readonly endedMs: number;
}

/** The change that operator number `index` asks for: it adds one customer. */
export function markerChange(
  index: number,
  baseVersion: number,
): PatchRequest {
  return {
    baseVersion,
    format: "merge-patch",
    patch: { customers: { [`c${index}`]: customer } },
    operator: `operator-${index}`,
  };
}

/** A history of one run. */
export class ConfigHistory {
  readonly operations: Operation[] = [];
  readonly observations: Observation[] = [];
  readonly reads: LatestRead[] = [];
  #operationCount = 0;

  constructor(readonly fleet: ConfigFleet, readonly nowMs: () => number) {}

  /** Submits a change at a host, against the version that it shows. */
  async submitChange(slot: number, timeoutMs = 4_000): Promise<void> {
    const { service } = this.fleet.hosts[slot];
    const index = this.#operationCount++;
    const request = markerChange(index, service.state.version);
    const deadlineMs = this.nowMs() + timeoutMs;
    const outcome = await service.patch(request, { deadlineMs });
    this.operations.push({ marker: `c${index}`, atMs: this.nowMs(), outcome });
  }

  /** Writes a change past all hosts, against the version that a host shows. */
  publish(slot: number, isValid: boolean): void {
    const index = this.#operationCount++;
    const { version } = this.fleet.hosts[slot].service.state;
    const request = isValid
      ? markerChange(index, version)
      : { ...markerChange(index, version), patch: INVALID_PATCH };
    this.fleet.log.publish({
      id: `published-${index}`,
      data: { kind: "change", ...request, atWallMs: 0 },
    });
  }

  /** Reads the newest version at a host, as an operator does. */
  async read(slot: number): Promise<void> {
    const startedMs = this.nowMs();
    const { service } = this.fleet.hosts[slot];
    const outcome = await service.readLatest({ deadlineMs: startedMs + 2_000 });
    if (outcome.isErr()) return;
    const { version } = outcome.value;
    this.reads.push({ version, startedMs: startedMs, endedMs: this.nowMs() });
  }

  /** Notes what every host serves now. */
  observe(): void {
    for (
      const { name, isAlive, isPaused: isPaused, service } of this.fleet.hosts
    ) {
      if (!isAlive || isPaused) continue;
      this.observations.push({
        host: name,
        atMs: this.nowMs(),
        isReady: service.isReady,
        version: service.state.version,
        markers: markersOf(service.state),
      });
    }
  }

  /** Everything that breaks a promise; empty when all hold. */
  faults(): string[] {
    const accepted = this.#acceptedMarkers();
    return [
      ...this.#incorrectOutcomes(accepted),
      ...this.#divergences(accepted),
      ...this.#regressions(),
      ...this.#lateVersions(),
      ...this.#staleReads(),
    ];
  }

  /** Hosts that are not ready at the end, or not at the last version. */
  hostsBehind(): string[] {
    const count = this.#acceptedMarkers().length;
    return this.fleet.hosts
      .filter(({ isAlive, service }) =>
        isAlive && !(service.isReady && service.state.version === count)
      )
      .map(({ name, service }) =>
        `${name} ends at version ${service.state.version} of ${count}, ready: ${service.isReady}`
      );
  }

  /** The oracle: the log as a list, each record counting if its base is the length so far. */
  #acceptedMarkers(): string[] {
    const accepted: string[] = [];
    for (const { data } of this.fleet.log.records) {
      const record = data as PatchRequest & { kind: string };
      if (record.kind !== "change") continue;
      if (record.baseVersion !== accepted.length) continue;
      if (!("customers" in (record.patch as object))) continue;
      accepted.push(Object.keys((record.patch as MarkerPatch).customers)[0]);
    }
    return accepted;
  }

  #incorrectOutcomes(accepted: readonly string[]): string[] {
    return this.operations.flatMap(({ marker, outcome }) => {
      const index = accepted.indexOf(marker);
      if (outcome.isOk()) {
        const { version } = outcome.value;
        if (accepted[version - 1] === marker) return [];
        return [
          `${marker} was told version ${version}, the log has it at ${index}`,
        ];
      }
      if (outcome.error.verdict !== "not-run" || index < 0) return [];
      return [`${marker} was told not-run and made version ${index + 1}`];
    });
  }

  #divergences(accepted: readonly string[]): string[] {
    return this.observations.flatMap(({ host, version, markers }) => {
      const expected = accepted.slice(0, version).join(" ");
      if (markers === expected) return [];
      return [
        `${host} shows [${markers}] as version ${version}, not [${expected}]`,
      ];
    });
  }

  #regressions(): string[] {
    const highest = new Map<string, number>();
    return this.observations.flatMap(({ host, atMs, version }) => {
      const before = highest.get(host) ?? 0;
      highest.set(host, Math.max(before, version));
      if (version >= before) return [];
      return [`${host} went from version ${before} to ${version} at ${atMs}`];
    });
  }

  /** What was told as accepted, or served by any host, must be in force in time. */
  #lateVersions(): string[] {
    const deadlines = this.observations
      .filter(({ isReady }) => isReady)
      .map(({ version, atMs }) => ({ version, atMs }));
    for (const { outcome, atMs } of this.operations) {
      if (outcome.isOk()) {
        deadlines.push({ version: outcome.value.version, atMs });
      }
    }
    deadlines.sort((a, b) => a.atMs - b.atMs);
    const served = this.observations.filter(({ isReady }) => isReady);
    const faults: string[] = [];
    let next = 0;
    let due = 0;
    for (const { host, atMs, version } of served) {
      while (
        next < deadlines.length &&
        deadlines[next].atMs + MAX_PROPAGATION_MS < atMs
      ) {
        due = Math.max(due, deadlines[next].version);
        next += 1;
      }
      if (version < due) {
        faults.push(
          `${host} serves version ${version} at ${atMs}, ${due} is due`,
        );
      }
    }
    return faults;
  }

  /** A confirmed reading is never older than what was told before it began. */
  #staleReads(): string[] {
    const reported = [
      ...this.reads.map(({ version, endedMs }) => ({ version, endedMs })),
      ...this.operations.flatMap(({ outcome, atMs }) =>
        outcome.isOk()
          ? [{ version: outcome.value.version, endedMs: atMs }]
          : []
      ),
    ];
    return this.reads.flatMap(({ version, startedMs: startedMs }) => {
      const reportedVersion = Math.max(
        0,
        ...reported.filter(({ endedMs }) => endedMs < startedMs)
          .map((earlier) => earlier.version),
      );
      if (version >= reportedVersion) return [];
      return [
        `a reading at ${startedMs} gave version ${version} after ${reportedVersion}`,
      ];
    });
  }
}

interface MarkerPatch {
  readonly customers: Record<string, unknown>;
}

function markersOf({ config }: ConfigState): string {
  return Object.keys(config.customers).join(" ");
}
