#!/usr/bin/env node
/**
 * Entry point of the daemon `jackdawshiftd`. It handles signals before it
 * imports the program, which takes most of the time of a start.
 *
 * @module
 */

import { EarlySignals } from "../common/early_signals.ts";
import { exitAfterLine } from "../common/exit_after_line.ts";

const signals = new EarlySignals({
  source: process,
  onStop: (signal) =>
    exitAfterLine(
      process.stderr,
      `jackdawshiftd: stopped before the host started (${signal})`,
    ),
});
const { runCommandLine } = await import("./program.ts");
await runCommandLine(signals);
