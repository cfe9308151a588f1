/**
 * A server's answer has no length and ends with its channel. Some answers of one
 * server are lost: the channel is reset when half of the body has been sent. The
 * host takes that half for the whole body, and passes it on as a success.
 *
 * @module
 */

import process from "node:process";
import { type Answer, call, CaseRecord, HAS_TROUBLE } from "../lib/client.ts";
import { Fleet, sleep } from "../lib/fleet.ts";
import { DESK, Platform, ROUTES } from "../lib/platform.ts";
import { plainBody } from "../lib/server.ts";

const BATCHES = 80;
/** Clients come in clumps. */
const CALLS_PER_BATCH = 24;
const BATCH_INTERVAL_MS = 300;
/** Half of the servers lose answers: `answer_lost` has a share of up to 0.5. */
const SERVERS = 4;
/** They lose one of 20: `x` is up to 0.05. */
const LOST_EVERY = 20;

const record = new CaseRecord("review/2/record.txt");
const platform = new Platform();
const fleet = new Fleet();

async function play(): Promise<number> {
  await platform.start(Array.from({ length: SERVERS }, (_, index) => ({
    id: `p${index}`,
    service: DESK,
    zone: "nave-leon",
    workMs: 20,
  })));
  for (const server of platform.servers) server.framing = "unframed";
  const faulty = platform.servers.slice(0, SERVERS / 2);
  if (HAS_TROUBLE) {
    for (const server of faulty) server.resetEvery = LOST_EVERY;
  }
  platform.configure([ROUTES.safe, ROUTES.unsafe]);
  const { storeAddress } = platform;
  for (const name of ["edge-1", "edge-2"]) {
    fleet.add({ name, zone: "nave-leon", storeAddress }).start();
  }
  if (!await fleet.waitUntilReady()) {
    record.add("the hosts did not become ready");
    return 2;
  }
  await sleep(2_000);
  const pending: Promise<Answer>[] = [];
  for (let i = 0; i < BATCHES * CALLS_PER_BATCH; i++) {
    if (i % CALLS_PER_BATCH === 0) await sleep(BATCH_INTERVAL_MS);
    const host = fleet.hosts[i % fleet.hosts.length];
    const isSafe = i % 8 === 0;
    pending.push(call({
      host,
      method: isSafe ? "GET" : "POST",
      path: `/${isSafe ? "acks" : "puxa403"}/${i}`,
      ...(isSafe ? {} : { body: `slip ${i}` }),
      deadlineMs: 1_500,
    }));
  }
  return judge(await Promise.all(pending));
}

/** MIXED: a success whose body isn't the server's whole body. */
function judge(answers: readonly Answer[]): number {
  const resets = platform.servers.flatMap((server) => server.resets);
  let halved = 0;
  for (const { id, status, headers, body, isComplete, error } of answers) {
    const signature = String(headers["jackdawshift-server-signature"]);
    const server = platform.servers.find((one) =>
      signature === `signed.${one.id}.${id}`
    );
    const isSuccess = status === 200 && isComplete;
    const isWhole = server !== undefined && body === plainBody(server.id, id);
    const isHalved = isSuccess && !isWhole;
    if (isHalved) halved++;
    if (!isHalved && !resets.includes(id) && isSuccess) continue;
    record.add(
      `${id}: status ${status}, ${body.length} bytes, signed ${signature}` +
        `${resets.includes(id) ? ", was reset by its server" : ""}` +
        `${error === undefined ? "" : `, ${error}`}` +
        `${isHalved ? ": a success without its whole body" : ""}`,
    );
  }
  for (const { id, runs } of platform.servers) {
    record.add(`${runs.length} requests run by ${id}`);
  }
  const served = answers.filter(({ status }) => status === 200).length;
  record.add(
    `${answers.length} calls sent, ${served} answered with success, ` +
      `${resets.length} answers reset midway, ${halved} halves passed on as whole`,
  );
  if (served === 0 || (HAS_TROUBLE && resets.length === 0)) return 2;
  return halved > 0 ? 1 : 0;
}

const exitCode = await play().catch((error) => {
  record.add(`failed to run: ${error}`);
  return 2;
});
await fleet.dispose();
platform.dispose();
process.exit(exitCode);
