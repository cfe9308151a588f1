/**
 * Counters, gauges and histograms of a host that counts its memory: fixed
 * buckets in place of HDR histograms, rendered as Prometheus text.
 *
 * @module
 */

/** Labels of one series. */
export type Labels = Readonly<Record<string, string>>;

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

interface Buckets {
  readonly counts: number[];
  count: number;
  sumMs: number;
}

/** Metrics in the memory of this process. */
export class LightMetrics implements IMetrics {
  readonly #counters = new Map<string, Map<string, number>>();
  readonly #histograms = new Map<string, Map<string, Buckets>>();
  readonly #gauges = new Map<string, () => number>();

  count(name: string, labels: Labels = {}, by = 1): void {
    const series = getOrAdd(
      this.#counters,
      name,
      () => new Map<string, number>(),
    );
    const key = renderLabels(labels);
    series.set(key, (series.get(key) ?? 0) + by);
  }

  record(name: string, valueMs: number, labels: Labels = {}): void {
    const series = getOrAdd(
      this.#histograms,
      name,
      () => new Map<string, Buckets>(),
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
      lines.push(`# TYPE ${name} histogram`);
      for (const [labels, buckets] of series) {
        lines.push(...renderBuckets(name, labels, buckets));
      }
    }
    return `${lines.join("\n")}\n`;
  }
}

function renderBuckets(
  name: string,
  labels: string,
  buckets: Buckets,
): string[] {
  const prefix = labels === "" ? "" : `${labels},`;
  let sum = 0;
  const lines = BUCKETS_MS.map((boundMs, index) => {
    sum += buckets.counts[index];
    return `${name}_bucket{${prefix}le="${boundMs}"} ${sum}`;
  });
  lines.push(
    `${name}_bucket{${prefix}le="+Inf"} ${buckets.count}`,
    `${name}_sum${braced(labels)} ${Math.round(buckets.sumMs)}`,
    `${name}_count${braced(labels)} ${buckets.count}`,
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
