/**
 * Collects bytes that arrive in pieces. The pieces are copied, so that a body in
 * many small ones takes no more memory than one in few.
 *
 * @module
 */

const EMPTY = Buffer.alloc(0);

export class ByteBuffer {
  readonly #expectedBytes: number;
  #bytes: Buffer = EMPTY;
  #length = 0;

  /** `expectedBytes` saves copies if it is known how many bytes will arrive. */
  constructor({ expectedBytes = 0 }: { readonly expectedBytes?: number } = {}) {
    this.#expectedBytes = expectedBytes;
  }

  get length(): number {
    return this.#length;
  }

  append(piece: Buffer): void {
    const length = this.#length + piece.length;
    if (this.#length === 0) {
      // Most bodies come in one piece, which needs no copy.
      this.#bytes = piece;
    } else {
      if (length > this.#bytes.length) this.#grow(length);
      piece.copy(this.#bytes, this.#length);
    }
    this.#length = length;
  }

  /** The bytes so far; valid until the next call. */
  view(): Buffer {
    return this.#bytes.subarray(0, this.#length);
  }

  clear(): void {
    this.#bytes = EMPTY;
    this.#length = 0;
  }

  #grow(length: number): void {
    const capacity = Math.max(length, this.#expectedBytes, 2 * this.#length);
    const bytes = Buffer.allocUnsafe(capacity);
    this.#bytes.copy(bytes, 0, 0, this.#length);
    this.#bytes = bytes;
  }
}
