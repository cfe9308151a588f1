/**
 * Counters by name and labels, gauges by name, and helpers for the Prometheus
 * text format that all metric implementations share.
 *
 * @module
 */

/** Labels of one series, for example `{ verdict: "not-run" }`. */
export type Labels = Readonly<Record<string, string>>;

export class Counters {
  readonly #counters = new Map<string, Map<string, number>>();
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

  /** Registers a gauge; `read` is called on each render. */
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

/** Renders labels as `name="value"` pairs separated by commas, without braces. */
export function renderLabels(labels: Labels): string {
  return Object.entries(labels).map(([name, value]) =>
    `${name}=${JSON.stringify(value)}`
  ).join(",");
}

/** Encloses rendered labels in braces; empty if there are none. */
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
