/**
 * Limits the memory that the bodies of callers' requests take at a host. Each
 * body is kept until its request has been answered, since it may be sent again.
 *
 * @module
 */

/** All bodies; beyond it, only small ones are accepted. */
const MAX_BYTES = 24 * 1024 * 1024;
/** All bodies, small ones included. */
const MAX_TOTAL_BYTES = 40 * 1024 * 1024;
const SMALL_BODY_BYTES = 64 * 1024;

export interface BodySize {
  /** Reserved for the body so far. */
  readonly heldBytes: number;
  /** What the body will have at least. */
  readonly finalBytes: number;
}

export interface BodyBudgetOptions {
  readonly maxBytes?: number;
  readonly maxTotalBytes?: number;
}

export class BodyBudget {
  readonly #maxBytes: number;
  readonly #maxTotalBytes: number;
  #usedBytes = 0;

  constructor(options: BodyBudgetOptions = {}) {
    this.#maxBytes = options.maxBytes ?? MAX_BYTES;
    this.#maxTotalBytes = options.maxTotalBytes ?? MAX_TOTAL_BYTES;
  }

  /** Bytes of the bodies that are kept or being received. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /**
   * Reserves `bytes` more for a body; returns false if there is no room. A body
   * that is alone always has room, so that no limit of a configuration is out of
   * reach.
   */
  tryReserve(bytes: number, { heldBytes, finalBytes }: BodySize): boolean {
    const usedBytes = this.#usedBytes + bytes;
    const maxBytes = finalBytes <= SMALL_BODY_BYTES
      ? this.#maxTotalBytes
      : this.#maxBytes;
    const isAlone = this.#usedBytes === heldBytes;
    if (usedBytes > maxBytes && !isAlone) return false;
    this.#usedBytes = usedBytes;
    return true;
  }

  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}
