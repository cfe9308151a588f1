/**
 * Command-line flags and the ready line of the stand-in programs.
 *
 * @module
 */

import { parseArgs } from "node:util";

/** Default values by flag name. */
export type FlagDefaults = Readonly<Record<string, string>>;

/** Parses the flags; on an unknown one, prints the error and exits with status 2. */
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

/** Parses a number of at least `min`; on failure, prints the error and exits. */
export function numberFlag(name: string, value: string, min = 0): number {
  const number = Number(value);
  if (value !== "" && Number.isFinite(number) && number >= min) return number;
  console.error(
    `--${name}: "${value}" is invalid; expected a number of at least ${min}`,
  );
  process.exit(2);
}

/** Prints the base URL as a JSON line and exits on SIGTERM or SIGINT. */
export function announce(url: string): void {
  process.once("SIGTERM", () => process.exit(0));
  process.once("SIGINT", () => process.exit(0));
  console.log(JSON.stringify({ ready: true, url }));
}
