/**
 * Virtual fleets on which placement plans are compared: the reference site and
 * the two deployments of docs/hard-load.md.
 *
 * @module
 */

import {
  kindOf,
  SITE_PROFILE,
  siteTargets,
} from "../../test/reference_site.ts";
import type { PlanTarget } from "../../src/placement/types.ts";
import type { EngineProfile } from "../../src/ports/types.ts";

/** A target of a fleet, with the name of its kind. */
export interface FleetTarget extends PlanTarget {
  readonly kind: string;
}

export interface Fleet {
  readonly name: string;
  readonly figures: EngineProfile;
  readonly targets: readonly FleetTarget[];
  readonly hosts: number;
  readonly requestsPerS: number;
}

/** Of one token over all layers, in both deployments. */
const KV_BYTES_PER_TOKEN = 492_000;

/** Targets by failure domain, in the order of the kinds of the reference site. */
const A_COUNTS = { a: [2, 0, 9, 24], b: [4, 0, 11, 10], c: [3, 0, 16, 14] };
const B_COUNTS = {
  a: [2, 0, 12, 0, 15],
  b: [4, 0, 14, 0, 6],
  c: [2, 0, 22, 0, 9],
};

export const FLEETS: readonly Fleet[] = [
  {
    name: "reference site",
    figures: SITE_PROFILE,
    targets: withKinds(siteTargets()),
    hosts: 9,
    requestsPerS: 45,
  },
  {
    name: "A",
    figures: { ...SITE_PROFILE, kvBytesPerToken: KV_BYTES_PER_TOKEN },
    targets: withKinds(siteTargets(A_COUNTS)),
    hosts: 79,
    requestsPerS: 280,
  },
  {
    name: "B",
    figures: { ...SITE_PROFILE, kvBytesPerToken: KV_BYTES_PER_TOKEN },
    targets: withKinds(siteTargets(B_COUNTS)),
    hosts: 96,
    requestsPerS: 280,
  },
];

function withKinds(targets: readonly PlanTarget[]): FleetTarget[] {
  return targets.map((target) => ({ ...target, kind: kindOf(target) }));
}
