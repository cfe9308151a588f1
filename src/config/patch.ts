/**
 * Applies operators' patches. Only the entries that a patch touches are copied
 * and checked against the schema again, so that a small change to a large
 * configuration costs little.
 *
 * @module
 */

import jsonPatch from "fast-json-patch";
import mergePatch from "json-merge-patch";
import { Ok } from "ts-results-es";
import { z } from "zod";
import { type Fault, notRun, type Outcome } from "../common/verdict.ts";
import {
  type Config,
  configSchema,
  entrySchemas,
  nameSchema,
} from "./schema.ts";
import type { PatchRequest } from "./types.ts";
import { jsonPointer, schemaFaults, validateConfig } from "./validate.ts";

/** Most faults reported for one document. */
const MAX_FAULTS = 100;

type JsonObject = Record<string, unknown>;
type SectionName = keyof typeof entrySchemas;

const SECTIONS = Object.keys(entrySchemas) as SectionName[];

const jsonPatchSchema = z.array(z.looseObject({
  op: z.enum(["add", "remove", "replace", "move", "copy", "test"]),
  path: z.string(),
  from: z.string().optional(),
}));

/** Checks a whole document. */
export function parseConfig(document: unknown): Outcome<Config> {
  const parsed = configSchema.safeParse(document);
  if (!parsed.success) return reject(schemaFaults(parsed.error));
  return checkRules(parsed.data);
}

/** The configuration that a patch makes of `base`; `base` is left as it is. */
export function applyPatch(
  base: Config,
  request: Pick<PatchRequest, "format" | "patch">,
): Outcome<Config> {
  const faults: Fault[] = [];
  findReservedKeys(request.patch, [], faults);
  if (faults.length > 0) return reject(faults);
  const patched = request.format === "merge-patch"
    ? applyMergePatch(base, request.patch)
    : applyJsonPatch(base, request.patch);
  return patched.andThen((document) => parseChanged(base, document));
}

function applyMergePatch(base: Config, patch: unknown): Outcome<unknown> {
  if (!isObject(patch)) {
    return reject([{ path: "", message: "a merge patch must be an object" }]);
  }
  const touched = Object.entries(patch).flatMap(([section, entries]) =>
    isObject(entries)
      ? Object.keys(entries).map((entry) => [section, entry])
      : [[section]]
  );
  return new Ok(mergePatch.apply(copyTouched(base, touched), patch));
}

function applyJsonPatch(base: Config, patch: unknown): Outcome<unknown> {
  const parsed = jsonPatchSchema.safeParse(patch);
  if (!parsed.success) return reject(schemaFaults(parsed.error));
  const touched = parsed.data.flatMap(({ path, from }) =>
    [path, from ?? path].map((pointer) =>
      pointer.split("/").slice(1).map(jsonPatch.unescapePathComponent)
    )
  );
  const document = copyTouched(base, touched);
  try {
    const operations = structuredClone(patch) as jsonPatch.Operation[];
    return new Ok(
      jsonPatch.applyPatch(document, operations, true).newDocument,
    );
  } catch (error) {
    return reject([jsonPatchFault(error)]);
  }
}

function jsonPatchFault(error: unknown): Fault {
  if (error instanceof jsonPatch.JsonPatchError) {
    const [firstLine] = error.message.split("\n");
    return { path: `/${error.index ?? 0}`, message: firstLine };
  }
  return { path: "", message: `the patch cannot be applied: ${error}` };
}

/** Copies the containers along each path, and the entry at its end whole. */
function copyTouched(
  base: Config,
  paths: readonly (readonly string[])[],
): JsonObject {
  const document: JsonObject = { ...base };
  const copied = new Set<string>();
  for (const [section, entry] of paths) {
    if (section === undefined || !Object.hasOwn(base, section)) continue;
    copyOnce(section, () => {
      const value = document[section];
      document[section] = isObject(value)
        ? { ...value }
        : structuredClone(value);
    });
    const entries = document[section];
    if (!isObject(entries) || entry === undefined) continue;
    if (!Object.hasOwn(entries, entry)) continue;
    copyOnce(`${section}/${entry}`, () => {
      entries[entry] = structuredClone(entries[entry]);
    });
  }
  return document;

  function copyOnce(key: string, copy: () => void): void {
    if (copied.has(key)) return;
    copied.add(key);
    copy();
  }
}

/** Parses what differs from `base` and checks the whole. */
function parseChanged(base: Config, document: unknown): Outcome<Config> {
  if (!isObject(document)) return parseConfig(document);
  const { data, faults } = parseSections(base, document);
  const rest = configSchema.safeParse({ ...document, ...emptySections() });
  if (!rest.success) faults.push(...schemaFaults(rest.error));
  if (faults.length > 0 || !rest.success) return reject(faults);
  return checkRules({ ...rest.data, ...data });
}

function parseSections(
  base: Config,
  document: JsonObject,
): { data: Partial<Config>; faults: Fault[] } {
  const data: JsonObject = {};
  const faults: Fault[] = [];
  for (const section of SECTIONS) {
    const entries = document[section] ?? {};
    if (entries === base[section]) {
      data[section] = entries;
    } else if (isObject(entries)) {
      data[section] = parseEntries(section, entries, { base, faults });
    } else {
      faults.push({ path: `/${section}`, message: "must be an object" });
    }
  }
  return { data: data as Partial<Config>, faults };
}

function parseEntries(
  section: SectionName,
  entries: JsonObject,
  { base, faults }: { base: Config; faults: Fault[] },
): JsonObject {
  const baseEntries: JsonObject = base[section];
  for (const [name, entry] of Object.entries(entries)) {
    if (Object.hasOwn(baseEntries, name) && baseEntries[name] === entry) {
      continue;
    }
    const parsedName = nameSchema.safeParse(name);
    const parsed = entrySchemas[section].safeParse(entry);
    if (!parsedName.success) {
      faults.push({
        path: jsonPointer([section, name]),
        message: `"${name}" is not a valid name`,
      });
    }
    if (parsed.success) entries[name] = parsed.data;
    else faults.push(...schemaFaults(parsed.error, [section, name]));
  }
  return entries;
}

function emptySections(): JsonObject {
  return Object.fromEntries(SECTIONS.map((section) => [section, {}]));
}

function checkRules(config: Config): Outcome<Config> {
  const faults = validateConfig(config);
  return faults.length > 0 ? reject(faults) : new Ok(config);
}

/** Libraries drop these keys silently; a patch that holds one is refused. */
function findReservedKeys(
  value: unknown,
  path: readonly string[],
  faults: Fault[],
): void {
  if (typeof value !== "object" || value === null) return;
  for (const [key, inner] of Object.entries(value)) {
    const at = [...path, key];
    if (key === "__proto__" || key === "constructor" || key === "prototype") {
      faults.push({ path: jsonPointer(at), message: `"${key}" is reserved` });
    } else {
      findReservedKeys(inner, at, faults);
    }
  }
}

function reject(faults: readonly Fault[]): Outcome<never> {
  const [first] = faults;
  return notRun(
    "bad-request",
    `the configuration is not valid: ${first.path} ${first.message}`,
    { faults: faults.slice(0, MAX_FAULTS) },
  );
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
