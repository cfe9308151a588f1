/**
 * Ownership of resources: whoever creates something that must be released
 * registers it with itself and releases it when it is disposed.
 *
 * @module
 */

/** Something that holds a resource until it is disposed. */
export interface Disposable {
  dispose(): void;
}

/** Disposes what is registered with it, last first, once. */
export class DisposableStore implements Disposable {
  #owned: Disposable[] = [];
  #disposed = false;

  /** Takes ownership of `resource` and returns it. */
  add<T extends Disposable>(resource: T): T {
    if (this.#disposed) resource.dispose();
    else this.#owned.push(resource);
    return resource;
  }

  dispose(): void {
    this.#disposed = true;
    const owned = this.#owned.reverse();
    this.#owned = [];
    for (const resource of owned) resource.dispose();
  }
}

/** Makes a disposable of a function. */
export function toDisposable(release: () => void): Disposable {
  return { dispose: release };
}
