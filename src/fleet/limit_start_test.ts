import { expect, test } from "vitest";
import { makeConfig } from "../../test/fleet_limits.ts";
import { ManualClock } from "../../test/manual_clock.ts";
import { toDisposable } from "../common/lifecycle.ts";
import { notRun } from "../common/verdict.ts";
import { LimitService } from "./limit_service.ts";
import type { Member } from "./services.ts";

const HOST_COUNT = 3;
const CUSTOMER = "customer-a";

test("a fleet that has just started admits each host's first requests", () => {
  const hosts: Member[] = Array.from(
    { length: HOST_COUNT },
    (_unused, index) => ({
      name: `host-${index}`,
      url: `http://host-${index}`,
      failureDomain: "nave-leon",
      region: "default",
      state: "alive",
    }),
  );
  const services = hosts.map((self) =>
    new LimitService({
      config: makeConfig({
        [CUSTOMER]: { requestsPerS: 100, concurrentRequests: 100 },
      }),
      membership: {
        self,
        members: () => hosts,
        onChange: () => toDisposable(() => {}),
        leave: () => Promise.resolve(),
      },
      transport: {
        call: () => Promise.resolve(notRun("connection-failed", "not started")),
        handle: () => toDisposable(() => {}),
      },
      clock: new AdvancingClock(),
      random: () => 0.5,
    })
  );
  for (const service of services) {
    expect(service.admit(CUSTOMER).isOk()).toBe(true);
  }
});

/** Moves on a little at each reading, as a real clock does. */
class AdvancingClock extends ManualClock {
  #advancedMs = 0;

  override nowMs(): number {
    this.#advancedMs += 0.001;
    return super.nowMs() + this.#advancedMs;
  }
}
