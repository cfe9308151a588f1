/**
 * Structured logs: one JSON object a line on standard error. Values whose key
 * may hold a secret are masked whatever the caller passes.
 *
 * @module
 */

import process from "node:process";
import type { ServiceIdentifier } from "inversify";
import { type ILogObj, Logger } from "tslog";

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

const RESERVED_FIELDS = ["at", "level", "host", "message"];

/** Least severe level that is written. */
export type LogLevel = typeof LEVELS[number];

/** Names of the levels, the least severe first. */
export const LOG_LEVELS: readonly LogLevel[] = LEVELS;

/** Writes log lines; `fields` are members of the JSON object. */
export interface ILog {
  debug(message: string, fields?: Readonly<Record<string, unknown>>): void;
  info(message: string, fields?: Readonly<Record<string, unknown>>): void;
  warn(message: string, fields?: Readonly<Record<string, unknown>>): void;
  error(message: string, fields?: Readonly<Record<string, unknown>>): void;
}
export const ILog: ServiceIdentifier<ILog> = Symbol.for("Log");

/** Options of a log. */
export interface LogOptions {
  readonly host: string;
  readonly level: LogLevel;
  /** Receives each finished line. */
  readonly write?: (line: string) => void;
}

/** Makes a log on tslog. */
export function createLog(options: LogOptions): ILog {
  const write = options.write ?? ((line) => process.stderr.write(line));
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

/** A log that drops everything, for tests and defaults. */
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

/** The line's own members keep their names; a field of one gets another. */
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
