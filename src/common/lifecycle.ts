/**
 * Resource ownership: the creator of a disposable resource registers it in its
 * own store and disposes it when it is disposed itself.
 *
 * @module
 */

export interface Disposable {
  dispose(): void;
}

/** Disposes the registered resources once, in reverse order of registration. */
export class DisposableStore implements Disposable {
  #owned: Disposable[] = [];
  #disposed = false;

  /** Takes ownership of `resource`; disposes it immediately if the store is disposed. */
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

export function toDisposable(release: () => void): Disposable {
  return { dispose: release };
}
