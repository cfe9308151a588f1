import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { Emitter } from "../common/emitter.ts";
import { callHttp } from "../common/http_call.ts";
import { KeepAliveAgent } from "../common/keep_alive_agent.ts";
import { silentLog } from "../common/logging.ts";
import type { KeyedBatch, KeyedFollower } from "../feeds/keyed_follower.ts";
import { LogResponder } from "./log_responder.ts";
import { encodeLogQuery, type LogAnswer } from "./log_messages.ts";
import { LogTransfer } from "./log_transfer.ts";

const LARGE_VALUE = Buffer.from("route ".repeat(20_000));
const QUERY = { log: "config", fromOffset: 1, mayWait: false, era: undefined };

const cleanUps: (() => void)[] = [];
afterEach(() => {
  for (const cleanUp of cleanUps.splice(0)) cleanUp();
});

/** A host that holds a large record, with its server for other hosts. */
async function startHost() {
  const clock = new ManualClock();
  const onBatch = new Emitter<KeyedBatch>();
  const follower = {
    onBatch: onBatch.event,
    onWatermark: new Emitter<void>().event,
    watermarkMs: clock.nowMs() - 300,
    sinceRecoveryMs: Infinity,
  } as unknown as KeyedFollower;
  const responder = new LogResponder({ clock });
  responder.add("config", follower);
  const apply = (nextOffset: number, value: Buffer, isSnapshot: boolean) =>
    onBatch.fire({
      isSnapshot,
      isComplete: true,
      nextOffset,
      records: [{ key: "config", value }],
    });
  apply(1, Buffer.from("small"), true);
  apply(2, LARGE_VALUE, false);
  const agent = new KeepAliveAgent();
  const transfer = new LogTransfer({
    responder,
    agent,
    log: silentLog,
    isDelegated: (headers) => headers["delegated"] !== undefined,
  });
  const server = createServer((request, response) => {
    if (!transfer.tryServe(request, response)) response.writeHead(418).end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  cleanUps.push(() => {
    agent.destroy();
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  return { responder, transfer, endpoint: { ip: "127.0.0.1", port } };
}

test("a record too large for a datagram reaches a host that asks for it, with its age", async () => {
  const { transfer, endpoint, responder } = await startHost();
  const answers: LogAnswer[] = [];
  responder.handle({ ...QUERY, id: 7, canFetch: true }, (one) => {
    answers.push(one);
  });
  expect(answers).toEqual([{ id: 7, read: undefined, isLarge: true }]);
  const read = await transfer.fetch(endpoint, QUERY, 5_000);
  expect(read?.records[0].value?.equals(LARGE_VALUE)).toBe(true);
  expect(read).toMatchObject({ nextOffset: 2, watermarkDeltaMs: -300 });
});

test("a host of an earlier version is told to read a large record from the store", async () => {
  const { responder } = await startHost();
  const answers: LogAnswer[] = [];
  responder.handle({ ...QUERY, id: 7 }, (one) => answers.push(one));
  expect(answers).toEqual([{ id: 7, read: undefined }]);
});

test.each([
  ["an offset that the host does not hold", { ...QUERY, fromOffset: 9 }],
  ["an unknown log", { ...QUERY, log: "other" }],
  ["another era", { ...QUERY, era: 4 }],
])("a query for %s gets no records", async (_name, query) => {
  const { transfer, endpoint } = await startHost();
  expect(await transfer.fetch(endpoint, query, 5_000)).toBeUndefined();
});

test("a malformed query is answered with 400", async () => {
  const { endpoint } = await startHost();
  const { status } = await callHttp({
    endpoint,
    method: "GET",
    path: "/log-records",
    headers: { "log-query": "{" },
    timeoutMs: 5_000,
    agent: false,
  });
  expect(status).toBe(400);
});

test("an answer that is no gzip, or is cut, counts as none", async () => {
  const { transfer } = await startHost();
  const server = createServer((_request, response) => {
    response.writeHead(200, { "log-watermark-delta-ms": "0" }).end("{");
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  cleanUps.push(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  const endpoint = { ip: "127.0.0.1", port };
  expect(await transfer.fetch(endpoint, QUERY, 5_000)).toBeUndefined();
});

test("a caller's request that another host delegates never gets records", async () => {
  const { endpoint } = await startHost();
  const { status } = await callHttp({
    endpoint,
    method: "GET",
    path: "/log-records",
    headers: {
      "log-query": encodeLogQuery({ ...QUERY, id: 0 }).toString(),
      delegated: "1",
    },
    timeoutMs: 5_000,
    agent: false,
  });
  expect(status).toBe(418);
});
