/**
 * Structured log: one JSON object per line on standard error. Values of keys
 * that may hold a secret are always masked.
 *
 * @module
 */

import process from "node:process";
import type { ServiceIdentifier } from "inversify";
import { type ILogObj, Logger } from "tslog";
import { LineWriter } from "./line_writer.ts";

const LEVELS = [
  "silly",
  "trace",
  "debug",
  "info",
  "warn",
  "error",
  "fatal",
] as const;
const MASKED_KEYS = [
  "secret",
  "token",
  "authorization",
  "key",
  "peerSecret",
  "operatorKeys",
];

/** Members that the log itself writes. */
const RESERVED_FIELDS = ["at", "level", "host", "message"];

export type LogLevel = typeof LEVELS[number];

/** Level names in order of increasing severity. */
export const LOG_LEVELS: readonly LogLevel[] = LEVELS;

/** Log with structured `fields`, written as members of the line's JSON object. */
export interface ILog {
  debug(message: string, fields?: Readonly<Record<string, unknown>>): void;
  info(message: string, fields?: Readonly<Record<string, unknown>>): void;
  warn(message: string, fields?: Readonly<Record<string, unknown>>): void;
  error(message: string, fields?: Readonly<Record<string, unknown>>): void;
}
export const ILog: ServiceIdentifier<ILog> = Symbol.for("Log");

export interface LogOptions {
  readonly host: string;
  /** Lines below this level are discarded. */
  readonly level: LogLevel;
  /** Receives each formatted line; standard error by default. */
  readonly write?: (line: string) => void;
  /** Called for each line lost to standard error, with an error code or `stalled`. */
  readonly onDrop?: (cause: string) => void;
}

/** Creates a log based on tslog. */
export function createLog(options: LogOptions): ILog {
  const write = options.write ?? standardErrorWriter(options);
  const logger = new Logger<ILogObj>({
    type: "hidden",
    minLevel: LEVELS.indexOf(options.level),
    maskValuesOfKeys: MASKED_KEYS,
    hideLogPositionForProduction: true,
  });
  logger.attachTransport((line) => write(formatEntry(options.host, line)));
  return {
    debug: (message, fields = {}) => logger.debug(message, fields),
    info: (message, fields = {}) => logger.info(message, fields),
    warn: (message, fields = {}) => logger.warn(message, fields),
    error: (message, fields = {}) => logger.error(message, fields),
  };
}

function standardErrorWriter(
  { host, onDrop }: LogOptions,
): (line: string) => void {
  const writer = new LineWriter({
    output: process.stderr,
    onDrop,
    formatNotice: (causes) => {
      const at = new Date().toISOString();
      const message = "log lines dropped";
      const line = { at, level: "warn", host, message, causes };
      return `${JSON.stringify(line)}\n`;
    },
  });
  return (line) => writer.write(line);
}

/** Discards all lines; for tests and defaults. */
export const silentLog: ILog = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
};

function formatEntry(
  host: string,
  line: Readonly<Record<string, unknown>>,
): string {
  const meta = line["_meta"] as {
    readonly date: Date;
    readonly logLevelName: string;
  };
  const fields = line["1"] as Readonly<Record<string, unknown>> | undefined;
  const entry = {
    at: meta.date.toISOString(),
    level: meta.logLevelName.toLowerCase(),
    host,
    message: line["0"],
    ...renameReservedFields(fields),
  };
  return `${JSON.stringify(entry, serializeError)}\n`;
}

/** Appends `_` to the names of fields that collide with reserved members. */
function renameReservedFields(
  fields: Readonly<Record<string, unknown>> = {},
): Readonly<Record<string, unknown>> {
  const entries = Object.entries(fields).map(([name, value]) => {
    return [RESERVED_FIELDS.includes(name) ? `${name}_` : name, value];
  });
  return Object.fromEntries(entries);
}

function serializeError(_key: string, value: unknown): unknown {
  return value instanceof Error ? value.stack ?? value.message : value;
}
