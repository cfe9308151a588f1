import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Ok } from "ts-results-es";
import { afterEach, describe, expect, test } from "vitest";
import { systemClock } from "../common/clock.ts";
import { PEER_NAME_HEADER } from "./peer_post.ts";
import { PeerTransport } from "./peer_transport.ts";

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

async function listen(server: Server): Promise<string> {
  servers.push(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function serve(transport: PeerTransport): Promise<string> {
  return listen(createServer(async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk);
    if (request.headers.authorization !== "Bearer s3") {
      return response.writeHead(401).end();
    }
    const from = String(request.headers[PEER_NAME_HEADER]);
    const body = JSON.parse(Buffer.concat(chunks).toString());
    response.end(JSON.stringify(await transport.receive(body, from)));
  }));
}

function makeTransport(extra: { secret?: string; maxIncoming?: number } = {}) {
  return new PeerTransport({ selfName: "host-a", secret: "s3", ...extra });
}

const deadlineIn = (waitMs = 2_000) => ({
  deadlineMs: systemClock.nowMs() + waitMs,
});

test("a call passes the caller's name to its handler and returns the result", async () => {
  const remote = makeTransport();
  remote.handle("echo", (parameters, from) => ({ parameters, from }));
  const url = await serve(remote);
  const request = { method: "echo", parameters: { n: 1 } };
  const outcome = await makeTransport().call(url, request, deadlineIn());
  expect(outcome).toEqual(new Ok({ parameters: { n: 1 }, from: "host-a" }));
});

describe("verdicts", () => {
  const cases = [
    ["no listener", "not-run", "connection-failed"],
    ["wrong secret", "not-run", "unauthorized"],
    ["unknown method", "not-run", "bad-request"],
    ["inherited name as method", "not-run", "bad-request"],
    ["full", "not-run", "overloaded"],
    ["handler throws", "may-have-run", "internal"],
    ["closed before the response", "may-have-run", "connection-failed"],
    ["no response in time", "may-have-run", "deadline-exceeded"],
    ["deadline passed", "not-run", "deadline-exceeded"],
  ] as const;
  test.each(cases)("%s gives %s %s", async (kind, verdict, code) => {
    const remote = makeTransport({ maxIncoming: kind === "full" ? 0 : 9 });
    remote.handle("work", () => {
      if (kind === "handler throws") throw new Error("broken");
      if (kind === "no response in time") return new Promise(() => {});
    });
    const url = kind === "no listener"
      ? "http://127.0.0.1:1"
      : kind === "closed before the response"
      ? await listen(createServer((request) => request.socket.destroy()))
      : await serve(remote);
    const local = makeTransport({
      secret: kind === "wrong secret" ? "x" : "s3",
    });
    const method = kind === "unknown method"
      ? "none"
      : kind === "inherited name as method"
      ? "constructor"
      : "work";
    const options = kind === "deadline passed"
      ? deadlineIn(-1)
      : deadlineIn(kind === "no response in time" ? 100 : 2_000);
    const outcome = await local.call(url, { method, parameters: {} }, options);
    expect(outcome.isErr() && outcome.error).toMatchObject({ verdict, code });
  });
});

test("a call that arrives after its deadline is not handled", async () => {
  const remote = makeTransport();
  let handledCount = 0;
  remote.handle("work", () => handledCount += 1);
  const answer = await remote.receive({
    jsonrpc: "2.0",
    id: 1,
    method: "work",
    params: { deadlineWallMs: Date.now() - 1, parameters: {} },
  }, "host-b");
  expect(answer).toMatchObject({ error: { code: -32002 } });
  expect(handledCount).toBe(0);
});

test("calls above the bound for one peer are rejected at once", async () => {
  let release = () => {};
  const held = new Promise<void>((resolve) => release = resolve);
  const local = new PeerTransport({
    selfName: "host-a",
    secret: "s3",
    maxOutgoingPerPeer: 1,
    post: async () => {
      await held;
      return new Ok({ jsonrpc: "2.0", id: 1, result: "done" });
    },
  });
  const request = { method: "work", parameters: {} };
  const first = local.call("http://b", request, deadlineIn());
  const second = await local.call("http://b", request, deadlineIn());
  expect(second.isErr() && second.error.code).toBe("overloaded");
  release();
  expect((await first).unwrap()).toBe("done");
});
