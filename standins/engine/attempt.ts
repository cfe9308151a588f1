/**
 * One attempt as the first engine of its chain keeps it: the tokens so far
 * and whoever listens to them.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type {
  EngineEnd,
  EngineToken,
  GenerateRequest,
} from "../../src/clients/types.ts";
import type { StageError } from "./types.ts";

/** How an attempt finished. */
export type AttemptFinish = EngineEnd | StageError;

interface Listener {
  readonly response: ServerResponse;
  /** Tokens still to be sent before the connection is cut, if it is. */
  cutAfterTokens: number | undefined;
}

/** The tokens of one attempt and its listener. */
export class Attempt {
  readonly #tokens: EngineToken[] = [];
  #listener: Listener | undefined;
  #finish: AttemptFinish | undefined;

  /** Wall-clock time since which nobody listens. */
  detachedSinceWallMs: number | undefined;

  constructor(readonly request: GenerateRequest) {}

  get isFinished(): boolean {
    return this.#finish !== undefined;
  }

  /** Index of the next token of the whole answer. */
  get nextIndex(): number {
    return this.request.generated.length + this.#tokens.length;
  }

  /** Streams to `response` from `fromIndex` on; false when that is not kept. */
  listen(
    response: ServerResponse,
    options: { fromIndex: number; cutAfterTokens?: number },
  ): boolean {
    const skipped = options.fromIndex - this.request.generated.length;
    if (skipped < 0 || skipped > this.#tokens.length) return false;
    this.#listener?.response.destroy();
    this.#listener = { response, cutAfterTokens: options.cutAfterTokens };
    this.detachedSinceWallMs = undefined;
    response.once("close", () => this.#detach(response));
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    for (const token of this.#tokens.slice(skipped)) this.#sendToken(token);
    if (this.#finish) this.#sendFinish(this.#finish);
    return true;
  }

  /** Marks that nobody listens yet or any more. */
  markDetached(): void {
    this.detachedSinceWallMs ??= Date.now();
  }

  /** Keeps and sends one token. */
  add(token: EngineToken): void {
    this.#tokens.push(token);
    this.#sendToken(token);
  }

  /** Keeps and sends the end, or the failure. */
  finish(finish: AttemptFinish): void {
    if (this.#finish) return;
    this.#finish = finish;
    this.#sendFinish(finish);
  }

  #sendToken(token: EngineToken): void {
    const listener = this.#listener;
    if (!listener) return;
    if (listener.cutAfterTokens === 0) {
      listener.response.socket?.destroy();
      return this.#detach(listener.response);
    }
    if (listener.cutAfterTokens !== undefined) listener.cutAfterTokens--;
    listener.response.write(event("token", token));
  }

  #sendFinish(finish: AttemptFinish): void {
    const listener = this.#listener;
    if (!listener) return;
    if (listener.cutAfterTokens !== undefined) {
      listener.response.socket?.destroy();
      return this.#detach(listener.response);
    }
    listener.response.end(event("error" in finish ? "error" : "end", finish));
  }

  #detach(response: ServerResponse): void {
    if (this.#listener?.response !== response) return;
    this.#listener = undefined;
    this.markDetached();
  }
}

function event(name: string, data: unknown): string {
  return `event: ${name}\ndata: ${JSON.stringify(data)}\n\n`;
}
