import { expect, test } from "vitest";
import { EMPTY_STATE, listen } from "../../test/fake_link.ts";
import { encodePeerState } from "./peer_state.ts";

const SILENCE_MS = 2_000;
const hostOf = (id: string, bornMs: number) => ({
  id,
  domain: "a",
  ip: "10.0.0.1",
  port: 7_340,
  bornMs,
});

function openLink() {
  const { link, clock, receive } = listen(hostOf("self", 1));
  const hear = (bornMs: number, sequenceNumber: number): void => {
    const state = { ...EMPTY_STATE, sequenceNumber };
    receive(encodePeerState(hostOf("other", bornMs), state));
  };
  const liveBornMs = () => link.live().map(({ host }) => host.bornMs);
  return { link, clock, hear, liveBornMs };
}

// Its clock had gone back before its start, and the others ignored it for a minute.
test("a process with an earlier start replaces one that is no longer heard", async () => {
  const { clock, hear, liveBornMs } = openLink();
  hear(9_000, 40);
  hear(5_000, 1);
  expect(liveBornMs()).toEqual([9_000]);
  await clock.advance(SILENCE_MS);
  hear(5_000, 2);
  expect(liveBornMs()).toEqual([5_000]);
});

// Another writer's record of a live host kept it out for as long as it stood there.
test("a record with a later start does not keep out a host that is heard", async () => {
  const { link, clock, hear, liveBornMs } = openLink();
  link.addHosts([hostOf("other", 9e15)]);
  hear(5_000, 1);
  link.addHosts([hostOf("other", 9e15)]);
  expect(liveBornMs()).toEqual([5_000]);
  await clock.advance(SILENCE_MS);
  link.addHosts([hostOf("other", 6_000)]);
  expect(link.known().map(({ bornMs }) => bornMs)).toEqual([6_000]);
});
