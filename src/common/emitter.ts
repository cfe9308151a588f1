/**
 * Typed events: a class holds a private `Emitter` and exposes its `event` as
 * `onSomething`.
 *
 * @module
 */

import { type Disposable, toDisposable } from "./lifecycle.ts";

/** Subscribes a listener; disposing the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

export class Emitter<T> implements Disposable {
  #listeners = new Set<(value: T) => void>();

  readonly event: Event<T> = (listener) => {
    this.#listeners.add(listener);
    return toDisposable(() => this.#listeners.delete(listener));
  };

  fire(value: T): void {
    for (const listener of [...this.#listeners]) listener(value);
  }

  dispose(): void {
    this.#listeners.clear();
  }
}
