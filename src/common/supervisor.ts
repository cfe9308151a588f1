/**
 * The supervisor tree. A supervisor owns tasks and child supervisors; a task
 * that fails is started again after a back-off, without touching its siblings,
 * and stopping a supervisor stops everything below it.
 *
 * @module
 */

import { setMaxListeners } from "node:events";
import { type Clock, systemClock } from "./clock.ts";
import { Emitter, type Event } from "./emitter.ts";

const FIRST_BACK_OFF_MS = 50;
const MAX_BACK_OFF_MS = 5_000;
/** A task that has run this long starts again with the first back-off. */
const BACK_OFF_RESET_MS = 30_000;

/** A task: runs until its signal aborts. Returning early ends it for good. */
export type Task = (signal: AbortSignal) => Promise<void>;

/** A failure of a task, with the back-off that follows it. */
export interface TaskFailure {
  readonly task: string;
  readonly error: unknown;
  readonly backOffMs: number;
}

/** Options of a supervisor. */
export interface SupervisorOptions {
  readonly name: string;
  readonly clock?: Clock;
  /** A number in [0, 1) that spreads restarts. */
  readonly random?: () => number;
}

/** Runs tasks and restarts those that fail. */
export class Supervisor {
  readonly name: string;
  readonly #clock: Clock;
  readonly #random: () => number;
  readonly #abort = new AbortController();
  readonly #running = new Set<Promise<void>>();
  readonly #children = new Set<Supervisor>();
  readonly #onFailure = new Emitter<TaskFailure>();

  /** Fires for failures here and in every child. */
  readonly onFailure: Event<TaskFailure> = this.#onFailure.event;

  constructor(options: SupervisorOptions) {
    this.name = options.name;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    // Every wait of every task listens to this one signal.
    setMaxListeners(0, this.#abort.signal);
  }

  /** Starts a task that is restarted whenever it throws. */
  start(name: string, task: Task): void {
    const path = `${this.name}/${name}`;
    const running = this.#runTask(path, task).finally(() =>
      this.#running.delete(running)
    );
    this.#running.add(running);
  }

  /** Adds a supervisor whose tasks stop with this one. */
  child(name: string): Supervisor {
    const child = new Supervisor({
      name: `${this.name}/${name}`,
      clock: this.#clock,
      random: this.#random,
    });
    child.onFailure((failure) => this.#onFailure.fire(failure));
    this.#children.add(child);
    return child;
  }

  /** Stops children and tasks and waits for all of them. */
  async stop(): Promise<void> {
    await Promise.all([...this.#children].map((child) => child.stop()));
    this.#abort.abort();
    await Promise.all(this.#running);
  }

  async #runTask(path: string, task: Task): Promise<void> {
    const signal = this.#abort.signal;
    let backOffMs = FIRST_BACK_OFF_MS;
    while (!signal.aborted) {
      const startedMs = this.#clock.nowMs();
      const error = await runUntilFailure(task, signal);
      if (error === undefined || signal.aborted) return;
      if (this.#clock.nowMs() - startedMs >= BACK_OFF_RESET_MS) {
        backOffMs = FIRST_BACK_OFF_MS;
      }
      this.#onFailure.fire({ task: path, error, backOffMs });
      await this.#clock.sleep(backOffMs * (0.5 + this.#random() / 2), signal);
      backOffMs = Math.min(MAX_BACK_OFF_MS, backOffMs * 2);
    }
  }
}

async function runUntilFailure(
  task: Task,
  signal: AbortSignal,
): Promise<unknown> {
  try {
    await task(signal);
    return undefined;
  } catch (error) {
    return error ?? new Error("the task failed without an error");
  }
}
