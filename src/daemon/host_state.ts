/**
 * How far a host's planned stop has gone, shared by readiness and servers.
 *
 * @module
 */

import { Emitter } from "../common/emitter.ts";

/** Phases of a host; they only go forward. */
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

/** The phase of this host. */
export class HostState {
  readonly #onChange = new Emitter<HostPhase>();
  #phase: HostPhase = "starting";

  readonly onChange = this.#onChange.event;

  get phase(): HostPhase {
    return this.#phase;
  }

  /** Moves forward; a phase already passed is ignored. */
  advanceTo(phase: HostPhase): void {
    if (PHASE_ORDER.indexOf(phase) <= PHASE_ORDER.indexOf(this.#phase)) return;
    this.#phase = phase;
    this.#onChange.fire(phase);
  }
}
