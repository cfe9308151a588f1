import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { expect, test, vi } from "vitest";
import { systemClock } from "../common/clock.ts";
import type { RequestMetadata } from "../ports/types.ts";
import { BodyBudget } from "./body_budget.ts";
import { Exchange } from "./exchange.ts";

const PIECES = 300_000;
const LIMIT_BYTES = 4 * 1024 * 1024;

function collectGarbage(): void {
  setFlagsFromString("--expose-gc");
  (runInNewContext("gc") as () => void)();
}

/** An exchange whose request emits what a test makes it. */
function createExchange(
  headers: Record<string, string>,
  bodies = new BodyBudget(),
) {
  const request = Object.assign(new EventEmitter(), {
    headers,
    socket: new EventEmitter(),
  });
  const exchange = new Exchange({
    request: request as unknown as IncomingMessage,
    response: new EventEmitter() as ServerResponse,
    metadata: {} as RequestMetadata,
    clock: systemClock,
    isClosing: () => false,
    bodies,
  });
  const readBody = () =>
    exchange.readBody(LIMIT_BYTES, systemClock.nowMs() + 60_000);
  return { request, readBody };
}

test("bodies that are announced and never sent take no room from others", async () => {
  const bodies = new BodyBudget();
  for (let i = 0; i < 700; i++) {
    void createExchange({ "content-length": "65536" }, bodies).readBody();
  }
  const { request, readBody } = createExchange(
    { "content-length": "2" },
    bodies,
  );
  const body = readBody();
  request.emit("data", Buffer.from("{}"));
  request.emit("end");
  expect((await body).kind).toBe("complete");
});

test("a body that loses its room midway is refused although it never ends", async () => {
  vi.useFakeTimers({ toFake: ["setTimeout"] });
  const bodies = new BodyBudget({ maxBytes: 10, maxTotalBytes: 10 });
  bodies.tryReserve(8, { heldBytes: 0, finalBytes: 8 });
  const { request, readBody } = createExchange(
    { "transfer-encoding": "chunked" },
    bodies,
  );
  const body = readBody();
  for (const piece of ["ab", "cd"]) request.emit("data", Buffer.from(piece));
  expect(bodies.usedBytes).toBe(8);
  await vi.advanceTimersByTimeAsync(5_000);
  vi.useRealTimers();
  expect((await body).kind).toBe("no-room");
});

test("a body in very small chunks takes no more memory than its bytes", async () => {
  const { request, readBody } = createExchange({
    "transfer-encoding": "chunked",
  });
  const body = readBody();
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  for (let i = 0; i < PIECES; i++) {
    request.emit("data", Buffer.alloc(1, i % 10 + 0x30));
  }
  collectGarbage();
  const takenBytes = process.memoryUsage().heapUsed - before;
  request.emit("end");
  const outcome = await body;
  const text = outcome.kind === "complete" ? outcome.body?.toString() : "";
  expect(text).toBe("0123456789".repeat(PIECES / 10));
  expect(takenBytes).toBeLessThan(4 * PIECES);
});
