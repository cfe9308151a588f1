/**
 * Entry point for completions: checks the customer's access to the pipeline and
 * runs the request.
 *
 * @module
 */

import { createHash, randomUUID } from "node:crypto";
import { type Clock, systemClock } from "../common/clock.ts";
import { notRun, type Outcome } from "../common/verdict.ts";
import type { IConfigService } from "../config/services.ts";
import type { IChainPicker } from "../pipelines/services.ts";
import type { IEngineClient } from "../clients/services.ts";
import { type CompletionPolicy, CompletionRun } from "./completion_run.ts";
import { RetryBudget } from "./retry_budget.ts";
import type {
  ICompletionService,
  IQuarantineService,
  IRequestJournal,
} from "./services.ts";
import type {
  AnswerListener,
  CompletionEnd,
  CompletionRequest,
} from "./types.ts";

export interface CompletionServiceOptions {
  readonly config: IConfigService;
  readonly picker: IChainPicker;
  readonly engines: IEngineClient;
  readonly journal: IRequestJournal;
  readonly quarantine: IQuarantineService;
  readonly clock?: Clock;
  readonly retryBudget?: RetryBudget;
  /** Generates attempt ids that are unique in the fleet. */
  readonly newId?: () => string;
  readonly policy?: Partial<CompletionPolicy>;
}

const DEFAULT_POLICY: CompletionPolicy = {
  maxAttempts: 8,
  probeTimeoutMs: 100,
  stallProbeTimeoutMs: 50,
  chainWaitTimeoutMs: 10_000,
  repickIntervalMs: 50,
  lockRetryIntervalMs: 10,
  defaultRetryAfterMs: 1_000,
};

export class CompletionService implements ICompletionService {
  readonly #options: Required<CompletionServiceOptions>;
  readonly #policy: CompletionPolicy;

  constructor(options: CompletionServiceOptions) {
    this.#policy = { ...DEFAULT_POLICY, ...options.policy };
    this.#options = {
      ...options,
      clock: options.clock ?? systemClock,
      retryBudget: options.retryBudget ?? new RetryBudget(),
      newId: options.newId ?? randomUUID,
      policy: this.#policy,
    };
  }

  async complete(
    request: CompletionRequest,
    onTokens: AnswerListener,
  ): Promise<Outcome<CompletionEnd>> {
    const { config } = this.#options.config.state;
    const pipeline = config.pipelines[request.pipeline];
    if (pipeline === undefined) {
      return notRun("not-found", `no pipeline is named "${request.pipeline}"`);
    }
    if (!pipeline.customers.includes(request.customer)) {
      const message =
        `no pipeline "${request.pipeline}" is open to this customer`;
      return notRun("forbidden", message);
    }
    const customer = config.customers[request.customer];
    this.#options.retryBudget.recordFirstAttempt();
    const run = new CompletionRun({
      ...this.#options,
      policy: this.#policy,
      request,
      onTokens,
      fingerprint: fingerprintOf(request),
      priority: customer?.priority ?? 0,
      cacheScope: customer?.sharesPrefixCache
        ? `customer/${request.customer}`
        : `unshared/${request.customer}/${this.#options.newId()}`,
    });
    return await run.run();
  }
}

/** Digest of the content that an engine would run, for any customer. */
function fingerprintOf(
  request: Pick<CompletionRequest, "pipeline" | "prompt">,
): string {
  return createHash("sha256")
    .update(request.pipeline)
    .update("\0")
    .update(request.prompt)
    .digest("base64url")
    .slice(0, 22);
}
