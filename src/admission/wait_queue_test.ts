import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { type Waiter, WaitQueue } from "./wait_queue.ts";

/** A pool of room that waiters draw from, and what became of them. */
class Pool {
  readonly clock = new ManualClock();
  readonly queue: WaitQueue;
  readonly started: string[] = [];
  readonly refused: string[] = [];
  room = 0;

  constructor(maxWaiting = 100) {
    this.queue = new WaitQueue({ clock: this.clock, maxWaiting });
  }

  add(name: string, size: number, rank = 1, waitMs = 1_000): Waiter {
    const waiter: Waiter = {
      rank,
      untilMs: this.clock.nowMs() + waitMs,
      tryStart: () => {
        if (this.room < size) return false;
        this.room -= size;
        this.started.push(name);
        return true;
      },
      refuse: () => this.refused.push(name),
    };
    this.queue.add(waiter);
    return waiter;
  }

  free(room: number): void {
    this.room += room;
    this.queue.dispatch();
  }
}

test("a request starts at once while there is room", () => {
  const pool = new Pool();
  pool.room = 1;
  pool.add("first", 1);
  expect(pool.started).toEqual(["first"]);
  expect(pool.queue.length).toBe(0);
});

test("the more urgent rank goes first, the older within a rank", () => {
  const pool = new Pool();
  pool.add("later", 1, 2);
  pool.add("old", 1, 1);
  pool.add("young", 1, 1);
  pool.free(1);
  pool.free(1);
  pool.free(1);
  expect(pool.started).toEqual(["old", "young", "later"]);
});

test("a large request is passed for a short time only", async () => {
  const pool = new Pool();
  pool.add("large", 4);
  pool.add("small", 1);
  pool.free(1);
  expect(pool.started).toEqual(["small"]);
  await pool.clock.advance(300);
  for (let i = 0; i < 4; i++) {
    pool.add(`small-${i}`, 1);
    pool.free(1);
  }
  expect(pool.started).toEqual(["small", "large"]);
});

test("what waited too long is refused, and only that", async () => {
  const pool = new Pool();
  pool.add("short", 1, 1, 100);
  pool.add("long", 1, 1, 1_000);
  await pool.clock.advance(150);
  pool.queue.dispatch();
  expect(pool.refused).toEqual(["short"]);
  pool.free(1);
  expect(pool.started).toEqual(["long"]);
});

test("a full queue gives way to a more urgent request", () => {
  const pool = new Pool(2);
  pool.add("a", 1, 5);
  pool.add("b", 1, 5);
  pool.add("equal", 1, 5);
  expect(pool.refused).toEqual(["equal"]);
  pool.add("urgent", 1, 1);
  expect(pool.refused).toEqual(["equal", "b"]);
  pool.free(1);
  expect(pool.started).toEqual(["urgent"]);
});

test("a caller that left leaves the queue", () => {
  const pool = new Pool();
  const gone = pool.add("gone", 1);
  pool.add("here", 1);
  pool.queue.remove(gone);
  pool.free(2);
  expect(pool.started).toEqual(["here"]);
});
