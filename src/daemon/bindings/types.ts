/**
 * What the bindings need.
 *
 * @module
 */

import type { Clock } from "../../common/clock.ts";
import type { Settings } from "../settings.ts";

/** What the container needs besides the settings. */
export interface ContainerOptions {
  readonly settings: Settings;
  /** Name of this host, new at each start. */
  readonly hostName: string;
  /** Base URL at which peers reach this host; known once its port is open. */
  readonly peerUrl: () => string;
  readonly clock?: Clock;
}
