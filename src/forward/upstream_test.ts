import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect, test, vi } from "vitest";
import { KeepAliveAgent } from "../common/keep_alive_agent.ts";
import { sendUpstream } from "./upstream.ts";

test("each new connection of a request is told, a reused one is not", async () => {
  const server = createServer((_request, response) => response.end("x"));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const agent = new KeepAliveAgent();
  let connections = 0;
  const send = async (mayReuse: boolean) => {
    const outcome = await sendUpstream({
      endpoint: { ip: "127.0.0.1", port },
      method: "GET",
      path: "/",
      headers: ["Host", "target"],
      body: undefined,
      mayReuse,
      signal: new AbortController().signal,
      agent,
      onNewConnection: () => connections++,
    });
    if (outcome.kind === "failed") throw new Error(outcome.reason);
    outcome.answer.resume();
    await new Promise((resolve) => outcome.answer.on("close", resolve));
    if (mayReuse) {
      await vi.waitUntil(() => Object.keys(agent.freeSockets).length > 0);
    }
  };
  await send(true);
  await send(true);
  expect(connections).toBe(1);
  await send(false);
  expect(connections).toBe(2);
  agent.destroy();
  server.close();
});

test.each([true, false])(
  "a request whose connection fails at once was not sent (kept connections: %s)",
  async (mayReuse) => {
    const agent = new KeepAliveAgent();
    const outcome = await sendUpstream({
      endpoint: { ip: "127.0.0.1", port: 9 },
      method: "GET",
      path: "/",
      headers: ["Host", "target"],
      body: undefined,
      mayReuse,
      signal: new AbortController().signal,
      agent,
      // No address of this machine, so that the system refuses at once.
      localAddress: "192.0.2.1",
    });
    expect(outcome).toMatchObject({ kind: "failed", verdict: "not-run" });
    agent.destroy();
  },
);

// Guards against listeners that pile up on a kept connection.
test("responses without a body leave no listeners on their connection", async () => {
  const server = createServer((_request, response) => {
    response.writeHead(204).end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const agent = new KeepAliveAgent();
  const counts: number[] = [];
  for (let i = 0; i < 4; i++) {
    const outcome = await sendUpstream({
      endpoint: { ip: "127.0.0.1", port },
      method: "GET",
      path: "/",
      headers: ["Host", "target"],
      body: undefined,
      mayReuse: true,
      signal: new AbortController().signal,
      agent,
    });
    if (outcome.kind === "failed") throw new Error(outcome.reason);
    const { answer } = outcome;
    const { socket } = answer;
    answer.resume();
    await new Promise((resolve) => answer.on("close", resolve));
    await vi.waitUntil(() => Object.keys(agent.freeSockets).length > 0);
    counts.push(socket.listenerCount("end"));
  }
  expect(new Set(counts).size).toBe(1);
  agent.destroy();
  server.close();
});

test("a request whose connection fails in this process has not run", async () => {
  const outcome = await sendUpstream({
    endpoint: { ip: "127.0.0.1", port: 1 },
    method: "POST",
    path: "/",
    headers: ["Host", "target"],
    body: Buffer.from("x"),
    mayReuse: false,
    signal: new AbortController().signal,
    agent: new KeepAliveAgent(),
    // No interface has this address, so that the socket cannot be bound.
    localAddress: "192.0.2.1",
  });
  expect(outcome).toMatchObject({ kind: "failed", verdict: "not-run" });
});
