/**
 * What a load run asks and what it finds.
 *
 * @module
 */

import type { Histogram } from "hdr-histogram-js";
import type { CallerKey } from "../../test/local_fleet.ts";

/** One customer's share of the arrivals. */
export interface LoadCustomer extends CallerKey {
  readonly weight: number;
}

/** A pipeline, with what is needed to know its right answers. */
export interface LoadPipeline {
  readonly name: string;
  readonly model: string;
  readonly version: string;
  readonly layerCount: number;
}

/** What to send. */
export interface LoadPlan {
  readonly callerUrls: readonly string[];
  readonly customers: readonly LoadCustomer[];
  readonly pipeline: LoadPipeline;
  /** Plain service; left out, no calls are sent. */
  readonly service?: string;
  readonly requestsPerS: number;
  readonly durationS: number;
  readonly tokensPerAnswer: number;
  /** Shares of the requests, between 0 and 1. */
  readonly streamShare: number;
  readonly callShare: number;
  readonly seed: number;
}

/** What came back. Times are in microseconds from the planned arrival. */
export interface LoadResult {
  readonly firstToken: Histogram;
  readonly tokenGap: Histogram;
  readonly completeAnswer: Histogram;
  readonly verdicts: ReadonlyMap<string, number>;
  readonly sentCount: number;
  readonly tokenCount: number;
  /** Complete answers that differ from what was asked. */
  readonly wrongCount: number;
  /** Keys of calls by the verdict that their caller got. */
  readonly callVerdicts: ReadonlyMap<string, string>;
  readonly elapsedS: number;
}
