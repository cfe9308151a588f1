/**
 * The settings of `jackdawshiftd`: one table from which the flags, the
 * environment variables, `--help` and the page for operators are made.
 *
 * @module
 */

import { z } from "zod";
import { LOG_LEVELS } from "../common/logging.ts";

const ENVIRONMENT_PREFIX = "JACKDAWSHIFT_";
const NAME = /^[a-z0-9][a-z0-9.-]{0,62}$/;

/** One setting. */
export interface SettingDefinition<T> {
  readonly description: string;
  /** What is allowed, in words, for messages and pages. */
  readonly allowed: string;
  readonly schema: z.ZodType<T>;
  /** As text; undefined when the setting must be given or may stay unset. */
  readonly default?: string;
  readonly required?: boolean;
  /** Secrets come from the environment only. */
  readonly secret?: boolean;
}

function textSetting(pattern: RegExp, allowed: string) {
  return { schema: z.string().regex(pattern), allowed };
}

function integerSetting(min: number, max: number) {
  return {
    schema: z.string().regex(/^\d+$/).transform(Number).pipe(
      z.int().min(min).max(max),
    ),
    allowed: `a whole number from ${min} to ${max}`,
  };
}

const httpUrl = {
  schema: z.url({ protocol: /^https?$/ }),
  allowed: "an http or https URL",
};
const port = integerSetting(0, 65_535);

/** Operators' names and the SHA-256 digests of their keys. */
const operatorKeys = {
  schema: z.string().regex(
    /^[a-z0-9-]+:[0-9a-f]{64}(,[a-z0-9-]+:[0-9a-f]{64})*$/,
  ).transform(
    (list) =>
      list.split(",").map((entry) => {
        const [name, digest] = entry.split(":");
        return { name, digest };
      }),
  ),
  allowed: "name:sha256-digest pairs, joined by commas",
};

function define<T>(definition: SettingDefinition<T>): SettingDefinition<T> {
  return definition;
}

/** Every setting by the name of its member in `Settings`. */
export const SETTINGS = {
  hostName: define({
    ...textSetting(
      NAME,
      "lower-case letters, digits, dots and hyphens; empty makes a new name",
    ),
    schema: z.string().regex(/^([a-z0-9][a-z0-9.-]{0,62})?$/),
    description: "Name of this host, new at each start",
    default: "",
  }),
  failureDomain: define({
    ...textSetting(NAME, "lower-case letters, digits, dots and hyphens"),
    description: "Failure domain in which this host stands",
    required: true,
  }),
  region: define({
    ...textSetting(NAME, "lower-case letters, digits, dots and hyphens"),
    description: "Region in which this host stands",
    default: "default",
  }),
  listenAddress: define({
    schema: z.union([z.ipv4(), z.ipv6()]),
    allowed: "an IP address",
    description:
      "Address on which all ports listen, and under which peers reach this host",
    default: "127.0.0.1",
  }),
  callerPort: define({
    ...port,
    description: "Port for callers; 0 takes a free one",
    default: "8080",
  }),
  operatorPort: define({
    ...port,
    description: "Port for operators; 0 takes a free one",
    default: "8081",
  }),
  peerPort: define({
    ...port,
    description: "Port for peers; 0 takes a free one",
    default: "8082",
  }),
  logUrl: define({
    ...httpUrl,
    description: "The platform's log service",
    required: true,
  }),
  hostListUrl: define({
    ...httpUrl,
    description: "The platform's host list",
    required: true,
  }),
  tlsCertificateFile: define({
    schema: z.string(),
    allowed: "a readable PEM file; empty for none",
    description: "Certificate for the callers' and operators' ports",
    default: "",
  }),
  tlsKeyFile: define({
    schema: z.string(),
    allowed: "a readable PEM file; empty for none",
    description: "Key of the certificate",
    default: "",
  }),
  logLevel: define({
    schema: z.enum(
      LOG_LEVELS as [typeof LOG_LEVELS[number], ...typeof LOG_LEVELS[number][]],
    ),
    allowed: LOG_LEVELS.join(", "),
    description: "Least severe level that is logged",
    default: "info",
  }),
  maxBodyBytes: define({
    ...integerSetting(1_024, 67_108_864),
    description: "Largest body of a caller's request, in bytes",
    default: "1048576",
  }),
  bodyWithinMs: define({
    ...integerSetting(100, 600_000),
    description: "Time in which a caller's body must arrive, in milliseconds",
    default: "10000",
  }),
  maxConcurrentRequests: define({
    ...integerSetting(1, 100_000),
    description: "Requests that this host serves at once",
    default: "2000",
  }),
  unreadyNoticeMs: define({
    ...integerSetting(0, 600_000),
    description:
      "Time a stopping host goes on taking requests, so that the balancer sees it unready, in milliseconds",
    default: "3000",
  }),
  stopWithinMs: define({
    ...integerSetting(0, 3_600_000),
    description:
      "Time after which a stopping host cuts what is still in flight, in milliseconds",
    default: "600000",
  }),
  peerSecret: define({
    ...textSetting(/^\S{16,200}$/, "16 to 200 characters without blanks"),
    description: "Secret shared by all hosts",
    required: true,
    secret: true,
  }),
  operatorKeys: define({
    ...operatorKeys,
    description: "Operators and the SHA-256 digests of their keys",
    required: true,
    secret: true,
  }),
} as const;

/** Name of a setting. */
export type SettingName = keyof typeof SETTINGS;

/** Checked settings. */
export type Settings = {
  readonly [Name in SettingName]: z.output<(typeof SETTINGS)[Name]["schema"]>;
};

/** A setting that is wrong or missing; the message is one line for a person. */
export class SettingError extends Error {
  override readonly name = "SettingError";
}

/** The flag of a setting, for instance `--caller-port`. */
export function flagOf(name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

/** The environment variable of a setting, for instance `JACKDAWSHIFT_CALLER_PORT`. */
export function environmentOf(name: string): string {
  return ENVIRONMENT_PREFIX +
    name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase();
}

/** Checks settings; a flag goes before the environment, which goes before the default. */
export function readSettings(sources: {
  readonly flags: Readonly<Partial<Record<string, string>>>;
  readonly environment: Readonly<Partial<Record<string, string>>>;
}): Settings {
  const entries = Object.entries(SETTINGS).map(([name, definition]) => {
    const given = definition.secret ? undefined : sources.flags[name];
    const value = given ?? sources.environment[environmentOf(name)] ??
      definition.default;
    return [name, checkSetting(name, definition, value)];
  });
  const settings = Object.fromEntries(entries) as Settings;
  if ((settings.tlsCertificateFile === "") !== (settings.tlsKeyFile === "")) {
    throw new SettingError(
      "--tls-certificate-file and --tls-key-file are given together or not at all",
    );
  }
  return settings;
}

function checkSetting(
  name: string,
  definition: SettingDefinition<unknown>,
  value: string | undefined,
): unknown {
  const label = definition.secret
    ? environmentOf(name)
    : `${flagOf(name)} (${environmentOf(name)})`;
  if (value === undefined) {
    throw new SettingError(
      `${label} is missing; allowed: ${definition.allowed}`,
    );
  }
  const parsed = definition.schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const shownValue = definition.secret
    ? "the value given"
    : JSON.stringify(value);
  throw new SettingError(
    `${label}: ${shownValue} is wrong; allowed: ${definition.allowed}`,
  );
}
