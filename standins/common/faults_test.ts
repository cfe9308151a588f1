import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { systemClock } from "../../src/common/clock.ts";
import { HttpClient, type HttpRequest } from "../../src/clients/http_client.ts";
import { Engine } from "../engine/engine.ts";
import { HostList } from "../host_list/host_list.ts";
import { LogService } from "../log/log_service.ts";
import { PlainService } from "../service/plain_service.ts";
import { WeightStore } from "../weight_store/weight_store.ts";
import { type FaultOrder, Faults } from "./faults.ts";
import type { StandinServer } from "./server.ts";

interface Standin {
  readonly server: StandinServer;
  close?(): Promise<void>;
}

interface StandinCase {
  readonly name: string;
  readonly start: (faults: Faults) => Standin;
  /** A request that the stand-in answers with status 200. */
  readonly request: Omit<HttpRequest, "url"> & { readonly path: string };
}

const STANDINS: readonly StandinCase[] = [
  {
    name: "log",
    start: (faults) => new LogService({ faults }),
    request: {
      method: "POST",
      path: "/streams/s/records",
      body: `{"records":[]}`,
    },
  },
  {
    name: "host list",
    start: (faults) => new HostList({ faults }),
    request: { method: "GET", path: "/hosts" },
  },
  {
    name: "service",
    start: (faults) => new PlainService({ faults }),
    request: { method: "POST", path: "/entries" },
  },
  {
    name: "weight store",
    start: (faults) => new WeightStore({ faults }),
    request: { method: "GET", path: "/weights/m/v?bytes=1" },
  },
  {
    name: "engine",
    start: (faults) =>
      new Engine({
        faults,
        target: "t",
        loaded: {
          model: "m",
          version: "v",
          first: 0,
          end: 1,
          adapters: [],
          role: "both",
        },
      }),
    request: { method: "GET", path: "/v1/state" },
  },
];

const soon = () => ({ deadlineMs: systemClock.nowMs() + 10_000 });

describe.each([...STANDINS])("$name", ({ start, request }) => {
  let http: HttpClient;
  let standin: Standin;
  let url: string;
  const exit = vi.fn();

  beforeEach(async () => {
    http = new HttpClient();
    exit.mockReset();
    standin = start(new Faults({ exit }));
    url = await standin.server.listen();
  });

  afterEach(async () => {
    http.dispose();
    await (standin.close?.() ?? standin.server.close());
  });

  const sendRequest = () =>
    http.exchange({ ...request, url: url + request.path }, soon());

  const control = async (order: FaultOrder) => {
    const body = JSON.stringify(order);
    const sent = { method: "POST", url: `${url}/control`, body };
    expect((await http.exchange(sent, soon())).unwrap().status).toBe(200);
  };

  test("does not answer while frozen, and can be cut meanwhile", async () => {
    await control({ action: "freeze" });
    let isAnswered = false;
    const first = sendRequest().finally(() => isAnswered = true);
    await control({ action: "delay", delayMs: 0 });
    expect(isAnswered).toBe(false);
    await control({ action: "cut" });
    expect((await first).unwrapErr().verdict).toBe("may-have-run");
    const second = sendRequest();
    await control({ action: "thaw" });
    expect((await second).unwrap().status).toBe(200);
  });

  test("delays its answers", async () => {
    await control({ action: "delay", delayMs: 30 });
    const startMs = systemClock.nowMs();
    expect((await sendRequest()).unwrap().status).toBe(200);
    expect(systemClock.nowMs() - startMs).toBeGreaterThan(28);
  });

  test("loses the given number of answers", async () => {
    await control({ action: "lose-answers", count: 1 });
    expect((await sendRequest()).unwrapErr().verdict).toBe("may-have-run");
    expect((await sendRequest()).unwrap().status).toBe(200);
  });

  test("answers 503 while down, answers again when up, and exits on die", async () => {
    await control({ action: "down" });
    expect((await sendRequest()).unwrap().status).toBe(503);
    await control({ action: "up" });
    expect((await sendRequest()).unwrap().status).toBe(200);
    await control({ action: "die" });
    expect(exit).toHaveBeenCalledOnce();
  });
});

test("readers of the weight store share its bandwidth", async () => {
  vi.useFakeTimers({ toFake: ["setInterval", "clearInterval", "performance"] });
  const http = new HttpClient();
  const store = new WeightStore({ faults: new Faults(), bytesPerS: 1_000 });
  const url = await store.server.listen();
  const options = { deadlineMs: 1_000_000_000 };
  const read = (path: string) =>
    http.exchange({ method: "GET", url: url + path }, options);
  const finished: string[] = [];
  const readers = ["600", "1000", "1000"].map(async (sizeBytes) => {
    await read(`/weights/m/v?bytes=${sizeBytes}`);
    finished.push(sizeBytes);
  });
  const readerCount = async () =>
    JSON.parse((await read("/control/readers")).unwrap().body.toString())
      .readers;
  await vi.waitFor(async () => expect(await readerCount()).toBe(3));
  vi.advanceTimersByTime(1_700);
  expect(await readerCount()).toBe(3);
  vi.advanceTimersByTime(200);
  expect(await readerCount()).toBe(2);
  vi.advanceTimersByTime(800);
  await Promise.all(readers);
  expect(finished[0]).toBe("600");
  vi.useRealTimers();
  http.dispose();
  await store.server.close();
});
