/**
 * Validates the tokens of one attempt before they are sent to the caller.
 *
 * @module
 */

import type { EngineToken } from "../clients/types.ts";

/** Expected properties of an attempt's tokens. */
export interface TokenValidatorOptions {
  readonly attemptId: string;
  /** Signature of the chain planned for the attempt. */
  readonly signature: string;
  /** Index in the answer of the attempt's first token. */
  readonly fromIndex: number;
  /** Maximum length of the answer, in tokens. */
  readonly maxTokens: number;
}

/** Accepts the tokens of one attempt in order, each once, until closed. */
export class TokenValidator {
  readonly #options: TokenValidatorOptions;
  #nextIndex: number;
  #fault: string | undefined;
  #isClosed = false;

  constructor(options: TokenValidatorOptions) {
    this.#options = options;
    this.#nextIndex = options.fromIndex;
  }

  /** Expected index of the next token. */
  get nextIndex(): number {
    return this.#nextIndex;
  }

  /** First validation error, if any. */
  get fault(): string | undefined {
    return this.#fault;
  }

  /** Rejects all further tokens. */
  close(): void {
    this.#isClosed = true;
  }

  /** Returns the leading valid tokens; none after a fault or `close`. */
  accept(tokens: readonly EngineToken[]): readonly EngineToken[] {
    if (this.#isClosed || this.#fault !== undefined) return [];
    const firstRejected = tokens.findIndex((token) => !this.#validate(token));
    return firstRejected < 0 ? tokens : tokens.slice(0, firstRejected);
  }

  #validate(token: EngineToken): boolean {
    this.#fault = this.#faultOf(token);
    if (this.#fault !== undefined) return false;
    this.#nextIndex += 1;
    return true;
  }

  #faultOf(token: EngineToken): string | undefined {
    const { attemptId, signature, maxTokens } = this.#options;
    if (token.attemptId !== attemptId) {
      return `token of attempt ${token.attemptId}, expected ${attemptId}`;
    }
    if (token.index !== this.#nextIndex) {
      return `token index ${token.index}, expected ${this.#nextIndex}`;
    }
    if (token.index >= maxTokens) {
      return `token index ${token.index} is not below maxTokens ${maxTokens}`;
    }
    if (token.ran !== signature) {
      return `token ${token.index} ran on ${token.ran}, expected ${signature}`;
    }
    return undefined;
  }
}
