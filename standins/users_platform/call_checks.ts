/**
 * What the users' platform demands of calls to its store and servers. Each check
 * returns the fault of a call, or undefined for a valid one.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";

const WHOLE = /^\d{1,15}$/;
const PATH_PART = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}=\d{1,6}-\d{1,6}$/;
const MAX_PATH_PARTS = 32;
const MAX_WAIT_MS = 30_000;
const MAX_RECORD_BYTES = 262_144;
const LENGTH_PREFIX_BYTES = 4;

type Check = (value: string) => boolean;

const isWhole: Check = (value) => WHOLE.test(value);
const isName: Check = (value) => value !== "";

/** Members of the query of each call to the store, by method and path. */
const STORE_CALLS: Readonly<
  Record<
    string,
    {
      readonly required: Readonly<Record<string, Check>>;
      readonly optional: Readonly<Record<string, Check>>;
    }
  >
> = {
  "GET /v1/log-read": {
    required: { topic: isName, part: isWhole, from: isWhole },
    optional: {
      "max-read-kb": (value) => isWhole(value) && Number(value) > 0,
      "wait-ms": (value) => isWhole(value) && Number(value) <= MAX_WAIT_MS,
    },
  },
  "GET /v1/log-newest": {
    required: { topic: isName, part: isWhole },
    optional: { after: isName },
  },
  "POST /v1/log-append": {
    required: { topic: isName, part: isWhole },
    optional: {},
  },
};

/** Checks the query of a call to the store. */
export function storeCallFault(
  method: string,
  { pathname, searchParams }: URL,
): string | undefined {
  const call = STORE_CALLS[`${method} ${pathname}`];
  if (call === undefined) return `${method} ${pathname}: no such call`;
  for (const name of Object.keys(call.required)) {
    if (!searchParams.has(name)) return `${name}: missing`;
  }
  for (const [name, value] of searchParams) {
    const check = call.required[name] ?? call.optional[name];
    if (check === undefined) return `${name}: unknown`;
    if (!check(value)) return `${name}: invalid value "${value}"`;
  }
  return undefined;
}

/** Checks the records of an append to a keyed topic. */
export function recordsFault(body: Buffer): string | undefined {
  let start = 0;
  while (start < body.length) {
    const contentStart = start + LENGTH_PREFIX_BYTES;
    if (contentStart > body.length) return "record: length is cut off";
    const sizeBytes = body.readUInt32BE(start);
    const end = contentStart + sizeBytes;
    if (sizeBytes > MAX_RECORD_BYTES) return `record: ${sizeBytes} bytes`;
    if (end > body.length) return "record: content is cut off";
    const keyBytes = sizeBytes === 0 ? 0 : body[contentStart];
    if (keyBytes === 0 || 1 + keyBytes > sizeBytes) return "record: no key";
    start = end;
  }
  return undefined;
}

/** Checks the headers of a request that is to be run. */
export function requestFault(headers: IncomingHttpHeaders): string | undefined {
  const checks: Readonly<Record<string, Check>> = {
    "jackdawshift-attempt-id": isName,
    "jackdawshift-deadline-ms": (value) => isWhole(value) && Number(value) > 0,
    "jackdawshift-expect-instance": isName,
    "jackdawshift-request-priority": (value) => /^\d$/.test(value),
    "jackdawshift-token-usage": (value) => value.split(",").every(isWhole),
    "jackdawshift-hop-count": (value) => pathFault(value) === undefined,
    "last-event-id": isWhole,
  };
  const required = [
    "jackdawshift-attempt-id",
    "jackdawshift-deadline-ms",
    "jackdawshift-expect-instance",
  ];
  for (const [name, check] of Object.entries(checks)) {
    const value = headers[name];
    if (value === undefined) {
      if (required.includes(name)) return `${name}: missing`;
    } else if (!check(String(value))) {
      return `${name}: invalid value "${value}"`;
    }
  }
  return undefined;
}

/** Checks the body of an order. */
export function orderFault(
  order: Readonly<Record<string, unknown>>,
): string | undefined {
  const { op, from, to, expect, id, path } = order;
  const isCount = (value: unknown) =>
    Number.isSafeInteger(value) && (value as number) >= 0;
  if (expect !== undefined && !isCount(expect)) return `expect: ${expect}`;
  if (op === "place") {
    if (!isCount(from)) return `from: ${from}`;
    if (!isCount(to)) return `to: ${to}`;
    const mode = order["drain-mode"];
    return mode === "wait" || mode === "abort"
      ? undefined
      : `drain-mode: ${mode}`;
  }
  if (op === "repath") {
    if (typeof id !== "string" || id === "") return `id: ${id}`;
    return pathFault(String(path));
  }
  return `op: ${op}`;
}

function pathFault(path: string): string | undefined {
  const parts = path.split(",");
  if (parts.length > MAX_PATH_PARTS) return `path: ${parts.length} parts`;
  const wrong = parts.find((part) => !PATH_PART.test(part));
  if (wrong !== undefined) return `path: invalid part "${wrong}"`;
  const servers = new Set(parts.map((part) => part.split("=")[0]));
  return servers.size === parts.length ? undefined : "path: server named twice";
}
