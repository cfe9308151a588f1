import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { expect, test } from "vitest";
import { systemClock } from "../common/clock.ts";
import type { RequestMetadata } from "../ports/types.ts";
import { Exchange } from "./exchange.ts";

const PIECES = 300_000;
const LIMIT_BYTES = 4 * 1024 * 1024;

function collectGarbage(): void {
  setFlagsFromString("--expose-gc");
  (runInNewContext("gc") as () => void)();
}

test("a body in very small chunks takes no more memory than its bytes", async () => {
  const request = Object.assign(new EventEmitter(), {
    headers: { "transfer-encoding": "chunked" },
    socket: new EventEmitter(),
  });
  const exchange = new Exchange({
    request: request as unknown as IncomingMessage,
    response: new EventEmitter() as ServerResponse,
    metadata: {} as RequestMetadata,
    clock: systemClock,
    isClosing: () => false,
  });
  const body = exchange.readBody(LIMIT_BYTES, systemClock.nowMs() + 60_000);
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
