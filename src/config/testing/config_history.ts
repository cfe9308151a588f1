/**
 * Records the outcomes reported to operators and the versions that hosts
 * served, and checks them against the log.
 *
 * @module
 */

import type { Outcome } from "../../common/verdict.ts";
import type { ConfigChange, ConfigState, PatchRequest } from "../types.ts";
import type { ConfigFleet } from "./config_fleet.ts";

/** Longest time allowed until an accepted change is active on every ready host. */
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

/** Change number `index`, which adds one customer as a marker. */
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

/** The history of one run. */
export class ConfigHistory {
  readonly operations: Operation[] = [];
  readonly observations: Observation[] = [];
  readonly reads: LatestRead[] = [];
  #operationCount = 0;

  constructor(readonly fleet: ConfigFleet, readonly nowMs: () => number) {}

  /** Submits a change to a host, on top of the version that it serves. */
  async submitChange(slot: number, timeoutMs = 4_000): Promise<void> {
    const { service } = this.fleet.hosts[slot];
    const index = this.#operationCount++;
    const request = markerChange(index, service.state.version);
    const deadlineMs = this.nowMs() + timeoutMs;
    const outcome = await service.patch(request, { deadlineMs });
    this.operations.push({ marker: `c${index}`, atMs: this.nowMs(), outcome });
  }

  /** Appends a change to the log directly, on top of the version that a host serves. */
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

  /** Reads the newest version from a host, as an operator does. */
  async read(slot: number): Promise<void> {
    const startedMs = this.nowMs();
    const { service } = this.fleet.hosts[slot];
    const outcome = await service.readLatest({ deadlineMs: startedMs + 2_000 });
    if (outcome.isErr()) return;
    const { version } = outcome.value;
    this.reads.push({ version, startedMs, endedMs: this.nowMs() });
  }

  /** Records what every running host serves now. */
  observe(): void {
    for (
      const { name, isAlive, isPaused, service } of this.fleet.hosts
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

  /** Violations of the guarantees; empty if there are none. */
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

  /** Running hosts that are not ready or not at the last version. */
  hostsBehind(): string[] {
    const count = this.#acceptedMarkers().length;
    return this.fleet.hosts
      .filter(({ isAlive, service }) =>
        isAlive && !(service.isReady && service.state.version === count)
      )
      .map(({ name, service }) =>
        `${name} is at version ${service.state.version} of ${count}, ready: ${service.isReady}`
      );
  }

  /** Test oracle: a valid change is accepted if its base version is the number accepted so far. */
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
          `${marker} was reported as version ${version}, the log has it at index ${index}`,
        ];
      }
      if (outcome.error.verdict !== "not-run" || index < 0) return [];
      return [
        `${marker} was reported as not-run and created version ${index + 1}`,
      ];
    });
  }

  #divergences(accepted: readonly string[]): string[] {
    return this.observations.flatMap(({ host, version, markers }) => {
      const expected = accepted.slice(0, version).join(" ");
      if (markers === expected) return [];
      return [
        `${host} serves [${markers}] as version ${version}, not [${expected}]`,
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

  /** A version reported as accepted or served by a ready host must reach every ready host in time. */
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

  /** A read must not return an older version than one reported before it started. */
  #staleReads(): string[] {
    const reported = [
      ...this.reads.map(({ version, endedMs }) => ({ version, endedMs })),
      ...this.operations.flatMap(({ outcome, atMs }) =>
        outcome.isOk()
          ? [{ version: outcome.value.version, endedMs: atMs }]
          : []
      ),
    ];
    return this.reads.flatMap(({ version, startedMs }) => {
      const reportedVersion = Math.max(
        0,
        ...reported.filter(({ endedMs }) => endedMs < startedMs)
          .map((earlier) => earlier.version),
      );
      if (version >= reportedVersion) return [];
      return [
        `a read at ${startedMs} returned version ${version} after version ${reportedVersion} was reported`,
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
