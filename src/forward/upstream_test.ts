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
