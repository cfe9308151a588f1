// Bundles the host's program in a compiled tree: one file in place of all that
// it imports, and another for its entry point, which handles signals first.
// `node scripts/bundle_host.mjs TREE [FOLDER]`; by default, in place.
import { mkdirSync, renameSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { buildSync } from "esbuild";

const [tree, folder = join(tree, "platform")] = process.argv.slice(2);
const { outputFiles } = buildSync({
  entryPoints: ["main.js", "host_program.js"].map((file) =>
    join(tree, "platform", file)
  ),
  outdir: folder,
  allowOverwrite: true,
  write: false,
  bundle: true,
  // Stays a file of its own, imported when the handlers are installed.
  external: ["./host_program.js"],
  platform: "node",
  format: "esm",
  target: "node20.11",
  logLevel: "warning",
});
// Renamed into place, so that a host that starts meanwhile finds a whole file.
for (const { path, contents } of outputFiles) {
  mkdirSync(dirname(path), { recursive: true });
  writeFileSync(`${path}.new`, contents);
  renameSync(`${path}.new`, path);
}
