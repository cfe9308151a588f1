/**
 * Estimates how much longer than its chain's mean a normal gap between tokens
 * can be: a high quantile of that ratio over all chains of this host. With many
 * streams, the estimate converges quickly.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";

/** Ratios are recorded in hundredths. */
const RATIO_SCALE = 100;
const MAX_RATIO = 100;
const PERCENTILE = 99.8;
/** Gaps in one window; the quantile covers the previous window and the current one. */
const WINDOW_GAPS = 8_192;
/** Gaps between two computations of the quantile. */
const REFRESH_GAPS = 128;
/** Ratio assumed until a window holds enough gaps. */
const INITIAL_RATIO = 6;
const MIN_WINDOW_GAPS = 512;
/** Headroom over the quantile. */
const QUANTILE_MARGIN = 1.25;

/** Sliding-window estimate of the tail of gaps relative to their mean. */
export class GapTail {
  #window = newHistogram();
  #previousWindow = newHistogram();
  #ratio = INITIAL_RATIO;

  /** Ratio to the mean above which a gap is abnormal. */
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
