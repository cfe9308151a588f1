/**
 * Counters and gauges by name and labels, and the parts of the Prometheus text
 * format that all metrics share.
 *
 * @module
 */

/** Labels of one series, for instance `{ verdict: "not-run" }`. */
export type Labels = Readonly<Record<string, string>>;

/** Counters and gauges in the memory of this process. */
export class Counters {
  readonly #counters = new Map<string, Map<string, number>>();
  readonly #gauges = new Map<string, () => number>();

  /** Adds to a counter. */
  count(name: string, labels: Labels = {}, by = 1): void {
    const series = getOrAdd(
      this.#counters,
      name,
      () => new Map<string, number>(),
    );
    const key = renderLabels(labels);
    series.set(key, (series.get(key) ?? 0) + by);
  }

  /** Registers a gauge that is read when it is rendered. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  renderLines(): string[] {
    const lines: string[] = [];
    for (const [name, series] of this.#counters) {
      lines.push(`# TYPE ${name} counter`);
      for (const [labels, value] of series) {
        lines.push(`${name}${bracedLabels(labels)} ${value}`);
      }
    }
    for (const [name, read] of this.#gauges) {
      lines.push(`# TYPE ${name} gauge`, `${name} ${read()}`);
    }
    return lines;
  }
}

/** Labels as they stand between braces. */
export function renderLabels(labels: Labels): string {
  return Object.entries(labels).map(([name, value]) =>
    `${name}=${JSON.stringify(value)}`
  ).join(",");
}

/** Rendered labels in braces, nothing where there are none. */
export function bracedLabels(labels: string): string {
  return labels === "" ? "" : `{${labels}}`;
}

export function getOrAdd<K, V>(map: Map<K, V>, key: K, create: () => V): V {
  let value = map.get(key);
  if (value === undefined) {
    value = create();
    map.set(key, value);
  }
  return value;
}
