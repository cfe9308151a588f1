/**
 * Checks each token of one attempt before it may reach the caller.
 *
 * @module
 */

import type { EngineToken } from "../clients/types.ts";

/** What an attempt's tokens must look like. */
export interface TokenValidatorOptions {
  readonly attemptId: string;
  /** Signature of the chain that was planned for the attempt. */
  readonly signature: string;
  /** Index of the first token of the attempt in the whole answer. */
  readonly fromIndex: number;
  /** Length at which the whole answer ends. */
  readonly maxTokens: number;
}

/** Lets the tokens of one attempt pass, in order, each once, until closed. */
export class TokenValidator {
  readonly #options: TokenValidatorOptions;
  #nextIndex: number;
  #fault: string | undefined;
  #isClosed = false;

  constructor(options: TokenValidatorOptions) {
    this.#options = options;
    this.#nextIndex = options.fromIndex;
  }

  /** Index that the next token must have. */
  get nextIndex(): number {
    return this.#nextIndex;
  }

  /** The first thing wrong with what arrived, if anything. */
  get fault(): string | undefined {
    return this.#fault;
  }

  /** Drops everything that arrives from now on. */
  close(): void {
    this.#isClosed = true;
  }

  /** Returns the tokens that may be released; after a fault, none. */
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
      return `token of attempt ${token.attemptId} in attempt ${attemptId}`;
    }
    if (token.index !== this.#nextIndex) {
      return `token ${token.index} where ${this.#nextIndex} was due`;
    }
    if (token.index >= maxTokens) {
      return `token ${token.index} past the limit of ${maxTokens}`;
    }
    if (token.ran !== signature) {
      return `token ${token.index} ran on ${token.ran}, planned ${signature}`;
    }
    return undefined;
  }
}
