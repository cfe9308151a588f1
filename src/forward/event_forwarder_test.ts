import fc from "fast-check";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { expect, test } from "vitest";
import { EventForwarder, type ForwardResult } from "./event_forwarder.ts";

interface Forwarded {
  readonly text: string;
  readonly lastEventId: number | undefined;
  readonly result: ForwardResult;
}

const event = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;
const eventsTo = (end: number): string =>
  Array.from({ length: end }, (_, id) => event(id)).join("");

/** Forwards a response whose chunks are buffered before it is read. */
async function forwardBuffered(
  chunks: readonly string[],
  lastEventId?: number,
): Promise<Forwarded> {
  const answer = new PassThrough();
  for (const chunk of chunks) answer.write(chunk);
  answer.end();
  let text = "";
  let lastId = lastEventId;
  const forwarder = new EventForwarder({
    outcome: {
      kind: "answer",
      answer: Object.assign(answer, {
        complete: true,
      }) as unknown as IncomingMessage,
      hasFailed: () => false,
      isNewConnection: true,
    },
    sink: {
      lastEventId,
      onEvents: (bytes, id) => {
        text += bytes.toString();
        lastId = id;
        return true;
      },
    },
    onProgress: () => {},
  });
  const result = await forwarder.run();
  // Buffered chunks would still arrive now.
  await new Promise((resolve) => setImmediate(resolve));
  return { text, lastEventId: lastId, result };
}

// Guards against a dropped event before a wrong one, after which a resumed stream goes on.
test("events before a wrong one are forwarded, and the stream goes on after them", async () => {
  const chunks = [event(0) + event(900) + event(1), event(2)];
  const { text, lastEventId, result } = await forwardBuffered(chunks);
  expect(text).toBe(event(0));
  expect(lastEventId).toBe(0);
  expect(result).toEqual({
    kind: "broken",
    reason: "event id 900 is not the successor of 0",
  });
});

// Guards against chunks that were buffered before the failure.
test("no event behind a wrong one is forwarded, however the chunks are cut", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.nat({ max: 8 }),
      fc.constantFrom(
        event(900),
        "id: 900\ndata: par",
        `id: 3\n${event(900)}`,
      ),
      fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
      async (before, wrong, sizes) => {
        const rest = [1, 2, 3].map((step) => event(before + step - 1)).join("");
        const body = eventsTo(before) + wrong + rest;
        const chunks: string[] = [];
        for (let at = 0, i = 0; at < body.length; i++) {
          const size = sizes[i % sizes.length];
          chunks.push(body.slice(at, at + size));
          at += size;
        }
        // Without an event before it, a wrong one with a single id is not known as such.
        const first = before === 0 ? -1 : undefined;
        const forwarded = await forwardBuffered(chunks, first);
        expect(forwarded.text).toBe(eventsTo(before));
        expect(forwarded.lastEventId).toBe(before === 0 ? -1 : before - 1);
        expect(forwarded.result.kind).toBe("broken");
      },
    ),
    { seed: 20261205, numRuns: 200 },
  );
});

// Guards against the error of another server in the middle of a stream.
test.each([
  "HTTP/1.1 503 Service Unavailable\r\nAt-Server: 10.0.0.1:80\r\nContent-Length: 0\r\n\r\n",
  "no path with free capacity\n\n",
  '{"error": "overloaded"}\r\n\r\n',
])("text that is no event ends a stream: %j", async (text) => {
  const chunks = [event(0), text, event(1)];
  const forwarded = await forwardBuffered(chunks);
  expect(forwarded.text).toBe(event(0));
  expect(forwarded.result).toEqual({
    kind: "broken",
    reason: "event after 0 is invalid: no-field",
  });
});

test("a whole stream is forwarded unchanged, with comments and events without an id", async () => {
  const body = `${event(4)}: wait\n\ndata: no id\n\nretry: 5\n\n` +
    `x-weights: 3\n${event(5)}event: done\n\n`;
  const { text, result } = await forwardBuffered([body], 3);
  expect(text).toBe(body);
  expect(result.kind).toBe("complete");
});

test("an event that cannot be forwarded ends the request, not as an uncaught error", async () => {
  const answer = new PassThrough();
  const forwarder = new EventForwarder({
    outcome: {
      kind: "answer",
      answer: Object.assign(answer, {
        complete: true,
      }) as unknown as IncomingMessage,
      hasFailed: () => false,
      isNewConnection: true,
    },
    sink: {
      lastEventId: undefined,
      onEvents: () => {
        throw new Error("head cannot be written");
      },
    },
    onProgress: () => {},
  });
  const result = forwarder.run();
  answer.end(eventsTo(2));
  await expect(result).rejects.toThrow("head cannot be written");
  expect(answer.destroyed).toBe(true);
});
