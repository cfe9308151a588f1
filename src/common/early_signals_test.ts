import { EventEmitter } from "node:events";
import { expect, test } from "vitest";
import { EarlySignals } from "./early_signals.ts";

test("a reload asked for before the start is kept until the program takes over", () => {
  const source = new EventEmitter();
  const signals = new EarlySignals({ source, onStop: expect.unreachable });
  source.emit("SIGHUP");
  source.emit("SIGHUP");
  source.on("SIGHUP", () => {});
  expect(signals.release()).toBe(true);
  expect(source.eventNames()).toEqual(["SIGHUP"]);
  expect(source.listenerCount("SIGHUP")).toBe(1);
});

test("a program that is asked twice to end before its start ends once", () => {
  const source = new EventEmitter();
  const stops: string[] = [];
  const signals = new EarlySignals({
    source,
    onStop: (name) => stops.push(name),
  });
  source.emit("SIGTERM", "SIGTERM");
  source.emit("SIGINT", "SIGINT");
  expect(stops).toEqual(["SIGTERM"]);
  expect(signals.release()).toBe(false);
});
