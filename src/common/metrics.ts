/**
 * Counters, gauges and histograms, rendered as Prometheus text. Histograms are
 * HDR histograms, shown as summaries.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import type { ServiceIdentifier } from "inversify";

const QUANTILES = [0.5, 0.95, 0.99];
const HIGHEST_VALUE = 3_600_000_000;

/** Labels of one series, for instance `{ verdict: "not-run" }`. */
export type Labels = Readonly<Record<string, string>>;

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
  readonly #counters = new Map<string, Map<string, number>>();
  readonly #gauges = new Map<string, () => number>();
  readonly #histograms = new Map<string, Map<string, Histogram>>();

  count(name: string, labels: Labels = {}, by = 1): void {
    const series = getOrAdd(
      this.#counters,
      name,
      () => new Map<string, number>(),
    );
    const key = renderLabels(labels);
    series.set(key, (series.get(key) ?? 0) + by);
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
    this.#gauges.set(name, read);
  }

  render(): string {
    const lines: string[] = [];
    for (const [name, series] of this.#counters) {
      lines.push(`# TYPE ${name} counter`);
      for (const [labels, value] of series) {
        lines.push(`${name}${braced(labels)} ${value}`);
      }
    }
    for (const [name, read] of this.#gauges) {
      lines.push(`# TYPE ${name} gauge`, `${name} ${read()}`);
    }
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
    const all = [labels, `quantile="${quantile}"`].filter((part) => part !== "")
      .join(",");
    return `${name}{${all}} ${histogram.getValueAtPercentile(quantile * 100)}`;
  });
  lines.push(`${name}_count${braced(labels)} ${histogram.totalCount}`);
  lines.push(
    `${name}_sum${braced(labels)} ${
      Math.round(histogram.mean * histogram.totalCount)
    }`,
  );
  return lines;
}

function renderLabels(labels: Labels): string {
  return Object.entries(labels).map(([name, value]) =>
    `${name}=${JSON.stringify(value)}`
  ).join(",");
}

function braced(labels: string): string {
  return labels === "" ? "" : `{${labels}}`;
}

function getOrAdd<K, V>(map: Map<K, V>, key: K, create: () => V): V {
  let value = map.get(key);
  if (value === undefined) {
    value = create();
    map.set(key, value);
  }
  return value;
}
