/**
 * A promise that is settled from outside.
 *
 * @module
 */

/** A promise with the function that resolves it; later calls do nothing. */
export interface Deferred<T> {
  readonly promise: Promise<T>;
  readonly resolve: (value: T) => void;
}

/** Makes a promise that waits for `resolve`. */
export function deferred<T>(): Deferred<T> {
  let resolve: (value: T) => void = () => {};
  const promise = new Promise<T>((settle) => resolve = settle);
  return { promise, resolve };
}
