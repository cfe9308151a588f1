/**
 * Runs one host as a separate process on its own loopback address.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { fstatSync, openSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";
import { asFields, asString } from "../platform/fields.ts";
import { SETTINGS_VARIABLE } from "../platform/settings.ts";
import { isRuntimeStarting, measureRuntimeStart } from "./runtime_start.ts";
import { BOUNDS } from "./settings.ts";
import type { HostLife, SentSignal } from "./types.ts";

const FRONTEND_PORT = 8_080;
const READINESS_PORT = 8_081;
const PEER_PORT = 7_340;
/** The compiled tree that this module is part of. */
const OWN_BUILD = new URL("../", import.meta.url);
const DEPLOY_FILE = "deploy/system.toml";
const ROLE = "entry-host";
const LAST_LINES = 5;
/** A process that outlives its grace by a second is killed. */
export const KILL_AFTER_MS = BOUNDS.graceMs + 1_000;

export interface HostProcessOptions {
  readonly name: string;
  readonly domain: string;
  readonly ip: string;
  readonly storeAddress: string;
  /** Directory for the settings and the log of the host. */
  readonly folder: string;
  /** The `bounds` of the platform's settings, under their setting names. */
  readonly bounds: Readonly<Record<string, number>>;
  /** The compiled tree that the host runs; by default that of this module. */
  readonly build?: URL;
  /** Restarts a process that ends by itself after this time; by default never. */
  readonly restartMs?: number;
}

export class HostProcess {
  readonly #options: HostProcessOptions;
  readonly settingsPath: string;
  /** Content of the settings file. */
  readonly settings: string;
  readonly logPath: string;
  readonly #logFile: number;
  /** Options of Node.js. */
  readonly #flags: readonly string[];
  /** Processes of this host, the present one last. */
  readonly lives: HostLife[] = [];
  #child: ChildProcess | undefined;
  #isDisposed = false;
  /** Entry point of the next start; undefined for this build. */
  program: string | undefined;
  /** Descriptor of the output of processes from now on; by default the log file. */
  output: number | undefined;

  constructor(options: HostProcessOptions) {
    this.#options = options;
    const { name, ip, domain, folder, storeAddress, bounds } = options;
    const { build = OWN_BUILD } = options;
    const shiftedClock = new URL("soak/shifted_clock.js", build).href;
    this.#flags = ["--import", shiftedClock, ...readDeployedFlags()];
    measureRuntimeStart(this.#flags);
    this.settingsPath = join(folder, `${name}.json`);
    this.logPath = join(folder, `${name}.log`);
    this.#logFile = openSync(this.logPath, "a");
    this.settings = JSON.stringify({
      ip,
      // Servers and proxies tell hosts apart by their addresses.
      "outgoing-ip": ip,
      "node-name": name,
      zone: domain,
      listen: {
        frontend: `${ip}:${FRONTEND_PORT}`,
        readiness: `${ip}:${READINESS_PORT}`,
      },
      platform: { address: storeAddress },
      "port-range": [PEER_PORT, PEER_PORT + 9],
      bounds,
    });
    writeFileSync(this.settingsPath, this.settings);
  }

  get name(): string {
    return this.#options.name;
  }

  get ip(): string {
    return this.#options.ip;
  }

  get frontendPort(): number {
    return FRONTEND_PORT;
  }

  get readinessPort(): number {
    return READINESS_PORT;
  }

  get isRunning(): boolean {
    return this.#child !== undefined && this.#child.exitCode === null &&
      this.#child.signalCode === null;
  }

  /** Undefined if it is not running. */
  get pid(): number | undefined {
    return this.isRunning ? this.#child?.pid : undefined;
  }

  start(output = this.output ?? this.#logFile): void {
    const { build = OWN_BUILD, name } = this.#options;
    const program = fileURLToPath(new URL("platform/main.js", build));
    const flags = this.#flags;
    const logStart = fstatSync(this.#logFile).size;
    const child = spawn(
      process.execPath,
      [...flags, this.program ?? program],
      {
        env: { ...process.env, [SETTINGS_VARIABLE]: this.settingsPath },
        stdio: ["ignore", output, output],
      },
    );
    const signals: SentSignal[] = [];
    const life: HostLife = {
      host: name,
      startMs: performance.now(),
      signals,
      readyMs: undefined,
      end: undefined,
      samples: [],
    };
    this.#child = child;
    this.lives.push(life);
    child.once("exit", (code, signal) => {
      const lastLines = this.#isDisposed ? [] : this.#readLastLines(logStart);
      life.end = { atMs: performance.now(), code, signal, lastLines };
      const { restartMs } = this.#options;
      if (restartMs === undefined || isAskedToEnd(signals)) return;
      setTimeout(() => {
        if (!this.isRunning && !this.#isDisposed) this.start();
      }, restartMs);
    });
  }

  signal(name: NodeJS.Signals): void {
    const { pid } = this;
    if (pid === undefined) return;
    const signals = this.lives.at(-1)?.signals as SentSignal[];
    const isBeforeProgram = isRuntimeStarting(pid, this.#flags);
    signals.push({ name, atMs: performance.now(), isBeforeProgram });
    this.#child?.kill(name);
  }

  /** Takes note that the process has answered that it is ready. */
  confirmReady(): void {
    const life = this.lives.at(-1);
    if (life !== undefined) life.readyMs ??= performance.now();
  }

  /** Asks the process to end, as the platform does; resolves when it has. */
  stop(): Promise<void> {
    this.signal("SIGTERM");
    // A paused process handles SIGTERM only after SIGCONT.
    this.signal("SIGCONT");
    return this.waitForExit(KILL_AFTER_MS);
  }

  /**
   * Resolves when the process has exited, at once if it is not running. It is
   * killed after `killAfterMs`, by default never.
   */
  waitForExit(killAfterMs?: number): Promise<void> {
    const child = this.#child;
    if (child === undefined || !this.isRunning) return Promise.resolve();
    const timer = killAfterMs === undefined ? undefined : setTimeout(() => {
      if (this.#child === child) this.signal("SIGKILL");
    }, killAfterMs);
    return new Promise((resolve) =>
      child.once("exit", () => {
        clearTimeout(timer);
        resolve();
      })
    );
  }

  /** Kills the process for good; resolves when it has exited. */
  async dispose(): Promise<void> {
    this.#isDisposed = true;
    this.signal("SIGKILL");
    await this.waitForExit();
  }

  #readLastLines(fromByte: number): readonly string[] {
    const text = readFileSync(this.logPath).subarray(fromByte).toString();
    return text.split("\n").filter((line) => line !== "").slice(-LAST_LINES);
  }
}

function isAskedToEnd(signals: readonly SentSignal[]): boolean {
  return signals.some(({ name }) => name === "SIGTERM" || name === "SIGKILL");
}

/** The options of Node.js with which the platform starts a host. */
function readDeployedFlags(): string[] {
  const deploy = parse(readFileSync(DEPLOY_FILE, "utf8"));
  const role = asFields(asFields(deploy["roles"])?.[ROLE]) ?? {};
  const words = (asString(role["run"]) ?? "").split(" ");
  return words.filter((word) => word.startsWith("--"));
}
