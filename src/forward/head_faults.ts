/**
 * Headers that Node.js reads in a head but does not write in another one, so
 * that the head cannot be passed on.
 *
 * @module
 */

import { validateHeaderName } from "node:http";
import type { RawHeaders } from "../ports/types.ts";

/** Says which name cannot be passed on; undefined if all can. */
export function headerNameFault(rawHeaders: RawHeaders): string | undefined {
  for (let i = 0; i < rawHeaders.length; i += 2) {
    try {
      validateHeaderName(rawHeaders[i]);
    } catch {
      return `header name ${JSON.stringify(rawHeaders[i])} is not a token`;
    }
  }
  return undefined;
}

/** Says why the head of a request cannot be passed on; undefined if it can. */
export function requestHeadFault(rawHeaders: RawHeaders): string | undefined {
  const hosts = rawHeaders.filter((name, i) =>
    i % 2 === 0 && name.toLowerCase() === "host"
  );
  if (hosts.length > 1) return "more than one host header";
  return headerNameFault(rawHeaders);
}
