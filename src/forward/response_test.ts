import {
  createServer,
  get,
  type IncomingMessage,
  type Server,
} from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { systemClock } from "../common/clock.ts";
import { discardBody, readResponseBody } from "./response.ts";

const CHUNK = Buffer.alloc(64 * 1024, 0x61);

let server: Server;
let openConnections = 0;

/** Answers /endless with a body without end, other paths with a short one. */
beforeEach(async () => {
  openConnections = 0;
  server = createServer((request, response) => {
    if (request.url !== "/endless") {
      response.end("short");
      return;
    }
    const write = (): void => {
      while (!response.destroyed && response.write(CHUNK));
    };
    response.on("drain", write);
    write();
  });
  server.on("connection", (socket) => {
    openConnections++;
    socket.on("close", () => openConnections--);
    socket.on("error", () => {});
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

function fetchHead(path: string): Promise<IncomingMessage> {
  const { port } = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    get({ host: "127.0.0.1", port, path, agent: false }, (answer) => {
      answer.on("error", () => {});
      resolve(answer);
    }).on("error", reject);
  });
}

const read = (answer: IncomingMessage) =>
  readResponseBody({
    kind: "answer",
    answer,
    hasFailed: () => false,
    isNewConnection: true,
  });

test("a hundred bodies without end fail within bounded memory, and a sound one beside them is read", async () => {
  const answers = await Promise.all(
    Array.from({ length: 100 }, () => fetchHead("/endless")),
  );
  const before = process.memoryUsage().arrayBuffers;
  let peak = before;
  const watch = setInterval(() => {
    peak = Math.max(peak, process.memoryUsage().arrayBuffers);
  }, 5);
  const bodies = answers.map(read);
  const sound = await read(await fetchHead("/short"));
  expect(sound?.toString()).toBe("short");
  expect(await Promise.all(bodies)).toEqual(bodies.map(() => undefined));
  clearInterval(watch);
  // Twice the limit, since freed chunks await their collection.
  expect(peak - before).toBeLessThan(2 * 48 * 1024 * 1024);
  expect(await read(await fetchHead("/short"))).toBeDefined();
});

test("an unwanted body without end is not read for longer than a moment", async () => {
  discardBody(await fetchHead("/endless"));
  await systemClock.sleep(300);
  expect(openConnections).toBe(0);
});

test("the rest of a short unwanted body is read", async () => {
  const answer = await fetchHead("/short");
  discardBody(answer);
  await new Promise((resolve) => answer.on("end", resolve));
  expect(answer.complete).toBe(true);
});
