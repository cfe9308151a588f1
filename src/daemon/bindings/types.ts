/**
 * Options of the container and its bindings.
 *
 * @module
 */

import type { Clock } from "../../common/clock.ts";
import type { Settings } from "../settings.ts";

export interface ContainerOptions {
  readonly settings: Settings;
  /** Name of this host; a generated one differs at each start. */
  readonly hostName: string;
  /** Base URL at which peers reach this host; valid once its port is open. */
  readonly peerUrl: () => string;
  readonly clock?: Clock;
}
