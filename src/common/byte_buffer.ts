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

  /** `expectedBytes` saves memory if it is known how many bytes will arrive. */
  constructor({ expectedBytes = 0 }: { readonly expectedBytes?: number } = {}) {
    this.#expectedBytes = expectedBytes;
  }

  get length(): number {
    return this.#length;
  }

  /** Memory that the buffer takes once a piece of this size is appended. */
  capacityAfter(pieceBytes: number): number {
    const length = this.#length + pieceBytes;
    if (this.#length === 0) return pieceBytes;
    if (length <= this.#bytes.length) return this.#bytes.length;
    return length <= this.#expectedBytes
      ? Math.min(2 * length, this.#expectedBytes)
      : 2 * length;
  }

  append(piece: Buffer): void {
    if (this.#length === 0) {
      // Most bodies come in one piece, which needs no copy.
      this.#bytes = piece;
    } else {
      this.#grow(this.capacityAfter(piece.length));
      piece.copy(this.#bytes, this.#length);
    }
    this.#length += piece.length;
  }

  /** The bytes so far; valid until the next call. */
  view(): Buffer {
    return this.#bytes.subarray(0, this.#length);
  }

  clear(): void {
    this.#bytes = EMPTY;
    this.#length = 0;
  }

  #grow(capacity: number): void {
    if (capacity === this.#bytes.length) return;
    const bytes = Buffer.allocUnsafe(capacity);
    this.#bytes.copy(bytes, 0, 0, this.#length);
    this.#bytes = bytes;
  }
}
