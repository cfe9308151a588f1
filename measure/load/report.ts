/**
 * Formats the result of a load run as Markdown.
 *
 * @module
 */

import type { Histogram } from "hdr-histogram-js";
import type { LoadResult } from "./types.ts";

const PERCENTILES = [50, 95, 99, 100];
const MICROS_PER_MS = 1_000;

export function renderReport(result: LoadResult): string {
  const rows = [
    ["first token", result.firstToken],
    ["between tokens", result.tokenGap],
    ["whole answer", result.completeAnswer],
  ] as const;
  const headings = PERCENTILES.map((percentile) =>
    percentile === 100 ? "max" : `p${percentile}`
  );
  const verdicts = [...result.verdicts].map(([verdict, count]) =>
    `| ${verdict} | ${count} |`
  );
  return [
    `sent ${result.sentCount} requests in ${result.elapsedS.toFixed(1)} s, ` +
    `${Math.round(result.tokenCount / result.elapsedS)} tokens/s, ` +
    `${result.wrongCount} incorrect answers`,
    "",
    `| ms | count | ${headings.join(" | ")} |`,
    `| --- | ---: |${headings.map(() => " ---: |").join("")}`,
    ...rows.map(([name, histogram]) => renderRow(name, histogram)),
    "",
    "| verdict | requests |",
    "| --- | ---: |",
    ...verdicts,
  ].join("\n");
}

function renderRow(name: string, histogram: Histogram): string {
  const cells = PERCENTILES.map((percentile) => {
    return (histogram.getValueAtPercentile(percentile) / MICROS_PER_MS).toFixed(
      1,
    );
  });
  return `| ${name} | ${histogram.totalCount} | ${cells.join(" | ")} |`;
}
