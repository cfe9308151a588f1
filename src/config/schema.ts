/**
 * The configuration document: customers, pipelines, services and targets.
 * The schema rejects unknown fields; `validate.ts` has the rules that span
 * several fields.
 *
 * @module
 */

import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/)
  .refine((value) => value !== "constructor", '"constructor" is reserved');
const layerSpan = { first: z.int().min(0), end: z.int().min(1) };

const customerSchema = z.strictObject({
  /** SHA-256 digests of the customer's keys, in hexadecimal. */
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/)).max(8),
  requestsPerS: z.number().positive(),
  concurrentRequests: z.int().positive(),
  /** A higher priority is served first; customers of the same priority share fairly. */
  priority: z.int().min(0).max(9).default(5),
  /** Whether this customer's requests may share prefix caches with each other. */
  sharesPrefixCache: z.boolean().default(true),
});

const stageSchema = z.strictObject({
  ...layerSpan,
  /** Targets that hold this span in normal operation. */
  targets: z.array(name).min(1),
});

const pipelineSchema = z.strictObject({
  model: name,
  version: name,
  adapter: name.optional(),
  layerCount: z.int().min(1).max(4096),
  customers: z.array(name),
  stages: z.array(stageSchema).min(1),
  /** Targets that take over a stage after a loss of capacity. */
  standbys: z.array(name).default([]),
  /** Timeout of a complete response. */
  answerWithinMs: z.int().min(1).max(3_600_000).default(60_000),
  maxTokens: z.int().min(1).max(131_072).default(4_096),
});

const serviceSchema = z.strictObject({
  customers: z.array(name),
  targets: z.array(name).min(1),
  /** Whether a call is idempotent if it is not a `GET` and the caller does not mark it. */
  idempotent: z.boolean().default(false),
  /** Whether the service itself rejects a repeated idempotency key. */
  rejectsRepeatedKeys: z.boolean().default(false),
  answerWithinMs: z.int().min(1).max(3_600_000).default(10_000),
});

const targetSchema = z.strictObject({
  kind: z.enum(["engine", "service"]),
  url: z.url({ protocol: /^https?$/ })
    .refine(
      (url) => !/^[^/]*\/\/[^/]*@/.test(url),
      "must not contain credentials",
    ),
  failureDomain: name,
  region: name.default("default"),
  accelerator: name.optional(),
  /** Throughput of the target, in layers times tokens per second. */
  layerTokensPerS: z.number().positive().optional(),
  /** Whether the engine rejects an order with a stale fencing token. */
  checksFence: z.boolean().default(false),
  /** Set by operators to take a target out of use. */
  draining: z.boolean().default(false),
});

const linkSchema = z.strictObject({
  from: name,
  to: name,
  tokensPerS: z.number().positive(),
  delayMs: z.number().min(0),
});

/** Schemas of the sections that map a name to an entry. */
export const entrySchemas = {
  customers: customerSchema,
  pipelines: pipelineSchema,
  services: serviceSchema,
  targets: targetSchema,
};

/** The schema of the names in those sections. */
export const nameSchema = name;

export const configSchema = z.strictObject({
  customers: z.record(name, customerSchema).default({}),
  pipelines: z.record(name, pipelineSchema).default({}),
  services: z.record(name, serviceSchema).default({}),
  targets: z.record(name, targetSchema).default({}),
  /** Links between failure domains; a pair that is not listed has no limit. */
  links: z.array(linkSchema).default([]),
});

/** A configuration as operators write it; fields with defaults are optional. */
export type ConfigDocument = z.input<typeof configSchema>;
/** A parsed configuration, with defaults applied. */
export type Config = z.output<typeof configSchema>;
export type CustomerConfig = Config["customers"][string];
export type PipelineConfig = Config["pipelines"][string];
export type ServiceConfig = Config["services"][string];
export type TargetConfig = Config["targets"][string];
export type StageConfig = PipelineConfig["stages"][number];
export type LinkConfig = Config["links"][number];

/** The configuration before the first change. */
export const EMPTY_CONFIG: Config = configSchema.parse({});
