import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { Emitter } from "../common/emitter.ts";
import { rendezvousPick } from "../common/hash.ts";
import { seededRandom } from "../common/random.ts";
import { LimitOwners } from "./limit_owners.ts";
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
  return { clock, change, homes: new LimitOwners({ membership, clock }) };
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
      expect(homes.ownerOf(partition)?.name).toBe(expected);
    }
  }
});

test("an avoided home is passed over, but nobody takes its place for good", async () => {
  const { clock, homes } = makeHomes();
  const partition = [...Array(16).keys()]
    .find((index) => homes.ownerOf(index)?.name !== "a") ?? 0;
  const home = homes.ownerOf(partition) as Member;
  homes.avoid(home);
  expect(homes.ownerOf(partition)?.name).not.toBe(home.name);
  await clock.advance(2_000);
  expect(homes.ownedForMs(partition)).toBe(0);
  await clock.advance(1_500);
  expect(homes.ownerOf(partition)?.name).toBe(home.name);
});
