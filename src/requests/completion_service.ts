/**
 * Serves completions: checks that the customer may use the pipeline and runs
 * the request to its end.
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

/** Options of `CompletionService`. */
export interface CompletionServiceOptions {
  readonly config: IConfigService;
  readonly picker: IChainPicker;
  readonly engines: IEngineClient;
  readonly journal: IRequestJournal;
  readonly quarantine: IQuarantineService;
  readonly clock?: Clock;
  readonly retryBudget?: RetryBudget;
  /** Makes identifiers of attempts, each unique over the fleet. */
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

/** Serves completions, resuming an answer whose chain was lost. */
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
      return notRun("not-found", `no pipeline ${request.pipeline}`);
    }
    if (!pipeline.customers.includes(request.customer)) {
      const message = `pipeline ${request.pipeline} is not open to the caller`;
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

/** Digest of the content that an engine would run, whoever sent it. */
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
