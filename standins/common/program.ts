/**
 * What the main files of the stand-ins share.
 *
 * @module
 */

import { parseArgs } from "node:util";

/** A flag by its name, with its default. */
export type FlagDefaults = Readonly<Record<string, string>>;

/** Reads flags; an unknown one ends the program with one line. */
export function readFlags<D extends FlagDefaults>(
  defaults: D,
): Record<keyof D, string> {
  const options: Record<string, { type: "string"; default: string }> = {};
  for (const [name, value] of Object.entries(defaults)) {
    options[name] = { type: "string", default: value };
  }
  try {
    const { values } = parseArgs({ options });
    return values as Record<keyof D, string>;
  } catch (error) {
    console.error(error instanceof Error ? error.message : String(error));
    process.exit(2);
  }
}

/** Reads a flag that is a number of at least `min`. */
export function numberFlag(name: string, value: string, min = 0): number {
  const number = Number(value);
  if (value !== "" && Number.isFinite(number) && number >= min) return number;
  console.error(`--${name} ${value}: must be a number of at least ${min}`);
  process.exit(2);
}

/** Prints where the program listens, and ends it at SIGTERM or SIGINT. */
export function announce(url: string): void {
  process.once("SIGTERM", () => process.exit(0));
  process.once("SIGINT", () => process.exit(0));
  console.log(JSON.stringify({ ready: true, url }));
}
