/**
 * A model server answers its streams without a length and without chunks, and
 * crashes in the middle of an event. No other copy of its layers is left, so the
 * host has to break the client's stream off. The client must see that.
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
import { Platform, ROUTES } from "../lib/platform.ts";

const EVENTS = 60;
const STREAMS = 6;
/** One of them crashes: `srv_crash` has a share of 0.17 on the site. */
const SERVERS = 6;
/** The crash comes when a stream has sent so many events. */
const CRASH_AFTER = 20;

const record = new CaseRecord("review/1/record.txt");
const platform = new Platform();
const fleet = new Fleet();

async function play(): Promise<number> {
  // All of these servers together hold one copy of the model.
  await platform.start(Array.from({ length: SERVERS }, (_, index) => ({
    id: `m${index}`,
    service: "escriba",
    zone: "nave-leon",
    kind: "l40s",
    events: EVENTS,
    eventGapMs: 20,
  })));
  for (const server of platform.servers) server.framing = "unframed";
  platform.configure([{ ...ROUTES.stream, resumable: true }]);
  const { storeAddress } = platform;
  const host = fleet.add({ name: "edge-1", zone: "nave-leon", storeAddress });
  host.start();
  if (!await fleet.waitUntilReady() || !await platform.waitUntilPlaced()) {
    record.add("the host did not become ready, or the model was not placed");
    return 2;
  }
  if (HAS_TROUBLE) {
    // All streams begin at the server that holds the first layers.
    for (const server of platform.servers) {
      server.crashAfterEvents = CRASH_AFTER;
    }
  }
  const pending: Promise<Answer>[] = [];
  for (let i = 0; i < STREAMS; i++) {
    pending.push(call({
      host,
      path: `/lohu930/${i}`,
      body: `prompt ${i}`,
      headers: {
        "jackdawshift-model": "m",
        "jackdawshift-token-usage": "760,200",
        "jackdawshift-prefix-hash": `5c1e07a2:40,91bd${i}:720`,
      },
    }));
    await sleep(10);
  }
  const answers = await Promise.all(pending);
  for (const server of platform.servers) {
    for (const { id, atMs } of server.runs) {
      record.add(`run ${id} at ${server.id} from ${Math.round(atMs)} ms`);
    }
  }
  return judge(answers);
}

/** MIXED, ORDER: an answer that ends early must not look complete. */
function judge(answers: readonly Answer[]): number {
  let broken = 0;
  for (const answer of answers) {
    const ids = eventIds(answer.body);
    const isWhole = ids.length === EVENTS &&
      ids.every((id, index) => id === index);
    const looksComplete = answer.status === 200 && answer.isComplete &&
      answer.body.endsWith("\n\n");
    if (looksComplete && !isWhole) broken++;
    record.add(
      `answer ${answer.id}: status ${answer.status}, ${ids.length} of ` +
        `${EVENTS} events, ${looksComplete ? "looks complete" : "broken off"}` +
        `${answer.error === undefined ? "" : ` (${answer.error})`}, ` +
        `framing ${
          answer.headers["transfer-encoding"] ?? "by the end of the channel"
        }, signed ${answer.headers["jackdawshift-server-signature"]}`,
    );
  }
  const served = answers.filter(({ status }) => status === 200).length;
  record.add(
    `${served} of ${answers.length} streams began; ${broken} ended early and ` +
      "look complete",
  );
  if (served === 0) return 2;
  return broken > 0 ? 1 : 0;
}

const exitCode = await play().catch((error) => {
  record.add(`failed to run: ${error}`);
  return 2;
});
await fleet.dispose();
platform.dispose();
process.exit(exitCode);
