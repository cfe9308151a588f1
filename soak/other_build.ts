/**
 * Another build of the program beside this one: builds a commit of the
 * repository's history, and replaces hosts of one build by hosts of the other,
 * one after the other.
 *
 * @module
 */

import { execFileSync } from "node:child_process";
import { mkdirSync, mkdtempSync, symlinkSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import type { HostProcess } from "./host_process.ts";
import type { Interval } from "./types.ts";

export interface BuiltProgram {
  /** Path of the program's entry point. */
  readonly program: string;
  /** Holds the sources and the build; the caller removes it. */
  readonly folder: string;
}

/** Builds a commit with the packages of this checkout; throws if it does not compile. */
export function buildCommit(commit: string): BuiltProgram {
  const folder = mkdtempSync(join(tmpdir(), "soak-build-"));
  const archive = join(folder, "source.tar");
  const source = join(folder, "source");
  mkdirSync(source);
  execFileSync("git", ["archive", "--output", archive, commit]);
  execFileSync("tar", ["-xf", archive, "-C", source]);
  const packages = join(process.cwd(), "node_modules");
  symlinkSync(packages, join(source, "node_modules"));
  const compiler = join(packages, "typescript", "bin", "tsc");
  execFileSync(process.execPath, [compiler, "-p", "tsconfig.json"], {
    cwd: source,
    stdio: "inherit",
  });
  return { program: join(source, "dist", "platform", "main.js"), folder };
}

/**
 * Replaces all hosts by hosts of this build, and then by hosts of the other one;
 * none without another one. Resolves with when each host was away.
 */
export async function replaceHosts(
  hosts: readonly HostProcess[],
  otherProgram: string | undefined,
): Promise<(Interval & { readonly host: string })[]> {
  const absences: (Interval & { readonly host: string })[] = [];
  if (otherProgram === undefined) return absences;
  for (const program of [undefined, otherProgram]) {
    for (const host of hosts) {
      const startMs = performance.now();
      host.program = program;
      await host.stop();
      if (!host.isRunning) host.start();
      absences.push({ host: host.name, startMs, endMs: performance.now() });
    }
  }
  return absences;
}
