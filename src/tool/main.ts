#!/usr/bin/env node
/**
 * `jackdawshift`, the command-line tool of operators.
 *
 * @module
 */

import { runTool } from "./run_tool.ts";

process.exitCode = await runTool(process.argv.slice(2), {
  env: process.env,
  stdout: process.stdout,
  stderr: process.stderr,
});
