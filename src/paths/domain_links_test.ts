import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { DomainLinks } from "./domain_links.ts";

/** A path over targets named for their failure domain. */
function pathOf(...ids: string[]) {
  return ids.map((targetId, index) => ({
    targetId,
    address: "",
    from: index,
    to: index + 1,
  }));
}

const domainOf = (targetId: string) => targetId[0];

test("each step between two domains counts once a host, either way, and is worked off", async () => {
  const clock = new ManualClock();
  const pipes = new DomainLinks({ clock, hosts: () => 4 });
  const stages = pathOf("a1", "a2", "b1", "a3");
  pipes.add({ stages, current: [], domainOf, transferMs: 10 });
  // From a to b and back, as much of it by each of four hosts.
  expect(pipes.waitMs("b", "a")).toBe(2 * 10 * 4);
  expect(pipes.waitMs("a", "c")).toBe(0);
  await clock.advance(30);
  expect(pipes.waitMs("a", "b")).toBe(50);
});

test("steps that a request took before carry nothing more", () => {
  const pipes = new DomainLinks({ clock: new ManualClock(), hosts: () => 1 });
  const stages = pathOf("a1", "b1", "a2");
  const current = pathOf("a1", "b1", "c1");
  pipes.add({ stages, current, domainOf, transferMs: 10 });
  // Only the way back from b is new.
  expect(pipes.waitMs("a", "b")).toBe(10);
});
