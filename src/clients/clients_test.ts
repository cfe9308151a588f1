import { createServer, type IncomingHttpHeaders } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { Faults } from "../../standins/common/faults.ts";
import { RawTarget } from "../../standins/common/raw_target.ts";
import { HostList } from "../../standins/host_list/host_list.ts";
import { LogService } from "../../standins/log/log_service.ts";
import { PlainService } from "../../standins/service/plain_service.ts";
import { systemClock } from "../common/clock.ts";
import { HostListClient } from "./host_list_client.ts";
import { HttpClient } from "./http_client.ts";
import { LogClient } from "./log_client.ts";
import { ServiceClient } from "./service_client.ts";

let http: HttpClient;
const closers: (() => Promise<void>)[] = [];
beforeEach(() => {
  http = new HttpClient();
});
afterEach(async () => {
  http.dispose();
  for (const close of closers.splice(0)) await close();
});

const within = () => ({ deadlineMs: systemClock.nowMs() + 5_000 });

async function startLog(options = {}) {
  const faults = new Faults();
  const service = new LogService({ faults, ...options });
  closers.push(() => service.server.close());
  const baseUrl = await service.server.listen();
  return { faults, client: new LogClient({ baseUrl, http }) };
}

test("appended records are read back in order, also by a waiting reader", async () => {
  const { client } = await startLog({ retainRecords: 3 });
  const waiting = client.read("a/b", 0, { ...within(), waitMs: 4_000 });
  const entries = [{ id: "x", data: { n: 1 } }, { id: "y", data: null }];
  expect((await client.append("a/b", entries, within())).unwrap()).toBe(0);
  expect((await waiting).unwrap()).toMatchObject({ nextOffset: 2 });
  expect((await client.append("a/b", entries, within())).unwrap()).toBe(2);
  const page = (await client.read("a/b", 0, within())).unwrap();
  expect(page).toMatchObject({ firstOffset: 1, nextOffset: 4 });
  expect(page.records.map(({ id, offset }) => [id, offset])).toEqual([
    ["y", 1],
    ["x", 2],
    ["y", 3],
  ]);
});

test.each([
  ["of another place", [5, 6]],
  ["with a gap", [2, 4]],
])("a page %s is a bad answer", async (_name, offsets) => {
  const records = offsets.map((offset) => ({
    id: "x",
    data: 1,
    offset,
    atWallMs: 0,
  }));
  const target = new RawTarget();
  closers.push(() => target.close());
  const baseUrl = await target.listen();
  const page = JSON.stringify({ records, firstOffset: 0, nextOffset: 9 });
  const head = `HTTP/1.1 200 OK\r\ncontent-length: ${page.length}\r\n\r\n`;
  target.setScripts({ answer: head + page });
  const client = new LogClient({ baseUrl, http });
  expect((await client.read("s", 2, within())).unwrapErr().code)
    .toBe("bad-answer");
});

test("a log beyond its rate, or down, proves that nothing was appended", async () => {
  const wallMs = () => 0;
  const { client, faults } = await startLog({ appendsPerS: 1, wallMs });
  const entries = [{ id: "x", data: 1 }];
  await client.append("s", entries, within());
  const limited = (await client.append("s", entries, within())).unwrapErr();
  expect(limited).toMatchObject({ verdict: "not-run", code: "rate-limited" });
  expect(limited.retryAtWallMs).toBeGreaterThan(0);
  faults.apply({ action: "down" });
  expect((await client.append("s", entries, within())).unwrapErr())
    .toMatchObject({ verdict: "not-run", code: "log-unavailable" });
  faults.apply({ action: "up" });
  const page = (await client.read("s", 0, within())).unwrap();
  expect(page.nextOffset).toBe(1);
});

test("the list of hosts comes back as registered", async () => {
  const list = new HostList({ faults: new Faults() });
  closers.push(() => list.server.close());
  const baseUrl = await list.server.listen();
  const host = {
    name: "h1",
    url: "http://127.0.0.1:1",
    failureDomain: "d",
    region: "r",
    role: "target",
    state: "leaving",
  } as const;
  await http.exchange({
    method: "PUT",
    url: `${baseUrl}/hosts/h1`,
    body: JSON.stringify(host),
  }, within());
  const client = new HostListClient({ baseUrl, http });
  expect((await client.list(within())).unwrap()).toEqual([host]);
});

test("a service's answer comes back, and a leaving one did nothing", async () => {
  const faults = new Faults();
  const service = new PlainService({ faults });
  closers.push(() => service.server.close());
  const url = await service.server.listen();
  const client = new ServiceClient({ http });
  const request = {
    attemptId: "a",
    requestId: "r",
    method: "POST",
    path: "/entries?show=1",
    contentType: "application/json",
    body: Buffer.from("{}"),
    idempotencyKey: "k",
  };
  const answer = (await client.call(url, request, within())).unwrap();
  expect(JSON.parse(Buffer.from(answer.body).toString())).toMatchObject({
    key: "k",
    run: 1,
  });
  const read = { ...request, method: "GET", body: Buffer.alloc(0) };
  expect((await client.call(url, read, within())).isOk()).toBe(true);
  faults.apply({ action: "leave" });
  expect((await client.call(url, request, within())).unwrapErr())
    .toMatchObject({ verdict: "not-run", code: "shutting-down" });
  faults.apply({ action: "down" });
  expect((await client.call(url, request, within())).unwrapErr())
    .toMatchObject({ verdict: "not-run", code: "overloaded" });
  expect(service.executions.get("k")).toBe(2);
});

test("a service is told the request's id", async () => {
  const seen: IncomingHttpHeaders[] = [];
  const server = createServer((request, response) => {
    seen.push(request.headers);
    response.end("{}");
  });
  closers.push(() => new Promise((done) => server.close(() => done())));
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const request = {
    attemptId: "a-1",
    requestId: "r-1",
    method: "GET",
    path: "/",
    body: Buffer.alloc(0),
  };
  await new ServiceClient({ http }).call(url, request, within());
  expect(seen[0]).toMatchObject({
    "x-request-id": "r-1",
    "x-attempt-id": "a-1",
  });
});
