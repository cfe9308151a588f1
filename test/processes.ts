/**
 * Starts the real programs as child processes on free loopback ports, for the
 * demo, the load tool and the few tests that confirm the wiring.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const READY_TIMEOUT_MS = 15_000;
const MAX_LOG_LINES = 200;

/** The JSON line that a program prints when it is ready. */
export type ReadyLine = Readonly<Record<string, unknown>>;

/** How to start a program. */
export interface ProgramOptions {
  readonly name: string;
  /** Path of the compiled program below `dist`. */
  readonly program: string;
  readonly flags?: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
}

/** One running program. */
export class RunningProgram {
  readonly name: string;
  readonly ready: ReadyLine;
  readonly logLines: readonly string[];
  readonly exited: Promise<number | null>;
  readonly #child: ChildProcess;

  constructor(options: {
    readonly name: string;
    readonly child: ChildProcess;
    readonly ready: ReadyLine;
    readonly logLines: readonly string[];
    readonly exited: Promise<number | null>;
  }) {
    this.name = options.name;
    this.#child = options.child;
    this.ready = options.ready;
    this.logLines = options.logLines;
    this.exited = options.exited;
  }

  get pid(): number {
    return this.#child.pid ?? -1;
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  kill(signal: NodeJS.Signals): void {
    if (this.isRunning) this.#child.kill(signal);
  }
}

/** Programs that are ended together. */
export class ProgramGroup {
  readonly #programs: RunningProgram[] = [];
  readonly #children = new Set<ChildProcess>();

  /** Starts a program and waits for its ready line. */
  async start(options: ProgramOptions): Promise<RunningProgram> {
    const child = spawn(process.execPath, [
      distPath(options.program),
      ...options.flags ?? [],
    ], {
      env: { ...process.env, ...options.environment },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#children.add(child);
    const logLines: string[] = [];
    const exited = new Promise<number | null>((resolve) => {
      child.once("exit", (code) => {
        this.#children.delete(child);
        resolve(code);
      });
    });
    collectLogLines(child, logLines);
    const ready = await readReadyLine(child, options.name, logLines);
    const program = new RunningProgram({
      name: options.name,
      child,
      ready,
      logLines,
      exited,
    });
    this.#programs.push(program);
    return program;
  }

  /** Kills everything and waits until it is gone. */
  async stopAll(): Promise<void> {
    for (const child of this.#children) child.kill("SIGKILL");
    await Promise.all(this.#programs.map((program) => program.exited));
  }
}

/** Path of a compiled program. */
export function distPath(program: string): string {
  return fileURLToPath(
    new URL(`${rootPrefix()}dist/${program}`, import.meta.url),
  );
}

/** This module runs from the sources under vitest and from `dist` otherwise. */
function rootPrefix(): string {
  return import.meta.url.endsWith(".ts") ? "../" : "../../";
}

function collectLogLines(child: ChildProcess, logLines: string[]): void {
  createInterface({ input: child.stderr! }).on("line", (line) => {
    logLines.push(line);
    if (logLines.length > MAX_LOG_LINES) logLines.shift();
  });
}

function readReadyLine(
  child: ChildProcess,
  name: string,
  logLines: readonly string[],
): Promise<ReadyLine> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(
      () => fail("was not ready in time"),
      READY_TIMEOUT_MS,
    );
    child.once(
      "exit",
      (code) => fail(`ended with ${code} before it was ready`),
    );
    createInterface({ input: child.stdout! }).on("line", (line) => {
      const parsed = parseReady(line);
      if (parsed === undefined) return;
      clearTimeout(timer);
      resolve(parsed);
    });
    function fail(reason: string): void {
      clearTimeout(timer);
      reject(new Error(`${name} ${reason}\n${logLines.join("\n")}`));
    }
  });
}

function parseReady(line: string): ReadyLine | undefined {
  if (!line.startsWith("{")) return undefined;
  const parsed = JSON.parse(line);
  return parsed.ready === true ? parsed : undefined;
}
