/**
 * Forwards the events of a response in order, whole events only, and pauses the
 * response while the receiver is slower.
 *
 * @module
 */

import { EventReader } from "./event_reader.ts";
import type { SendOutcome } from "./upstream.ts";

type UpstreamResponse = Extract<SendOutcome, { readonly kind: "answer" }>;

export type ForwardResult =
  | { readonly kind: "complete" }
  | { readonly kind: "broken"; readonly reason: string };

/** Receiver of events. */
export interface EventSink {
  readonly lastEventId: number | undefined;
  /** Returns false on backpressure; `resume` is then called later. */
  readonly onEvents: (
    bytes: Buffer,
    lastEventId: number | undefined,
  ) => boolean;
}

export interface EventForwarderOptions {
  readonly outcome: UpstreamResponse;
  readonly sink: EventSink;
  /** Called for each batch of events that carry data. */
  readonly onProgress: () => void;
}

export class EventForwarder {
  readonly #options: EventForwarderOptions;
  #isPaused = false;
  #isStopped = false;

  constructor(options: EventForwarderOptions) {
    this.#options = options;
  }

  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** Forwards no further events. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Continues after backpressure. */
  resume(): void {
    this.#isPaused = false;
    this.#options.outcome.answer.resume();
  }

  /** Resolves when the response has ended, whole or not. */
  run(): Promise<ForwardResult> {
    const { outcome: { answer, hasFailed }, sink, onProgress } = this.#options;
    const reader = new EventReader();
    let lastId = sink.lastEventId;
    return new Promise((resolve) => {
      const fail = (reason: string): void => {
        resolve({ kind: "broken", reason });
        answer.destroy();
      };
      answer.on("data", (chunk: Buffer) => {
        if (this.#isStopped) return;
        const batch = reader.push(chunk);
        if (reader.isOversized) {
          fail("event exceeds the maximum size");
          return;
        }
        if (batch === undefined) return;
        for (const id of batch.ids) {
          if (id === undefined) continue;
          if (lastId !== undefined && id !== lastId + 1) {
            fail(`event id ${id} is not the successor of ${lastId}`);
            return;
          }
          lastId = id;
        }
        if (batch.hasFields) onProgress();
        if (!sink.onEvents(batch.bytes, lastId)) {
          answer.pause();
          this.#isPaused = true;
        }
      });
      answer.on("end", () => {
        if (!answer.complete || hasFailed()) fail("stream truncated");
        else if (reader.pendingBytes > 0) fail("stream ended inside an event");
        else resolve({ kind: "complete" });
      });
      answer.on("close", () => fail("stream truncated"));
    });
  }
}
