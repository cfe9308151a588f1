/**
 * Estimates the memory that a request needs on its path.
 *
 * @module
 */

import type { EngineProfile, RequestMetadata } from "../ports/types.ts";

/**
 * Share of the estimated answer for which memory is reserved. On average, the
 * answers of a target are half generated; estimates are accurate at the median.
 */
const RESERVED_ANSWER_SHARE = 0.7;

/** Number of prompt and answer tokens for which memory is reserved. */
export function tokensToReserve(
  { promptTokens, maxAnswerTokens, likelyAnswerTokens }: RequestMetadata,
  { typicalAnswerTokens }: EngineProfile,
): number {
  const likely = (likelyAnswerTokens ?? typicalAnswerTokens) *
    RESERVED_ANSWER_SHARE;
  return promptTokens +
    (maxAnswerTokens > 0 ? Math.min(maxAnswerTokens, likely) : likely);
}
