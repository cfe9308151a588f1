/**
 * Interface of the configuration service.
 *
 * @module
 */

import type { ServiceIdentifier } from "inversify";
import type { Event } from "../common/emitter.ts";
import type { Outcome } from "../common/verdict.ts";
import type { Config } from "./schema.ts";
import type {
  AuditEntry,
  ConfigChange,
  ConfigState,
  PatchRequest,
} from "./types.ts";

/** The active configuration on this host. */
export interface IConfigService {
  /** The active state; its version never decreases. */
  readonly state: ConfigState;
  /** False while the host can't verify that it has every accepted change. */
  readonly isReady: boolean;
  readonly onChange: Event<ConfigState>;
  /** Returns the configuration that a patch would lead to, without submitting it. */
  plan(request: PatchRequest): Outcome<Config>;
  /** Submits a patch; resolves with the new version once it is active on this host. */
  patch(
    request: PatchRequest,
    options: { deadlineMs: number },
  ): Promise<Outcome<ConfigChange>>;
  /** The audit trail as far as this host has it, newest first. */
  history(options: { limit: number }): readonly AuditEntry[];
}
export const IConfigService: ServiceIdentifier<IConfigService> = Symbol.for(
  "ConfigService",
);
