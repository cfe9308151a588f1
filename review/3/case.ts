/**
 * A server hands out wrong bytes in the middle of a stream. The host notices,
 * drops the piece before them too, lets pieces pass that it has read already, and
 * resumes the stream after those. The client gets a stream that ends as complete
 * and lacks a piece.
 *
 * @module
 */

import process from "node:process";
import {
  type Answer,
  call,
  CaseRecord,
  eventIds,
  HAS_TROUBLE,
} from "../lib/client.ts";
import { Fleet, sleep } from "../lib/fleet.ts";
import { MODEL, Platform, ROUTES } from "../lib/platform.ts";

const EVENTS = 24;
const STREAMS = 600;
const STREAM_INTERVAL_MS = 20;
/** Together they hold two copies of the model. */
const SERVERS = 12;
/** `garble` has a share of up to 0.6 and an `x` of up to 0.03 on the site. */
const GARBLED_EVERY = 40;

const record = new CaseRecord("review/3/record.txt");
const platform = new Platform();
const fleet = new Fleet();

async function play(): Promise<number> {
  await platform.start(Array.from({ length: SERVERS }, (_, index) => ({
    id: `m${index}`,
    service: MODEL,
    zone: "nave-leon",
    kind: "l40s",
    events: EVENTS,
    eventGapMs: 10,
  })));
  platform.configure([{ ...ROUTES.stream, resumable: true }]);
  const { storeAddress } = platform;
  for (const name of ["edge-1", "edge-2"]) {
    fleet.add({ name, zone: "nave-leon", storeAddress }).start();
  }
  if (!await fleet.waitUntilReady() || !await platform.waitUntilPlaced()) {
    record.add("the hosts did not become ready, or the model was not placed");
    return 2;
  }
  const firsts = platform.servers.filter(({ span }) => span?.from === 0);
  record.add(`${firsts.map(({ id }) => id).join(", ")} hold the first layers`);
  if (HAS_TROUBLE) {
    for (const server of firsts) server.garbleEvery = GARBLED_EVERY;
  }
  const pending: Promise<Answer>[] = [];
  for (let i = 0; i < STREAMS; i++) {
    pending.push(call({
      host: fleet.hosts[i % fleet.hosts.length],
      path: `/lohu930/${i}`,
      body: `prompt ${i}`,
      headers: {
        "jackdawshift-model": "m",
        "jackdawshift-token-usage": "760,72",
        "jackdawshift-prefix-hash": `5c1e07a2:40,91bd${i}:720`,
      },
    }));
    await sleep(STREAM_INTERVAL_MS);
  }
  return judge(await Promise.all(pending));
}

/** ORDER: a piece is missing, comes twice, or is another stream's. */
function judge(answers: readonly Answer[]): number {
  const runs = platform.servers.flatMap((server) => server.runs);
  const garbled = new Set(platform.servers.flatMap((one) => one.garbled));
  let broken = 0;
  let endedWell = 0;
  for (const { id, status, body, isComplete } of answers) {
    const ids = eventIds(body);
    const isInOrder = ids.every((eventId, index) => eventId === index);
    const isBroken = status === 200 && !isInOrder;
    if (isBroken) broken++;
    if (isBroken && isComplete) endedWell++;
    if (!isBroken && !garbled.has(id)) continue;
    const places = runs.filter((run) => run.id === id).map((run) =>
      `${run.server} after event ${run.lastEventId ?? "none"}`
    );
    record.add(
      `${id}: status ${status}, run by ${places.join(" and ")}, ` +
        `${isComplete ? "complete" : "broken off"}, events ${ids.join(" ")}` +
        `${isBroken ? ": a piece is missing or comes twice" : ""}`,
    );
  }
  const served = answers.filter(({ status }) => status === 200).length;
  record.add(
    `${served} of ${answers.length} streams served, ${garbled.size} with ` +
      `wrong bytes, ${broken} out of order, ${endedWell} of them complete`,
  );
  if (served === 0 || (HAS_TROUBLE && garbled.size === 0)) return 2;
  return broken > 0 ? 1 : 0;
}

const exitCode = await play().catch((error) => {
  record.add(`failed to run: ${error}`);
  return 2;
});
await fleet.dispose();
platform.dispose();
process.exit(exitCode);
