/**
 * Workloads and reports of the worker threads that open streams.
 *
 * @module
 */

export interface StreamWorkload {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Text that occurs exactly once in the event of each token. */
  readonly tokenMarker: string;
  /** Text that occurs at the end of a complete stream. */
  readonly endMarker: string;
  readonly streamsPerS: number;
  readonly durationMs: number;
  /** Streams that start earlier are left out of the time measurements. */
  readonly warmUpMs: number;
  readonly seed: number;
}

/** Arrays hold one time in microseconds for each stream or gap. */
export interface StreamReport {
  readonly startedCount: number;
  readonly completeCount: number;
  readonly tokenCount: number;
  readonly firstTokenUs: Float64Array;
  readonly gapUs: Float64Array;
}
