/**
 * Counters, gauges and histograms of a host that counts its memory: fixed
 * buckets in place of HDR histograms, rendered as Prometheus text.
 *
 * @module
 */

import {
  bracedLabels,
  Counters,
  getOrAdd,
  type Labels,
  renderLabels,
} from "./counters.ts";

export type { Labels };

/** Collects metrics. Names end in their unit. */
export interface IMetrics {
  count(name: string, labels?: Labels, by?: number): void;
  /** Records a time in milliseconds. */
  record(name: string, valueMs: number, labels?: Labels): void;
  /** Registers a gauge that is read when the metrics are rendered. */
  gauge(name: string, read: () => number): void;
  render(): string;
}

/** Upper bounds of the buckets, from a network delay to the longest route timeout. */
const BUCKETS_MS = [
  1,
  2,
  5,
  10,
  20,
  50,
  100,
  200,
  350,
  500,
  1_000,
  2_000,
  5_000,
  10_000,
  30_000,
];

interface BucketHistogram {
  readonly counts: number[];
  count: number;
  sumMs: number;
}

/** Metrics in the memory of this process. */
export class BucketMetrics implements IMetrics {
  readonly #counters = new Counters();
  readonly #histograms = new Map<string, Map<string, BucketHistogram>>();

  count(name: string, labels?: Labels, by?: number): void {
    this.#counters.count(name, labels, by);
  }

  record(name: string, valueMs: number, labels: Labels = {}): void {
    const series = getOrAdd(
      this.#histograms,
      name,
      () => new Map<string, BucketHistogram>(),
    );
    const buckets = getOrAdd(series, renderLabels(labels), () => ({
      counts: new Array(BUCKETS_MS.length).fill(0),
      count: 0,
      sumMs: 0,
    }));
    buckets.count++;
    buckets.sumMs += valueMs;
    const index = BUCKETS_MS.findIndex((boundMs) => valueMs <= boundMs);
    if (index >= 0) buckets.counts[index]++;
  }

  gauge(name: string, read: () => number): void {
    this.#counters.gauge(name, read);
  }

  render(): string {
    const lines = this.#counters.renderLines();
    for (const [name, series] of this.#histograms) {
      lines.push(`# TYPE ${name} histogram`);
      for (const [labels, buckets] of series) {
        lines.push(...renderHistogram(name, labels, buckets));
      }
    }
    return `${lines.join("\n")}\n`;
  }
}

function renderHistogram(
  name: string,
  labels: string,
  buckets: BucketHistogram,
): string[] {
  const prefix = labels === "" ? "" : `${labels},`;
  let sum = 0;
  const lines = BUCKETS_MS.map((boundMs, index) => {
    sum += buckets.counts[index];
    return `${name}_bucket{${prefix}le="${boundMs}"} ${sum}`;
  });
  lines.push(
    `${name}_bucket{${prefix}le="+Inf"} ${buckets.count}`,
    `${name}_sum${bracedLabels(labels)} ${Math.round(buckets.sumMs)}`,
    `${name}_count${bracedLabels(labels)} ${buckets.count}`,
  );
  return lines;
}
