/**
 * A promise that is resolved from outside its executor.
 *
 * @module
 */

export interface Deferred<T> {
  readonly promise: Promise<T>;
  /** Resolves the promise; calls after the first have no effect. */
  readonly resolve: (value: T) => void;
}

export function deferred<T>(): Deferred<T> {
  let resolve: (value: T) => void = () => {};
  const promise = new Promise<T>((settle) => resolve = settle);
  return { promise, resolve };
}
