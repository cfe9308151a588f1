/**
 * The configuration service that the rest of the daemon reads.
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

/** The configuration in force on this host. */
export interface IConfigService {
  /** What is in force now; its version never goes back. */
  readonly state: ConfigState;
  /** False until the host has taken the highest state that it could verify. */
  readonly isReady: boolean;
  readonly onChange: Event<ConfigState>;
  /** Checks a patch against the state in force and returns the result, without a change. */
  plan(request: PatchRequest): Outcome<Config>;
  /** Submits a patch; resolves with the new version, in force on this host. */
  patch(
    request: PatchRequest,
    options: { deadlineMs: number },
  ): Promise<Outcome<ConfigChange>>;
  /** The audit trail as far as the log keeps it, the newest first. */
  history(options: { limit: number }): readonly AuditEntry[];
}
export const IConfigService: ServiceIdentifier<IConfigService> = Symbol.for(
  "ConfigService",
);
