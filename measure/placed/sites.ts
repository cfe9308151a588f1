/**
 * The sites that the ways of path selection are compared on.
 *
 * @module
 */

import { SITE_PROFILE, siteTargets } from "../../test/reference_site.ts";
import type { PlanTarget } from "../../src/placement/types.ts";
import type { EngineProfile } from "../../src/ports/types.ts";
import { SMALL_FLEET_INFO } from "./day.ts";
import type { LoadInfo } from "./types.ts";

export interface ComparedSite {
  readonly name: string;
  readonly hosts: number;
  readonly targets: readonly PlanTarget[];
  readonly figures: EngineProfile;
  readonly loadInfo: LoadInfo;
  /** Request rate relative to that of the reference site. */
  readonly rateFactor: number;
}

/** Load information in fleets with relays: 0.6 to 2.4 s old. */
const RELAYED_INFO: LoadInfo = {
  intervalMs: 600,
  minDelayMs: 600,
  maxDelayMs: 1_800,
  hasPrefillReports: true,
};
/** 93 targets, as in deployment A. */
const LARGE_SITE = { north: [4, 9, 18], middle: [4, 9, 18], south: [4, 9, 18] };
/** Factors of deployment A by kind; memory as at the reference site. */
const LARGE_SITE_FACTORS: Readonly<
  Partial<Record<string, [number, number]>>
> = {
  large: [2.4, 3.2],
  middle: [5.3, 7.9],
  small: [16, 8.2],
};
const LARGE_SITE_FIGURES: EngineProfile = {
  ...SITE_PROFILE,
  kinds: new Map(
    [...SITE_PROFILE.kinds].map(([name, kind]) => {
      const factors = LARGE_SITE_FACTORS[name];
      // The other kinds have their own factors, and none of their targets is here.
      if (factors === undefined) return [name, kind];
      const [decodeTimeFactor, prefillTimeFactor] = factors;
      return [name, { ...kind, decodeTimeFactor, prefillTimeFactor }];
    }),
  ),
};

export const COMPARED_SITES: readonly ComparedSite[] = [
  {
    name: "9 hosts, 33 targets",
    hosts: 9,
    targets: siteTargets(),
    figures: SITE_PROFILE,
    loadInfo: SMALL_FLEET_INFO,
    rateFactor: 1,
  },
  ...[79, 200].map((hosts) => ({
    name: `${hosts} hosts, 93 targets`,
    hosts,
    targets: siteTargets(LARGE_SITE),
    figures: LARGE_SITE_FIGURES,
    loadInfo: RELAYED_INFO,
    rateFactor: 2.8,
  })),
];
