import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { Emitter } from "../common/emitter.ts";
import { rendezvousPick } from "../common/hash.ts";
import { seededRandom } from "../common/random.ts";
import { LimitHomes } from "./limit_homes.ts";
import type { IMembership, Member } from "./services.ts";

function makeMember(name: string): Member {
  const place = { failureDomain: "d", region: "r" };
  return { name, url: `http://${name}`, ...place, state: "alive" };
}

function makeHomes() {
  const clock = new ManualClock();
  const changes = new Emitter<readonly Member[]>();
  let members: Member[] = ["a", "b", "c"].map(makeMember);
  const membership: IMembership = {
    self: makeMember("a"),
    members: () => members,
    onChange: changes.event,
    leave: () => Promise.resolve(),
  };
  const change = (next: Member[]) => {
    members = next;
    changes.fire(next);
  };
  return { clock, change, homes: new LimitHomes({ membership, clock }) };
}

test("homes kept over changes are those that hashing gives afresh", () => {
  const { change, homes } = makeHomes();
  const random = seededRandom(3);
  let names = ["a", "b", "c"];
  for (let step = 0; step < 60; step += 1) {
    names = names.filter((name) => name === "a" || random() < 0.8);
    names.push(`host-${step}`);
    change(names.map(makeMember));
    for (let partition = 0; partition < 16; partition += 1) {
      const expected = rendezvousPick(`limits/${partition}`, names);
      expect(homes.homeOf(partition)?.name).toBe(expected);
    }
  }
});

test("an avoided home is passed over, but nobody takes its place for good", async () => {
  const { clock, homes } = makeHomes();
  const partition = [...Array(16).keys()]
    .find((index) => homes.homeOf(index)?.name !== "a") ?? 0;
  const home = homes.homeOf(partition) as Member;
  homes.avoid(home);
  expect(homes.homeOf(partition)?.name).not.toBe(home.name);
  await clock.advance(2_000);
  expect(homes.homeForMs(partition)).toBe(0);
  await clock.advance(1_500);
  expect(homes.homeOf(partition)?.name).toBe(home.name);
});
