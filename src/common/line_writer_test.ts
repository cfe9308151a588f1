import { EventEmitter } from "node:events";
import { Writable } from "node:stream";
import { expect, test } from "vitest";
import { createBoundedLog } from "./bounded_log.ts";
import { LineWriter } from "./line_writer.ts";

const BUFFER_BYTES = 100;

/** Gives each written chunk to `onChunk`, which may fail it or answer later. */
function createWriter(
  onChunk: (chunk: string, done: (error?: Error) => void) => void,
) {
  const tasks: (() => void)[] = [];
  const dropped: string[] = [];
  // Like standard output, it goes on after errors, which it emits, too.
  const output = Object.assign(new EventEmitter(), {
    writableLength: 0,
    write(chunk: string, onWritten: (error?: Error) => void): boolean {
      output.writableLength += chunk.length;
      onChunk(chunk, (error) => {
        output.writableLength -= chunk.length;
        onWritten(error);
        if (error !== undefined) output.emit("error", error);
      });
      return true;
    },
  });
  const writer = new LineWriter({
    output: output as unknown as Writable,
    formatNotice: (causes) => `dropped ${JSON.stringify(causes)}\n`,
    onDrop: (cause) => dropped.push(cause),
    bufferBytes: BUFFER_BYTES,
    schedule: (task) => tasks.push(task),
  });
  return { output, writer, tasks, dropped };
}

function failure(code: string): Error {
  return Object.assign(new Error(code), { code });
}

test("an output that fails is tried once an interval, whatever is logged", () => {
  let tries = 0;
  const { writer, tasks, dropped } = createWriter((_chunk, done) => {
    tries++;
    done(failure("ENOSPC"));
  });
  for (let i = 0; i < 5; i++) {
    writer.write("line\n");
  }
  expect(tries).toBe(1);
  expect(dropped).toEqual(new Array(5).fill("ENOSPC"));
  for (let i = 2; i < 5; i++) {
    expect(tasks).toHaveLength(1);
    tasks.shift()?.();
    expect(tries).toBe(i);
  }
  expect(dropped).toHaveLength(5);
});

test("an output that works again is told each lost line by cause", () => {
  const chunks: string[] = [];
  let code: string | undefined = "EPIPE";
  const { writer, tasks } = createWriter((chunk, done) => {
    if (code !== undefined) return done(failure(code));
    chunks.push(chunk);
    done();
  });
  writer.write("a\n");
  writer.write("b\n");
  code = "EAGAIN";
  tasks.shift()?.();
  writer.write("c\n");
  code = undefined;
  tasks.shift()?.();
  writer.write("d\n");
  expect(chunks).toEqual(['\ndropped {"EPIPE":2,"EAGAIN":1}\n', "d\n"]);
});

test("a stalled output is told what was lost when it is read again, without a further line", () => {
  const chunks: string[] = [];
  const stalled: (() => void)[] = [];
  const { writer, tasks } = createWriter((chunk, done) => {
    chunks.push(chunk);
    stalled.push(done);
  });
  for (let i = 0; i < 5; i++) writer.write(`${"x".repeat(40)}\n`);
  tasks.shift()?.();
  expect(tasks).toHaveLength(1);
  for (let i = 0; i < 3; i++) {
    stalled.shift()?.();
  }
  tasks.shift()?.();
  expect(chunks.at(-1)).toBe('dropped {"stalled":2}\n');
  expect(tasks).toHaveLength(0);
});

test("an output that throws at a write does not throw at the caller", () => {
  const { output, writer, dropped } = createWriter(() => {});
  output.write = () => {
    throw failure("EIO");
  };
  writer.write("line\n");
  expect(dropped).toEqual(["EIO"]);
});

test("fields that cannot be serialized cost the fields, not the line or its caller", () => {
  const lines: string[] = [];
  const output = new Writable({
    write: (chunk, _encoding, done) => {
      lines.push(String(chunk));
      done();
    },
  });
  const log = createBoundedLog({ host: "host-1", output });
  log.error("internal error", { size: 1n });
  expect(JSON.parse(lines[0])).toMatchObject({
    level: "error",
    event: "internal error",
    unserializable: expect.stringContaining("BigInt"),
  });
});
