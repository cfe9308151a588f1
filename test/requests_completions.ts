/**
 * A completion service over engines with planned faults, and the check of
 * what its caller received.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import { seededRandom } from "../src/common/random.ts";
import type { Outcome } from "../src/common/verdict.ts";
import { configSchema } from "../src/config/schema.ts";
import type { IConfigService } from "../src/config/services.ts";
import { CompletionService } from "../src/requests/completion_service.ts";
import { RequestJournal } from "../src/requests/request_journal.ts";
import type { IQuarantineService } from "../src/requests/services.ts";
import type { AnswerToken, CompletionEnd } from "../src/requests/types.ts";
import { ManualClock } from "./manual_clock.ts";
import {
  expectedText,
  type PlannedFault,
  TestEngines,
} from "./requests_engines.ts";
import { TestPicker } from "./requests_picker.ts";

export const SPANS = [
  { first: 0, end: 4 },
  { first: 4, end: 8 },
  { first: 8, end: 12 },
];
/** Tokens of a whole answer. */
export const ANSWER_TOKEN_COUNT = 12;
export const PROMPT = "p";

const CONFIG = configSchema.parse({
  customers: {
    ferias: { keyDigests: [], requestsPerS: 1, concurrentRequests: 1 },
    unshared: {
      keyDigests: [],
      requestsPerS: 1,
      concurrentRequests: 1,
      sharesPrefixCache: false,
    },
  },
  pipelines: {
    escriba: {
      model: "m",
      version: "v1",
      layerCount: 12,
      customers: ["ferias", "unshared"],
      stages: [{ first: 0, end: 12, targets: ["a"] }],
    },
  },
});

/** A quarantine that lets everything pass. */
export const NO_QUARANTINE: IQuarantineService = {
  admit: () => Ok.EMPTY,
  strike: () => Promise.resolve(),
  isolate: () => Promise.resolve({ kind: "unsuspected" }),
  clearSuspicion: () => {},
};

/** A configuration with one pipeline. */
export function pipelineConfig(): IConfigService {
  const state = { version: 1, offset: 0, config: CONFIG };
  return { state } as IConfigService;
}

/** What the caller of one completion saw. */
export interface CompletionHistory {
  readonly outcome: Outcome<CompletionEnd>;
  readonly released: readonly AnswerToken[];
  readonly releasedAtMs: readonly number[];
  /** Attempts that reached an engine. */
  readonly startedAttemptCount: number;
}

/** Options of `completionBench`. */
export interface CompletionFixtureOptions {
  readonly seed?: number;
  readonly faults?: readonly PlannedFault[];
  readonly replicas?: number;
  readonly quarantine?: IQuarantineService;
}

/** Builds engines, picker and service on one clock. */
export function completionFixture(options: CompletionFixtureOptions = {}) {
  const clock = new ManualClock();
  const random = seededRandom(options.seed ?? 1);
  const faults = [...(options.faults ?? [])];
  const engines = new TestEngines({
    clock,
    length: ANSWER_TOKEN_COUNT,
    faults,
  });
  for (const [at, span] of SPANS.entries()) {
    for (let replica = 0; replica < (options.replicas ?? 5); replica += 1) {
      engines.add(`e${at}-${replica}`, span);
    }
  }
  const picker = new TestPicker({ engines, random, spans: SPANS });
  let nextId = 0;
  const service = new CompletionService({
    clock,
    config: {
      state: { version: 1, offset: 0, config: CONFIG },
    } as IConfigService,
    picker,
    engines,
    journal: new RequestJournal({ clock }),
    quarantine: options.quarantine ??
      NO_QUARANTINE,
    newId: () => `attempt-${nextId++}`,
    policy: { chainWaitTimeoutMs: 1_000 },
  });
  async function complete(
    pipeline = "escriba",
    customer = "ferias",
  ): Promise<CompletionHistory> {
    const released: AnswerToken[] = [];
    const releasedAtMs: number[] = [];
    const outcome = await clock.runUntil(service.complete({
      requestId: "r",
      customer,
      pipeline,
      prompt: PROMPT,
      maxTokens: 64,
      deadlineMs: clock.nowMs() + 20_000,
      signal: new AbortController().signal,
    }, (tokens) => {
      released.push(...tokens);
      releasedAtMs.push(...tokens.map(() => clock.nowMs()));
    }));
    await clock.advance(2_000);
    return {
      outcome,
      released,
      releasedAtMs,
      startedAttemptCount: engines.attempts.size,
    };
  }
  return { clock, random, engines, picker, service, complete };
}

/** Says what is wrong with a history, or nothing. */
export function findViolation(
  history: CompletionHistory,
): string | undefined {
  const { outcome, released, startedAttemptCount: startedCount } = history;
  for (const [index, token] of released.entries()) {
    if (token.index !== index) return `index ${token.index} at ${index}`;
    if (token.text !== expectedText(PROMPT, index)) {
      return `text ${token.text} at ${index}`;
    }
  }
  if (outcome.isOk() && released.length !== ANSWER_TOKEN_COUNT) {
    return `clean end after ${released.length} tokens`;
  }
  if (outcome.isOk()) return undefined;
  const { verdict } = outcome.error;
  if (startedCount > 0 && verdict === "not-run") {
    return `not-run after ${startedCount} attempts`;
  }
  return undefined;
}
