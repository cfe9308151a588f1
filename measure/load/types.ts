/**
 * Input and result of a load run.
 *
 * @module
 */

import type { Histogram } from "hdr-histogram-js";
import type { CallerKey } from "../../test/local_fleet.ts";

export interface LoadCustomer extends CallerKey {
  /** Share of the arrivals, relative to the other customers' weights. */
  readonly weight: number;
}

/** A pipeline, with the values from which its expected answers follow. */
export interface LoadPipeline {
  readonly name: string;
  readonly model: string;
  readonly version: string;
  readonly layerCount: number;
}

export interface LoadPlan {
  readonly callerUrls: readonly string[];
  readonly customers: readonly LoadCustomer[];
  readonly pipeline: LoadPipeline;
  /** Plain service to call; without it no calls are sent. */
  readonly service?: string;
  readonly requestsPerS: number;
  readonly durationS: number;
  readonly tokensPerAnswer: number;
  /** Shares of the requests, between 0 and 1. */
  readonly streamShare: number;
  readonly callShare: number;
  readonly seed: number;
}

/**
 * Histograms are in microseconds. First token and complete answer are timed
 * from the planned arrival, so that a late send counts.
 */
export interface LoadResult {
  readonly firstToken: Histogram;
  readonly tokenGap: Histogram;
  readonly completeAnswer: Histogram;
  readonly verdicts: ReadonlyMap<string, number>;
  readonly sentCount: number;
  readonly tokenCount: number;
  /** Complete answers that differ from the expected text. */
  readonly wrongCount: number;
  /** Verdicts that callers received, by idempotency key of the call. */
  readonly callVerdicts: ReadonlyMap<string, string>;
  readonly elapsedS: number;
}
