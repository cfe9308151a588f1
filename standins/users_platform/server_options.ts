/**
 * Test fixture: options of plain servers and model servers of one failure domain.
 *
 * @module
 */

import { MODEL_SERVICE, PLAIN_SERVICE } from "./deployment.ts";
import type { ModelServerOptions } from "./model_server.ts";

const DOMAIN = "a";

export function plainServers(count: number): ModelServerOptions[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `p${index + 1}`,
    service: PLAIN_SERVICE,
    domain: DOMAIN,
  }));
}

/** Servers whose complete streams have this number of events. */
export function modelServers(
  count: number,
  events: number,
): ModelServerOptions[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `m${index}`,
    service: MODEL_SERVICE,
    domain: DOMAIN,
    kind: "small",
    events,
  }));
}
