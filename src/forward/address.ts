/**
 * Addresses of targets as text.
 *
 * @module
 */

import type { Endpoint } from "../ports/types.ts";

/** Splits `IP:PORT`; the decoder of records has checked it. */
export function parseAddress(address: string): Endpoint {
  const colon = address.lastIndexOf(":");
  return {
    ip: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
