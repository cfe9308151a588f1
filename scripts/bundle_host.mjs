// Bundles the host's program in a compiled tree: one file in place of all that
// it imports, and another for its entry point, which handles signals first.
// `node scripts/bundle_host.mjs TREE [FOLDER]`; by default, in place.
import { join } from "node:path";
import process from "node:process";
import { buildSync } from "esbuild";

const [tree, folder = join(tree, "platform")] = process.argv.slice(2);
buildSync({
  entryPoints: ["main.js", "host_program.js"].map((file) =>
    join(tree, "platform", file)
  ),
  outdir: folder,
  allowOverwrite: true,
  bundle: true,
  // Stays a file of its own, imported when the handlers are installed.
  external: ["./host_program.js"],
  platform: "node",
  format: "esm",
  target: "node20.11",
  logLevel: "warning",
});
