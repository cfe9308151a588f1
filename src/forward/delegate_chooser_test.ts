import { expect, test } from "vitest";
import type { HostRecord } from "../ports/types.ts";
import { DelegateChooser } from "./delegate_chooser.ts";

const NONE = new Set<string>();

function hostsOf(domain: string, count: number): HostRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${domain}-${index}`,
    domain,
    ip: "10.0.0.1",
    port: 7_340,
    bornMs: 0,
  }));
}

function chooserAmong(hosts: HostRecord[], domainHostCount: number) {
  let count = 0;
  return new DelegateChooser({
    domain: "a",
    hosts: (service) => service === "s" ? hosts : [],
    domainHostCount: () => domainHostCount,
    random: () => (count++ * 0.618) % 1,
  });
}

/** Places requests that stay in progress; returns how many each domain got. */
function place(chooser: DelegateChooser, requests: number) {
  const counts: Record<string, number> = {};
  for (let i = 0; i < requests; i++) {
    const host = chooser.choose({
      service: "s",
      excluded: NONE,
      avoided: NONE,
    });
    if (host === undefined) throw new Error("no host chosen");
    chooser.begin(host);
    counts[host.domain] = (counts[host.domain] ?? 0) + 1;
  }
  return counts;
}

test("requests stay in the failure domain while half of it accepts them", () => {
  const hosts = [...hostsOf("a", 2), ...hostsOf("b", 4)];
  expect(place(chooserAmong(hosts, 4), 40)).toEqual({ a: 40 });
});

test("all hosts share the requests if most of the failure domain is cut off", () => {
  const hosts = [...hostsOf("a", 1), ...hostsOf("b", 4)];
  expect(place(chooserAmong(hosts, 4), 40)).toEqual({ a: 8, b: 32 });
});

test("the host with the fewest requests of this one is chosen, and again after they end", () => {
  const hosts = hostsOf("b", 2);
  const chooser = chooserAmong(hosts, 1);
  chooser.begin(hosts[0]);
  const choose = () =>
    chooser.choose({
      service: "s",
      excluded: NONE,
      avoided: NONE,
    })?.id;
  expect(choose()).toBe("b-1");
  chooser.begin(hosts[1]);
  chooser.begin(hosts[1]);
  expect(choose()).toBe("b-0");
});

test("no host is chosen that was tried, or that does not accept the service", () => {
  const chooser = chooserAmong(hostsOf("b", 1), 1);
  const tried = new Set(["b-0"]);
  expect(chooser.choose({ service: "s", excluded: tried, avoided: NONE }))
    .toBeUndefined();
  expect(chooser.choose({ service: "other", excluded: NONE, avoided: NONE }))
    .toBeUndefined();
});

test("a host whose target may have been at fault is chosen again if there is no other", () => {
  const avoided = new Set(["b-0"]);
  const among = (count: number) =>
    chooserAmong(hostsOf("b", count), 1)
      .choose({ service: "s", excluded: NONE, avoided })?.id;
  expect(among(2)).toBe("b-1");
  expect(among(1)).toBe("b-0");
});
