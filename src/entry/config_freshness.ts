/**
 * Whether what a host knows of the configuration is recent enough to accept the
 * keys in it.
 *
 * @module
 */

import type { HostBounds } from "../ports/types.ts";

/** Keys are rejected this long before the configuration's age reaches the limit. */
const AGE_MARGIN_MS = 600;

export function isConfigFresh(
  ageMs: number,
  { revokeMs }: Pick<HostBounds, "revokeMs">,
): boolean {
  return ageMs < revokeMs - AGE_MARGIN_MS;
}
