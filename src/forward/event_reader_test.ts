import fc from "fast-check";
import process from "node:process";
import { expect, test } from "vitest";
import { EventReader } from "./event_reader.ts";

test("complete events pass unchanged and in order for any chunk boundaries", () => {
  const event = fc.record({
    id: fc.option(fc.nat({ max: 9_999 }), { nil: undefined }),
    data: fc.string({ maxLength: 30 }).map((text) =>
      text.replace(/[\r\n]/g, "")
    ),
    end: fc.constantFrom("\n", "\r\n"),
  });
  fc.assert(
    fc.property(
      fc.array(event, { maxLength: 12 }),
      fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1 }),
      fc.string({ minLength: 1, maxLength: 10 }).map((text) =>
        `data: ${text.replace(/[\r\n]/g, "")}`
      ),
      (events, sizes, tail) => {
        const text = events.map(({ id, data, end }) =>
          `${
            id === undefined ? "" : `id: ${id}${end}`
          }data: ${data}${end}${end}`
        ).join("");
        const bytes = Buffer.from(text + tail);
        const reader = new EventReader();
        const passed: Buffer[] = [];
        const ids: (number | undefined)[] = [];
        let at = 0;
        for (let i = 0; at < bytes.length; i++) {
          const size = sizes[i % sizes.length];
          const batch = reader.push(bytes.subarray(at, at + size));
          at += size;
          if (batch === undefined) continue;
          passed.push(Buffer.from(batch.bytes));
          ids.push(...batch.events.map(({ id }) => id));
        }
        expect(Buffer.concat(passed).toString()).toBe(text);
        expect(ids).toEqual(events.map(({ id }) => id));
        expect(reader.pendingBytes).toBe(Buffer.byteLength(tail));
      },
    ),
    { seed: 20261203, numRuns: 300 },
  );
});

test("an incomplete event above the maximum size is reported, not thrown", () => {
  const reader = new EventReader();
  for (let i = 0; i < 40 && !reader.isOversized; i++) {
    expect(reader.push(Buffer.alloc(64 * 1024, 0x61))).toBeUndefined();
  }
  expect(reader.isOversized).toBe(true);
  expect(reader.pendingBytes).toBeLessThanOrEqual(1024 * 1024);
});

test("blank lines and comments pass unchanged but are no events", () => {
  const reader = new EventReader();
  const batch = reader.push(Buffer.from("\n:still here\n\n"));
  expect(batch?.bytes.toString()).toBe("\n:still here\n\n");
  expect(batch?.events).toEqual([]);
  expect(batch?.hasFields).toBe(false);
  expect(reader.push(Buffer.from("data: x\n\n"))?.hasFields).toBe(true);
});

test("a long event in very small chunks is not read anew with each chunk", () => {
  const reader = new EventReader();
  const line = Buffer.from("d\n");
  const startedAt = process.cpuUsage();
  reader.push(Buffer.from("data: x\n"));
  for (let i = 0; i < 120 * 1_024; i++) reader.push(line);
  const batch = reader.push(Buffer.from("\n"));
  const { user, system } = process.cpuUsage(startedAt);
  expect(batch?.events).toHaveLength(1);
  expect(batch?.bytes).toHaveLength(8 + 240 * 1_024 + 1);
  expect((user + system) / 1_000).toBeLessThan(1_500);
});
