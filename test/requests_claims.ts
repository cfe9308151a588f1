/**
 * A fleet of claim services on one clock, one log and one network.
 *
 * @module
 */

import { seededRandom } from "../src/common/random.ts";
import type { IClaimService } from "../src/requests/services.ts";
import { ClaimService } from "../src/requests/claim_service.ts";
import type { ClaimPolicy } from "../src/requests/claim_router.ts";
import { ManualClock } from "./manual_clock.ts";
import { type TestHost, TestNetwork } from "./requests_host.ts";
import { TestLog } from "./requests_log.ts";

/** What a test may change of a claim fleet. */
export interface ClaimFleetOptions {
  readonly seed: number;
  readonly hostCount: number;
  readonly lostAnswers?: number;
  readonly policy?: Partial<ClaimPolicy>;
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
  let partitionOf = (_at: number) => 0;
  /** Cuts the fleet into sides, each of which takes itself for the whole. */
  function split(partition: (at: number) => number): void {
    partitionOf = partition;
    for (const [at, { host }] of hosts.entries()) {
      for (const [other, { host: peer }] of hosts.entries()) {
        if (partition(at) !== partition(other)) {
          network.cut(host.member.name, peer.member.name);
        }
      }
    }
  }
  for (let at = 0; at < options.hostCount; at += 1) {
    const host = network.add(`host-${at}`);
    const claims = new ClaimService({
      clock: host.clock(clock),
      log: log.client(host),
      membership: network.membership(
        host,
        () =>
          hosts.filter((_, other) => partitionOf(other) === partitionOf(at))
            .map((other) => other.host.member),
      ),
      transport: network.transport(host),
      newId,
      random,
      policy: options.policy,
    });
    hosts.push({ host, claims });
  }
  return { clock, random, log, network, hosts, newId, split };
}
