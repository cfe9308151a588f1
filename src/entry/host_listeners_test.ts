import { type IncomingMessage, type Server } from "node:http";
import { afterEach, expect, test } from "vitest";
import { hostIp } from "../../standins/loopback_address.ts";
import { silentLog } from "../common/logging.ts";
import type { HostSettings } from "../ports/types.ts";
import { HostListeners, type HostListenersOptions } from "./host_listeners.ts";

const IP = hostIp(70);
const ANY_PORT = { ip: IP, port: 0 };

let listeners: HostListeners | undefined;

afterEach(() => listeners?.dispose());

async function open(options: Partial<HostListenersOptions>) {
  const events: string[] = [];
  const note = (event: string): void => void events.push(event);
  listeners = new HostListeners({
    settings: {
      ip: IP,
      frontend: ANY_PORT,
      readiness: ANY_PORT,
      metrics: ANY_PORT,
    } as HostSettings,
    log: { ...silentLog, warn: note, error: note },
    onRequest: () => {},
    onDelegated: () => {},
    isReady: () => true,
    renderMetrics: () => "",
    ...options,
  });
  await listeners.openDelegation(0);
  for (const port of ["frontend", "readiness", "metrics"] as const) {
    await listeners.open(port);
  }
  return { ports: listeners.ports, events };
}

async function statusOf(port: number): Promise<number> {
  const signal = AbortSignal.timeout(2_000);
  return (await fetch(`http://${IP}:${port}/`, { signal })).status;
}

function fail(): never {
  throw new Error("a defect");
}

test.each<[keyof HostListeners["ports"], Partial<HostListenersOptions>]>([
  ["frontend", { onRequest: fail }],
  ["frontend", { onRequest: () => Promise.reject(new Error("a defect")) }],
  ["readiness", { isReady: fail }],
  ["metrics", { renderMetrics: fail }],
])(
  "a request whose listener fails is answered at the %s port",
  async (name, failing) => {
    const { ports, events } = await open(failing);
    expect(await statusOf(ports[name])).toBe(500);
    expect(events).toEqual(["request listener failed"]);
  },
);

test("errors of a listening server are logged at a bounded rate and harm no request", async () => {
  const { ports, events } = await open({
    onRequest: (request: IncomingMessage, response) => {
      const { server } = request.socket as unknown as { server: Server };
      for (let i = 0; i < 3; i++) server.emit("error", new Error("accept"));
      response.end();
    },
  });
  expect(await statusOf(ports.frontend)).toBe(200);
  expect(events).toEqual(["listening socket error"]);
});
