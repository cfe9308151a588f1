/**
 * The lifecycle phase of a host, shared by readiness checks and servers.
 *
 * @module
 */

import { Emitter } from "../common/emitter.ts";

/** Phases of a host, in order; a host never returns to an earlier one. */
export type HostPhase =
  | "starting"
  | "serving"
  | "unready"
  | "finishing"
  | "stopped";

const PHASE_ORDER: readonly HostPhase[] = [
  "starting",
  "serving",
  "unready",
  "finishing",
  "stopped",
];

export class HostState {
  readonly #onChange = new Emitter<HostPhase>();
  #phase: HostPhase = "starting";

  readonly onChange = this.#onChange.event;

  get phase(): HostPhase {
    return this.#phase;
  }

  /** Advances to `phase`; ignored if the host has already reached it. */
  advanceTo(phase: HostPhase): void {
    if (PHASE_ORDER.indexOf(phase) <= PHASE_ORDER.indexOf(this.#phase)) return;
    this.#phase = phase;
    this.#onChange.fire(phase);
  }
}
