/**
 * Draws line charts as SVG documents.
 *
 * @module
 */

export interface ChartLine {
  readonly name: string;
  /** Between 0 and 1, at equal intervals on the x axis. */
  readonly values: readonly number[];
}

const WIDTH = 640;
const HEIGHT = 240;
const MARGIN = 36;
const COLOURS = ["#1b6ca8", "#c8553d", "#588b3c", "#8b5fa8", "#777777"];

export function drawChart(title: string, lines: readonly ChartLine[]): string {
  const parts = lines.flatMap(({ name, values }, index) => {
    const colour = COLOURS[index % COLOURS.length];
    const points = values.map((value, step) => {
      const x = MARGIN +
        (WIDTH - 2 * MARGIN) * step / Math.max(1, values.length - 1);
      const y = HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * value;
      return `${x.toFixed(1)},${y.toFixed(1)}`;
    });
    const labelY = MARGIN + 14 * index;
    return [
      `<polyline fill="none" stroke="${colour}" points="${points.join(" ")}"/>`,
      `<text x="${WIDTH - 190}" y="${labelY}" fill="${colour}">${
        escape(name)
      }</text>`,
    ];
  });
  const bottom = HEIGHT - MARGIN;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="11">`,
    `<text x="${MARGIN}" y="16" font-size="13">${escape(title)}</text>`,
    `<path d="M${MARGIN} ${MARGIN}V${bottom}H${
      WIDTH - MARGIN
    }" fill="none" stroke="#999"/>`,
    `<text x="8" y="${MARGIN + 4}">1.0</text>`,
    `<text x="8" y="${bottom}">0.0</text>`,
    ...parts,
    "</svg>",
    "",
  ].join("\n");
}

function escape(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
