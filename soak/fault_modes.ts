/**
 * Modes of the stand-ins by the kind of fault that sets them.
 *
 * @module
 */

import type { ServerMode } from "../standins/users_platform/server_mode.ts";
import type { StoreFault } from "../standins/users_platform/store_standin.ts";
import type { FaultKind } from "./types.ts";

export const SERVER_MODES: Partial<Record<FaultKind, ServerMode>> = {
  "server-errors": "error",
  "server-refuses": "shed",
  "server-cuts": "cut",
};
export const STORE_FAULTS: Partial<Record<FaultKind, StoreFault>> = {
  "store-silent": "silent",
  "store-busy": "busy",
  "store-reset": "reset",
};
