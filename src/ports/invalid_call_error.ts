/**
 * The error of a call that the store refuses since it is malformed. It is a fault
 * of this program and says nothing about the store's health.
 *
 * @module
 */

export class InvalidCallError extends Error {
  override readonly name = "InvalidCallError";
  /** Method, path and query of the call. */
  readonly call: string;

  constructor(message: string, { call }: { readonly call: string }) {
    super(message);
    this.call = call;
  }
}
