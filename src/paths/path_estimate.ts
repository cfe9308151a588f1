/**
 * Estimates the time to the first event and the time per token of a path, from
 * the published figures of its targets and what is known of their work. Pure.
 *
 * A target prefills one prompt after the other, in chunks. Each chunk shares its
 * pass with decode steps of the other streams, so a prompt takes longer on a
 * target that decodes, and delays every stream there.
 *
 * @module
 */

import type { EngineProfile } from "../ports/types.ts";

/** Decode steps in each pass of a target that has decoding streams. */
const STEPS_PER_PASS = 4;
/**
 * Share of a target's streams that are in its batch at a time; the others are
 * at another stage.
 */
const ACTIVE_STREAM_SHARE = 0.3;
/**
 * Share of the prefill work in progress that a prompt waits for at each target
 * of its path. Work counts at all targets of its path until the first event,
 * but waits at one of them at a time.
 */
const WAITING_WORK_SHARE = 0.5;
/** Tokens in the first event. */
const FIRST_EVENT_TOKENS = 5;
/** Time per token for a hop within a failure domain. */
const HOP_MS = 0.4;

/** What a host knows of a target. */
export interface TargetWork {
  readonly decodeTimeFactor: number;
  readonly prefillTimeFactor: number;
  /** Slowdown relative to the target's kind; 1 is nominal. */
  readonly slowness: number;
  /** Requests in progress, of all hosts. */
  readonly streams: number;
  /** Prefill work in progress, of all hosts, in tokens x layers. */
  readonly prefillTokenLayers: number;
}

/** Times of a request on a target. */
export interface TargetTimes {
  /** Wait until the target starts the request's prefill. */
  readonly backlogMs: number;
  /** Prefill of the request's prompt, for one layer. */
  readonly prefillLayerMs: number;
  /** One token of the answer, for one layer. */
  readonly tokenLayerMs: number;
}

/** Times on a target of a request with `promptTokens` to prefill. */
export function estimateTarget(
  work: TargetWork,
  { figures, promptTokens }: {
    readonly figures: EngineProfile;
    readonly promptTokens: number;
  },
): TargetTimes {
  const { layers, chunkTokens, typicalPromptTokens } = figures;
  const contextK = (typicalPromptTokens + figures.typicalAnswerTokens / 2) /
    1_000;
  const sequenceMs = figures.perSequenceMs +
    figures.contextPerKiloTokenMs * contextK;
  const stepMs = work.slowness * work.decodeTimeFactor *
    (figures.stepMs + work.streams * ACTIVE_STREAM_SHARE * sequenceMs);
  const decodeMs = work.streams > 0 ? STEPS_PER_PASS * stepMs : 0;
  const promptTokenMs = work.slowness * work.prefillTimeFactor /
    figures.prefillTokensPerMs;
  const promptMs = (tokens: number): number =>
    Math.ceil(tokens / chunkTokens) * decodeMs + tokens * promptTokenMs;
  const backlogTokenMs = typicalPromptTokens > 0
    ? promptMs(typicalPromptTokens) / typicalPromptTokens
    : promptTokenMs;
  return {
    backlogMs: WAITING_WORK_SHARE * work.prefillTokenLayers * backlogTokenMs /
      layers,
    prefillLayerMs: promptMs(promptTokens) / layers,
    tokenLayerMs: stepMs / layers,
  };
}

/** A stage of a path. */
export interface EstimatedStage {
  readonly times: TargetTimes;
  /** Layers that the stage runs for each token. */
  readonly layers: number;
  /** Layers that have to prefill the prompt; fewer after a repath. */
  readonly prefillLayers: number;
}

export interface PathEstimate {
  /** From the send to the first event. */
  readonly firstEventMs: number;
  /** After the first event. */
  readonly msPerToken: number;
}

export function estimatePath(
  stages: readonly EstimatedStage[],
): PathEstimate {
  let promptMs = 0;
  let msPerToken = HOP_MS * Math.max(0, stages.length - 1);
  for (const { times, layers, prefillLayers } of stages) {
    if (prefillLayers > 0) {
      promptMs += times.backlogMs + prefillLayers * times.prefillLayerMs;
    }
    msPerToken += layers * times.tokenLayerMs;
  }
  return {
    firstEventMs: promptMs + FIRST_EVENT_TOKENS * msPerToken,
    msPerToken,
  };
}
