/**
 * The cost of delaying or refusing a request. Ranks are compared first. Within
 * a rank, the value of a request to its caller is weighed against the work that
 * it needs, and the cost grows with the time waited. Pure functions.
 *
 * @module
 */

import type { EngineProfile } from "../ports/types.ts";

/** Size of an answer token relative to a prompt token. */
const ANSWER_TOKEN_SIZE = 10;
/** Value of a request: a fixed part, and a part in proportion to its size. */
const FIXED_VALUE = 0.3;
const SIZE_VALUE = 0.7;
/** Value of a late response; the operators name a quarter to a half. */
const LATE_VALUE = 0.375;
/** Less work counts as this much, so that tiny requests don't displace all others. */
const MIN_RELATIVE_WORK = 0.25;
/**
 * More work counts as this much. Without this bound, the largest tenth of a kind
 * is served less than half as often as the kind at twice the capacity.
 */
const MAX_RELATIVE_WORK = 1.25;
/** A caller that returns before its time keeps this part of its cost. */
const MIN_WAIT_FACTOR = 0.1;
/** Shortest time after which callers abandon a stream without an event. */
const MIN_PATIENCE_MS = 2_000;

/** What a request needs, and until when its response is of use. */
export interface RequestNeeds {
  readonly requestId: string;
  /** Equal for the attempts of one request. */
  readonly contentId: string;
  /** Requests of one kind are compared in size. */
  readonly kind: string;
  /** Prompt and answer tokens, see `requestSize`. */
  readonly size: number;
  /** Time that targets spend on the request, see `requestWorkMs`. */
  readonly workMs: number;
  readonly receivedMs: number;
  /** Latency goal for the first event. */
  readonly goalMs: number;
  /** Time after which the caller leaves if no event has arrived. */
  readonly patienceMs: number;
}

export interface CostInputs {
  /** Relative to the mean of the kind. */
  readonly relativeSize: number;
  /** Relative to the mean of the service. */
  readonly relativeWork: number;
  /** Whether the first event can still arrive within the latency goal. */
  readonly canBeInTime: boolean;
  /** Negative if the caller was told to return later. */
  readonly waitedMs: number;
  readonly goalMs: number;
}

export interface RankedCost {
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly cost: number;
}

export function requestSize(
  promptTokens: number,
  answerTokens: number,
): number {
  return promptTokens + ANSWER_TOKEN_SIZE * answerTokens;
}

/**
 * Time by which a request extends the passes of its targets, over all layers:
 * its prefill, and its share of the steps that generate its answer.
 */
export function requestWorkMs(
  profile: Pick<
    EngineProfile,
    "prefillTokensPerMs" | "perSequenceMs" | "contextPerKiloTokenMs"
  >,
  { promptTokens, answerTokens }: {
    readonly promptTokens: number;
    readonly answerTokens: number;
  },
): number {
  const { prefillTokensPerMs, perSequenceMs, contextPerKiloTokenMs } = profile;
  const meanKiloTokens = (promptTokens + answerTokens / 2) / 1_000;
  return promptTokens / prefillTokensPerMs +
    answerTokens * (perSequenceMs + contextPerKiloTokenMs * meanKiloTokens);
}

/** Time after which a caller abandons a stream that sends no event. */
export function callerPatienceMs(
  goalMs: number,
  eventGapGoalMs: number | undefined,
): number {
  return Math.max(MIN_PATIENCE_MS, 4 * goalMs, 8 * (eventGapGoalMs ?? 0));
}

/**
 * Cost of delaying or refusing a request, in the same unit for all requests of
 * a rank. The growth over the time waited is relative to the latency goal, so
 * that of two equal requests the one with the shorter goal goes first.
 */
export function refusalCost(inputs: CostInputs): number {
  const { relativeSize, relativeWork, canBeInTime, waitedMs, goalMs } = inputs;
  const value = (FIXED_VALUE + SIZE_VALUE * relativeSize) *
    (canBeInTime ? 1 : LATE_VALUE);
  const waitFactor = Math.max(MIN_WAIT_FACTOR, 1 + waitedMs / goalMs);
  const work = Math.min(
    MAX_RELATIVE_WORK,
    Math.max(MIN_RELATIVE_WORK, relativeWork),
  );
  return value / work * waitFactor;
}

/** Orders the request that costs most to delay or refuse first. */
export function compareCosts(a: RankedCost, b: RankedCost): number {
  return a.rank - b.rank || b.cost - a.cost;
}
