import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, normalize } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

/** Highest layer first; a folder may import only itself and lower layers. */
const LAYERS = [
  "daemon",
  "tool",
  "http",
  "requests",
  "pipelines",
  "fleet",
  "config",
  "clients",
  "entry",
  "forward",
  "admission",
  "placement",
  "paths",
  "peers",
  "feeds",
  "ports",
  "common",
];
const MAX_LINES = 400;
/** Every folder that contains TypeScript sources. */
const FOLDERS = [
  "src",
  "platform",
  "standins",
  "measure",
  "soak",
  "demo",
  "test",
];
const root = fileURLToPath(new URL("../", import.meta.url));
const files = filesOf("src");
const sources = files.filter((file) =>
  !file.endsWith("_test.ts") && !file.includes("testing/")
);

test("folders of src/ import only themselves and lower layers", () => {
  expect(sources.length).toBeGreaterThan(100);
  expect(sources.flatMap(importsOfHigherLayers)).toEqual([]);
});

test("no source file exceeds the line limit", () => {
  const long = FOLDERS.flatMap((folder) =>
    filesOf(folder).map((file) => `${folder}/${file}`)
  ).filter((file) =>
    readFileSync(join(root, file), "utf8").split("\n").length > MAX_LINES
  );
  expect(long).toEqual([]);
});

const PLATFORM_NAMES =
  /jackdawshift-(attempt|hop|prefix|expect|not-exec|server|tenant|token-usage)|log-(append|newest|join|read)|kv-used/i;

test("src/ contains no platform-specific names or imports", () => {
  const naming = files.filter((file) => PLATFORM_NAMES.test(read(file)));
  expect(naming).toEqual([]);
  const importing = files.filter((file) =>
    /from "[./]+\/platform\/(fields|settings|store_client|header_codec|target_)/
      .test(read(file))
  );
  expect(importing).toEqual([]);
});

test("platform/ has at most a sixth of the lines of src/", () => {
  expect(linesOf("platform")).toBeLessThanOrEqual(linesOf("src") / 6);
});

test("soak/ has at most a tenth of the lines of code", () => {
  const all = FOLDERS.reduce((sum, folder) => sum + linesOf(folder), 0);
  expect(linesOf("soak")).toBeLessThanOrEqual(all / 10);
});

/** Number of source lines, tests excluded. */
function linesOf(folder: string): number {
  return filesOf(folder).filter((file) => !file.endsWith("_test.ts"))
    .reduce(
      (sum, file) =>
        sum +
        readFileSync(join(root, folder, file), "utf8").split("\n").length,
      0,
    );
}

function filesOf(folder: string): string[] {
  return readdirSync(join(root, folder), { recursive: true, encoding: "utf8" })
    .filter((file) => file.endsWith(".ts"));
}

function importsOfHigherLayers(file: string): string[] {
  const own = LAYERS.indexOf(file.split("/")[0]);
  return [...read(file).matchAll(/from "(\.[^"]+)"/g)]
    .map(([, target]) => normalize(join(dirname(file), target)))
    .filter((path) => LAYERS.indexOf(path.split("/")[0]) < own)
    .map((path) => `${file} imports ${path}`);
}

function read(file: string): string {
  return readFileSync(join(root, "src", file), "utf8");
}
