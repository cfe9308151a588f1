/**
 * Supervisor tree. A supervisor owns tasks and child supervisors. A failed task
 * is restarted after a back-off without affecting its siblings; stopping a
 * supervisor stops all of its tasks and children.
 *
 * @module
 */

import { setMaxListeners } from "node:events";
import { type Clock, systemClock } from "./clock.ts";
import { Emitter, type Event } from "./emitter.ts";

const FIRST_BACK_OFF_MS = 50;
const MAX_BACK_OFF_MS = 5_000;
/** The back-off is reset once a task has run this long. */
const BACK_OFF_RESET_MS = 30_000;

/** Runs until its signal aborts. A task that returns earlier is not restarted. */
export type Task = (signal: AbortSignal) => Promise<void>;

export interface TaskFailure {
  /** Names from the root supervisor to the task, separated by slashes. */
  readonly task: string;
  readonly error: unknown;
  /** Back-off before the restart, without jitter. */
  readonly backOffMs: number;
}

export interface SupervisorOptions {
  readonly name: string;
  readonly clock?: Clock;
  /** Returns a number in [0, 1); used as jitter on the back-off. */
  readonly random?: () => number;
}

export class Supervisor {
  readonly name: string;
  readonly #clock: Clock;
  readonly #random: () => number;
  readonly #abort = new AbortController();
  readonly #running = new Set<Promise<void>>();
  readonly #children = new Set<Supervisor>();
  readonly #onFailure = new Emitter<TaskFailure>();

  /** Fires for failures of own tasks and of all descendants' tasks. */
  readonly onFailure: Event<TaskFailure> = this.#onFailure.event;

  constructor(options: SupervisorOptions) {
    this.name = options.name;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    // Each pending wait of each task adds a listener to this signal.
    setMaxListeners(0, this.#abort.signal);
  }

  /** Starts a task and restarts it whenever it throws. */
  start(name: string, task: Task): void {
    const path = `${this.name}/${name}`;
    const running = this.#runTask(path, task).finally(() =>
      this.#running.delete(running)
    );
    this.#running.add(running);
  }

  /** Creates a child supervisor that is stopped with this one. */
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

  /** Stops the children, then the own tasks; resolves when all have ended. */
  async stop(): Promise<void> {
    await Promise.all([...this.#children].map((child) => child.stop()));
    this.#abort.abort();
    await Promise.all(this.#running);
  }

  /** A listener that throws is an error of its own, not the end of the task. */
  #report(failure: TaskFailure): void {
    try {
      this.#onFailure.fire(failure);
    } catch (error) {
      void Promise.reject(error);
    }
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
      this.#report({ task: path, error, backOffMs });
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
    return error ?? new Error("task rejected without an error value");
  }
}
