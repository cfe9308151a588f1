/**
 * Parses the addresses of targets.
 *
 * @module
 */

import type { Endpoint } from "../ports/types.ts";

/** Splits `IP:PORT`. The format was validated when the record was decoded. */
export function parseAddress(address: string): Endpoint {
  const colon = address.lastIndexOf(":");
  return {
    ip: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
