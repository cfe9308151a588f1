/**
 * Calls from a stage to the next one over persistent connections. Steps that
 * become ready in one turn of the event loop are sent in one message.
 *
 * @module
 */

import { Agent, request as httpRequest } from "node:http";
import type { ChainStage } from "../../src/clients/types.ts";
import type {
  OpenMessage,
  StageError,
  StageResult,
  StageStep,
} from "./types.ts";

interface Pending {
  readonly step: StageStep;
  readonly resolve: (result: StageResult) => void;
}

/** The calls of one engine to all its next stages. */
export class StageLink {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 256 });
  readonly #pending = new Map<string, Pending[]>();

  /** Opens an attempt at `next` and later stages; returns undefined on success. */
  async open(
    next: ChainStage,
    message: OpenMessage,
  ): Promise<StageError | undefined> {
    try {
      const answer = await this.#post(next.url, "/v1/open", message);
      if (answer.status === 200) return undefined;
      return answer.data as StageError;
    } catch {
      return { error: "stage-failed", target: next.target };
    }
  }

  step(next: ChainStage, step: StageStep): Promise<StageResult> {
    return new Promise((resolve) => {
      const pending = this.#pending.get(next.url);
      if (pending) {
        pending.push({ step, resolve });
        return;
      }
      this.#pending.set(next.url, [{ step, resolve }]);
      setImmediate(() => void this.#flush(next));
    });
  }

  /** Cancels an attempt at `next`; failures are ignored. */
  async cancel(next: ChainStage, attemptId: string): Promise<void> {
    const path = `/v1/attempts/${encodeURIComponent(attemptId)}`;
    await this.#send(next.url, { path, method: "DELETE" }).catch(() => {});
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  async #flush(next: ChainStage): Promise<void> {
    const pending = this.#pending.get(next.url) ?? [];
    this.#pending.delete(next.url);
    const results = await this.#sendSteps(next, pending);
    pending.forEach(({ resolve }, index) => resolve(results[index]));
  }

  async #sendSteps(
    next: ChainStage,
    pending: readonly Pending[],
  ): Promise<readonly StageResult[]> {
    const steps = pending.map(({ step }) => step);
    try {
      const answer = await this.#post(next.url, "/v1/step", { steps });
      if (answer.status !== 200) {
        throw new Error(
          `stage answered with status ${answer.status}, expected 200`,
        );
      }
      return (answer.data as { results: StageResult[] }).results;
    } catch {
      return steps.map(() => ({ error: "stage-failed", target: next.target }));
    }
  }

  #post(url: string, path: string, data: unknown): Promise<StageAnswer> {
    return this.#send(url, {
      path,
      method: "POST",
      body: JSON.stringify(data),
    });
  }

  #send(
    url: string,
    message: { path: string; method: string; body?: string },
  ): Promise<StageAnswer> {
    const { path, method, body } = message;
    return new Promise((resolve, reject) => {
      const request = httpRequest(new URL(path, url), {
        method,
        agent: this.#agent,
        headers: {
          "content-type": "application/json",
          "content-length": body === undefined ? 0 : Buffer.byteLength(body),
        },
      });
      request.once("error", reject);
      request.once("response", (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.once("error", reject);
        response.once("end", () => {
          const text = Buffer.concat(chunks).toString("utf8");
          try {
            const data = JSON.parse(text) as unknown;
            resolve({ status: response.statusCode ?? 0, data });
          } catch (error) {
            reject(error);
          }
        });
      });
      request.end(body);
    });
  }
}

interface StageAnswer {
  readonly status: number;
  readonly data: unknown;
}
