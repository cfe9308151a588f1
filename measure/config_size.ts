/**
 * Measures the cost of the configuration document as it grows to the size
 * expected in two years: bytes, memory, and the time to parse it completely, to
 * apply one change and to validate it.
 * Run: node --expose-gc dist/measure/config_size.js
 *
 * @module
 */

import { hash64Hex } from "../src/common/hash.ts";
import { applyPatch, parseConfig } from "../src/config/patch.ts";
import type { Config, ConfigDocument } from "../src/config/schema.ts";
import { validateConfig } from "../src/config/validate.ts";
import { fitRow, printRows } from "./tables/rows.ts";

const SIZE_SHARES = [1 / 8, 1 / 4, 1 / 2, 1];
const FULL_SIZE = { customers: 8_700, targets: 5_500, pipelines: 25 };
const STAGES = 4;
const LAYERS = 64;
const REPEATS = 15;
const BYTES_PER_MIB = 1 << 20;

interface Size {
  readonly entries: number;
  readonly bytes: number;
  readonly heapMib: number;
  readonly parseMs: number;
  readonly mergePatchMs: number;
  readonly jsonPatchMs: number;
  readonly validationMs: number;
}

export function run(): Promise<void> {
  console.log(
    `median of ${REPEATS} runs; no seed, the document is deterministic\n`,
  );
  const sizes = SIZE_SHARES.map(measure);
  printRows([
    [
      "customers and targets",
      "JSON bytes",
      "heap MiB",
      "read whole, ms",
      "merge patch, ms",
      "JSON patch, ms",
      "rules of these, ms",
    ],
    ...sizes.map((size) => Object.values(size)),
  ]);
  const against = (pick: (size: Size) => number) =>
    sizes.map((size) => ({ x: size.entries, y: pick(size) }));
  console.log("\nline fits by number of entries\n");
  printRows([
    ["value", "slope an entry", "intercept", "largest residual"],
    fitRow("JSON bytes", against(({ bytes }) => bytes)),
    fitRow("heap MiB", against(({ heapMib }) => heapMib)),
    fitRow("read whole, ms", against(({ parseMs }) => parseMs)),
    fitRow("merge patch, ms", against(({ mergePatchMs }) => mergePatchMs)),
    fitRow("JSON patch, ms", against(({ jsonPatchMs }) => jsonPatchMs)),
  ]);
  return Promise.resolve();
}

function measure(share: number): Size {
  const text = JSON.stringify(createDocument(share));
  const before = usedHeapMib();
  const config = parseConfig(JSON.parse(text)).unwrap();
  const heapMib = usedHeapMib() - before;
  const patch = { targets: { "t-1": { draining: true } } };
  const operations = [
    { op: "replace", path: "/customers/c-1/requestsPerS", value: 7 },
  ];
  return {
    entries: Math.round(share * (FULL_SIZE.customers + FULL_SIZE.targets)),
    bytes: text.length,
    heapMib,
    parseMs: medianMs(() => parseConfig(JSON.parse(text))),
    mergePatchMs: medianMs(() =>
      applyPatch(config, { format: "merge-patch", patch })
    ),
    jsonPatchMs: medianMs(() =>
      applyPatch(config, { format: "json-patch", patch: operations })
    ),
    validationMs: medianMs(() => validateConfig(config as Config)),
  };
}

function createDocument(share: number): ConfigDocument {
  const customerNames = names("c", Math.round(FULL_SIZE.customers * share));
  const targetNames = names("t", Math.round(FULL_SIZE.targets * share));
  const pipelineNames = names("p", Math.round(FULL_SIZE.pipelines * share));
  const perPipeline = Math.floor(targetNames.length / pipelineNames.length);
  return {
    customers: Object.fromEntries(customerNames.map((name) => [name, {
      keyDigests: [hash64Hex(name).repeat(4)],
      requestsPerS: 4,
      concurrentRequests: 16,
    }])),
    targets: Object.fromEntries(targetNames.map((name, index) => [name, {
      kind: "engine" as const,
      url: `http://10.${index >> 16}.${index >> 8 & 255}.${index & 255}:9000`,
      failureDomain: `domain-${index % 14}`,
      region: `region-${index % 5}`,
      accelerator: `kind-${index % 6}`,
      layerTokensPerS: 50_000,
    }])),
    pipelines: Object.fromEntries(pipelineNames.map((name, index) => [name, {
      model: name,
      version: "v1",
      layerCount: LAYERS,
      customers: customerNames.filter((_, customer) =>
        customer % pipelineNames.length === index
      ),
      stages: stagesOf(
        targetNames.slice(index * perPipeline, (index + 1) * perPipeline),
      ),
    }])),
  };
}

function stagesOf(targets: readonly string[]) {
  const span = LAYERS / STAGES;
  return Array.from({ length: STAGES }, (_, stage) => ({
    first: stage * span,
    end: (stage + 1) * span,
    targets: targets.filter((_, index) => index % STAGES === stage),
  }));
}

function names(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
}

function medianMs(act: () => unknown): number {
  const times = Array.from({ length: REPEATS }, () => {
    const startedMs = performance.now();
    act();
    return performance.now() - startedMs;
  });
  return times.sort((a, b) => a - b)[Math.floor(REPEATS / 2)];
}

function usedHeapMib(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / BYTES_PER_MIB;
}

if (process.argv[1] === import.meta.filename) await run();
