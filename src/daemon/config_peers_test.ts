import { expect, test } from "vitest";
import { Emitter } from "../common/emitter.ts";
import type { Member } from "../fleet/services.ts";
import type { ListedHost } from "../clients/types.ts";
import { ConfigPeers } from "./config_peers.ts";

const PLACE = { failureDomain: "nave-leon", region: "default" };

test("listed hosts count even if they are not members, hosts that left do not count", () => {
  const lists = new Emitter<readonly ListedHost[]>();
  const changes = new Emitter<readonly Member[]>();
  let members: Member[] = [member("a", "alive"), member("b", "alive")];
  const peers = new ConfigPeers({
    membership: {
      self: member("a", "alive"),
      members: () => members,
      onChange: changes.event,
      leave: () => Promise.resolve(),
    },
    hostList: { onList: lists.event },
  });
  expect(peers.current).toBeUndefined();
  lists.fire(["a", "b", "c"].map(listed));
  const joined = peers.current;
  expect(names(peers)).toEqual(["b", "c"]);
  changes.fire(members);
  expect(peers.current).toBe(joined);

  members = [
    member("a", "alive"),
    member("b", "leaving"),
    member("d", "alive"),
  ];
  changes.fire(members);
  expect(names(peers)).toEqual(["c", "d"]);
  members = [member("a", "alive"), member("d", "alive")];
  lists.fire(["a", "b", "c"].map(listed));
  expect(names(peers)).toEqual(["c", "d"]);
});

function names(peers: ConfigPeers): string[] | undefined {
  return peers.current?.map(({ name }) => name);
}

function member(name: string, state: Member["state"]): Member {
  return { name, url: `http://${name}`, ...PLACE, state };
}

function listed(name: string): ListedHost {
  return {
    name,
    url: `http://${name}`,
    ...PLACE,
    role: "entry",
    state: "live",
  };
}
