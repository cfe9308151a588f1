/**
 * Reads a directory of declarations kept in version control: JSON files, each
 * a part of the configuration, joined to one document.
 *
 * @module
 */

import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";
import { Ok } from "ts-results-es";
import { type Fault, notRun, type Outcome } from "../common/verdict.ts";
import { parseConfig } from "../config/patch.ts";
import type { Config } from "../config/schema.ts";
import { jsonPointer } from "../config/validate.ts";

type JsonObject = Record<string, unknown>;

interface Part {
  readonly file: string;
  readonly document: JsonObject;
}

/** Reads, joins and checks all `.json` files below `directory`. */
export async function readDeclarations(
  directory: string,
): Promise<Outcome<Config>> {
  const files = await listFiles(directory);
  if (files.isErr()) return files;
  const parts: Part[] = [];
  for (const file of files.value) {
    const part = await readPart(directory, file);
    if (part.isErr()) return part;
    parts.push(part.value);
  }
  return joinParts(parts).andThen(parseConfig);
}

async function listFiles(directory: string): Promise<Outcome<string[]>> {
  try {
    const names = await readdir(directory, { recursive: true });
    const files = names.filter((name) => name.endsWith(".json")).sort();
    if (files.length > 0) return new Ok(files);
    return notRun("bad-request", `no .json file is in "${directory}"`);
  } catch (error) {
    return notRun("bad-request", `cannot read "${directory}": ${error}`);
  }
}

async function readPart(
  directory: string,
  file: string,
): Promise<Outcome<Part>> {
  try {
    const document = JSON.parse(await readFile(join(directory, file), "utf8"));
    if (isObject(document)) return new Ok({ file, document });
    return notRun("bad-request", `"${file}" does not hold a JSON object`);
  } catch (error) {
    return notRun("bad-request", `cannot read "${file}": ${error}`);
  }
}

/** Joins the parts; a name that two files define is a fault. */
function joinParts(parts: readonly Part[]): Outcome<JsonObject> {
  const joined: JsonObject = {};
  const definedIn = new Map<string, string>();
  const faults: Fault[] = [];
  for (const { file, document } of parts) {
    for (const [section, value] of Object.entries(document)) {
      if (Array.isArray(value)) {
        joined[section] = [...joined[section] as unknown[] ?? [], ...value];
      } else if (isObject(value)) {
        recordNames(section, value, file);
        joined[section] = { ...joined[section] as JsonObject, ...value };
      } else {
        joined[section] = value;
      }
    }
  }
  if (faults.length === 0) return new Ok(joined);
  return notRun("bad-request", "a name is defined twice", { faults });

  function recordNames(
    section: string,
    entries: JsonObject,
    file: string,
  ): void {
    for (const name of Object.keys(entries)) {
      const path = jsonPointer([section, name]);
      const other = definedIn.get(path);
      if (other !== undefined) {
        faults.push({ path, message: `defined in "${other}" and "${file}"` });
      }
      definedIn.set(path, file);
    }
  }
}

function isObject(value: unknown): value is JsonObject {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
