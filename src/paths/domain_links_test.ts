import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { DomainLinks } from "./domain_links.ts";

/** A path over targets whose first letter is their failure domain. */
function pathOf(...ids: string[]) {
  return ids.map((targetId, index) => ({
    targetId,
    address: "",
    from: index,
    to: index + 1,
  }));
}

const domainOf = (targetId: string) => targetId[0];

test("a hop between two domains occupies their link once per host, until its time has passed", async () => {
  const clock = new ManualClock();
  const links = new DomainLinks({ clock, hosts: () => 4 });
  const stages = pathOf("a1", "a2", "b1", "a3");
  links.add({ stages, current: [], domainOf, transferMs: 10 });
  // One hop each way, counted for four hosts.
  expect(links.waitMs("b", "a")).toBe(2 * 10 * 4);
  expect(links.waitMs("a", "c")).toBe(0);
  await clock.advance(30);
  expect(links.waitMs("a", "b")).toBe(50);
});

test("hops that the request already used add no transfer", () => {
  const links = new DomainLinks({ clock: new ManualClock(), hosts: () => 1 });
  const stages = pathOf("a1", "b1", "a2");
  const current = pathOf("a1", "b1", "c1");
  links.add({ stages, current, domainOf, transferMs: 10 });
  // Only the hop back from b is new.
  expect(links.waitMs("a", "b")).toBe(10);
});
