/**
 * How much longer than the mean of its chain a gap between tokens may be and
 * still be normal: a high quantile of that ratio over all chains of this
 * host, which many streams teach quickly.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Ratios are recorded in hundredths. */
const RATIO_SCALE = 100;
const MAX_RATIO = 100;
const PERCENTILE = 99.8;
/** Gaps in one window; the last full window and the present one count. */
const WINDOW_GAPS = 8_192;
/** The quantile is computed again after this many gaps. */
const REFRESH_GAPS = 128;
/** Ratio assumed while too few gaps are known. */
const INITIAL_RATIO = 6;
const MIN_WINDOW_GAPS = 512;
/** Room over the quantile. */
const QUANTILE_MARGIN = 1.25;

/** Learns the tail of gaps relative to their mean. */
export class GapTail {
  #window = newHistogram();
  #previousWindow = newHistogram();
  #ratio = INITIAL_RATIO;

  /** Ratio of a gap to the mean above which it is not normal. */
  get ratio(): number {
    return this.#ratio;
  }

  note(ratio: number): void {
    const scaled = Math.round(ratio * RATIO_SCALE);
    const limit = MAX_RATIO * RATIO_SCALE;
    this.#window.recordValue(Math.min(limit, Math.max(1, scaled)));
    if (this.#window.totalCount % REFRESH_GAPS === 0) this.#refresh();
    if (this.#window.totalCount < WINDOW_GAPS) return;
    this.#previousWindow = this.#window;
    this.#window = newHistogram();
  }

  #refresh(): void {
    const quantiles = [this.#window, this.#previousWindow]
      .filter(({ totalCount }) => totalCount >= MIN_WINDOW_GAPS)
      .map((histogram) => histogram.getValueAtPercentile(PERCENTILE));
    if (quantiles.length === 0) return;
    this.#ratio = QUANTILE_MARGIN * Math.max(...quantiles) / RATIO_SCALE;
  }
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RATIO * RATIO_SCALE,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}
