/**
 * A fleet of claim services on one clock, one log and one network.
 *
 * @module
 */

import { seededRandom } from "../src/common/random.ts";
import type { IClaimService } from "../src/requests/services.ts";
import { ClaimService } from "../src/requests/claim_service.ts";
import { ManualClock } from "./manual_clock.ts";
import { type TestHost, TestNetwork } from "./requests_host.ts";
import { TestLog } from "./requests_log.ts";

/** What a test may change of a claim fleet. */
export interface ClaimFleetOptions {
  readonly seed: number;
  readonly hostCount: number;
  readonly lostAnswers?: number;
}

/** One host of the fleet with its claims. */
export interface ClaimHost {
  readonly host: TestHost;
  readonly claims: IClaimService;
}

/** Builds the fleet. */
export function claimFleet(options: ClaimFleetOptions) {
  const clock = new ManualClock();
  const random = seededRandom(options.seed);
  const { lostAnswers } = options;
  const log = new TestLog({ clock, random, lostAnswers });
  const network = new TestNetwork({ clock, random, lostAnswers });
  let nextId = 0;
  const newId = () => `id-${nextId++}`;
  const hosts: ClaimHost[] = [];
  for (let at = 0; at < options.hostCount; at += 1) {
    const host = network.add(`host-${at}`);
    const claims = new ClaimService({
      clock: host.clock(clock),
      log: log.client(host),
      membership: network.membership(host),
      transport: network.transport(host),
      newId,
    });
    hosts.push({ host, claims });
  }
  return { clock, random, log, network, hosts, newId };
}
