/**
 * Counters, gauges and histograms, rendered as Prometheus text. Histograms are
 * HDR histograms, shown as summaries.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import type { ServiceIdentifier } from "inversify";
import {
  bracedLabels,
  Counters,
  getOrAdd,
  type Labels,
  renderLabels,
} from "./counters.ts";

const QUANTILES = [0.5, 0.95, 0.99];
const HIGHEST_VALUE = 3_600_000_000;

export type { Labels };

/** Collects metrics. Names end in their unit. */
export interface IMetrics {
  /** Adds to a counter. */
  count(name: string, labels?: Labels, by?: number): void;
  /** Records a value of zero or more in a histogram; it is rounded to a whole number. */
  record(name: string, value: number, labels?: Labels): void;
  /** Registers a gauge that is read when the metrics are rendered. */
  gauge(name: string, read: () => number): void;
  /** All metrics in the Prometheus text format. */
  render(): string;
}
export const IMetrics: ServiceIdentifier<IMetrics> = Symbol.for("Metrics");

/** Metrics in the memory of this process. */
export class Metrics implements IMetrics {
  readonly #counters = new Counters();
  readonly #histograms = new Map<string, Map<string, Histogram>>();

  count(name: string, labels?: Labels, by?: number): void {
    this.#counters.count(name, labels, by);
  }

  record(name: string, value: number, labels: Labels = {}): void {
    const series = getOrAdd(
      this.#histograms,
      name,
      () => new Map<string, Histogram>(),
    );
    const histogram = getOrAdd(series, renderLabels(labels), createHistogram);
    histogram.recordValue(
      Math.min(HIGHEST_VALUE, Math.max(0, Math.round(value))),
    );
  }

  gauge(name: string, read: () => number): void {
    this.#counters.gauge(name, read);
  }

  render(): string {
    const lines = this.#counters.renderLines();
    for (const [name, series] of this.#histograms) {
      lines.push(`# TYPE ${name} summary`);
      for (const [labels, histogram] of series) {
        lines.push(...renderSummary(name, labels, histogram));
      }
    }
    return `${lines.join("\n")}\n`;
  }
}

/** An HDR histogram for whole numbers up to an hour in microseconds. */
export function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_VALUE,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}

function renderSummary(
  name: string,
  labels: string,
  histogram: Histogram,
): string[] {
  const lines = QUANTILES.map((quantile) => {
    const labelText = [labels, `quantile="${quantile}"`].filter((part) =>
      part !== ""
    )
      .join(",");
    return `${name}{${labelText}} ${
      histogram.getValueAtPercentile(quantile * 100)
    }`;
  });
  lines.push(`${name}_count${bracedLabels(labels)} ${histogram.totalCount}`);
  lines.push(
    `${name}_sum${bracedLabels(labels)} ${
      Math.round(histogram.mean * histogram.totalCount)
    }`,
  );
  return lines;
}
