/**
 * Orders and reports of the threads that open many streams.
 *
 * @module
 */

/** What one thread sends. */
export interface StreamWorkload {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Bytes that stand once in each token's event. */
  readonly tokenMarker: string;
  /** Bytes that stand at the end of a whole stream. */
  readonly endMarker: string;
  readonly streamsPerS: number;
  readonly durationMs: number;
  /** Streams that begin before this do not count in the times. */
  readonly warmUpMs: number;
  readonly seed: number;
}

/** What one thread saw. Times are in microseconds, one for each stream or gap. */
export interface StreamReport {
  readonly startedCount: number;
  readonly completeCount: number;
  readonly tokenCount: number;
  readonly firstTokenUs: Float64Array;
  readonly gapUs: Float64Array;
}
