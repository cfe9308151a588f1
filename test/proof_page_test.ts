import { existsSync, readFileSync } from "node:fs";
import { expect, test } from "vitest";

const COLUMNS = 7;
const rows = readFileSync("docs/PROOF.md", "utf8")
  .split("## Every rule of the users' platform")[1]
  .split("\n## ")[0]
  .split("\n")
  .filter((line) => /^\| `[a-z-]+` /.test(line))
  .map((line) => line.split("|").slice(1, -1).map((cell) => cell.trim()));
const expectedIds = readFileSync("test/proof_rows.txt", "utf8").trim()
  .split("\n");
const faultKinds = new Set(
  [...readFileSync("soak/types.ts", "utf8").matchAll(/^ {2}\| "([a-z-]+)"/gm)]
    .map(([, kind]) => kind),
);

test("the page has one row for each rule", () => {
  expect(rows.map(([id]) => id.replaceAll("`", ""))).toEqual(expectedIds);
});

test.each(rows)(
  "row %s has every cell and names only what exists",
  (...row) => {
    expect(row).toHaveLength(COLUMNS);
    expect(row.filter((cell) => cell === "")).toEqual([]);
    const [, , keptIn, , proof, faults] = row;
    for (const [, file] of `${keptIn} ${proof}`.matchAll(/`([a-z_/]+\.ts)`/g)) {
      expect(existsSync(file), file).toBe(true);
    }
    if (!faults.startsWith("none") && !faults.startsWith("all")) {
      for (const [kind] of faults.matchAll(/\b[a-z]+-[a-z-]+\b/g)) {
        const isEnding = kind === "replaced-at-once";
        expect(isEnding || faultKinds.has(kind), kind).toBe(true);
      }
    }
    // A cell without a proof says why.
    for (const cell of [keptIn, proof, faults]) {
      if (/^(none|nowhere)/.test(cell)) {
        expect(cell).toMatch(
          /^[a-z]+(:|;| for) /,
        );
      }
    }
  },
);
