/**
 * Computes and formats the differences between two configurations.
 *
 * @module
 */

import { jsonPointer } from "../config/validate.ts";

const DISPLAYED_DIGEST_CHARS = 8;

export interface Difference {
  readonly change: "added" | "removed" | "changed";
  /** JSON Pointer of the field. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

/** Lists the fields of two documents that differ; a list is compared as one field. */
export function diffConfig(before: object, after: object): Difference[] {
  const differences: Difference[] = [];
  compare(before, after, []);
  return differences;

  function compare(from: unknown, to: unknown, path: string[]): void {
    if (JSON.stringify(from) === JSON.stringify(to)) return;
    if (isObject(from) && isObject(to)) {
      const keys = new Set([...Object.keys(from), ...Object.keys(to)]);
      for (const key of keys) compare(from[key], to[key], [...path, key]);
      return;
    }
    differences.push(describe(from, to, jsonPointer(path)));
  }
}

function describe(before: unknown, after: unknown, path: string): Difference {
  if (before === undefined) return { change: "added", path, after };
  if (after === undefined) return { change: "removed", path, before };
  return { change: "changed", path, before, after };
}

/** Formats a difference as one line. */
export function formatDifference(difference: Difference): string {
  const { change, path, before, after } = difference;
  if (change === "added") return `+ ${path}: ${formatValue(after)}`;
  if (change === "removed") return `- ${path}: ${formatValue(before)}`;
  return `~ ${path}: ${formatValue(before)} -> ${formatValue(after)}`;
}

/** Shortens the digests of API keys to a prefix that is enough to tell them apart. */
function formatValue(value: unknown): string {
  return JSON.stringify(value).replaceAll(
    /"([0-9a-f]{64})"/g,
    (_, digest: string) => `"${digest.slice(0, DISPLAYED_DIGEST_CHARS)}..."`,
  );
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
