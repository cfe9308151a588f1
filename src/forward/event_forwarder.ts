/**
 * Forwards the events of a response in order, whole events only, and pauses the
 * response while the receiver is slower.
 *
 * @module
 */

import { type EventBatch, EventReader } from "./event_reader.ts";
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
  /** Set after a failure, too: data that were buffered before still arrive. */
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

  /** Resolves when the response has ended, whole or not; rejects if the sink throws. */
  run(): Promise<ForwardResult> {
    const { outcome: { answer, hasFailed }, sink, onProgress } = this.#options;
    const reader = new EventReader();
    let lastId = sink.lastEventId;
    return new Promise((resolve, reject) => {
      const fail = (reason: string): void => {
        this.#isStopped = true;
        resolve({ kind: "broken", reason });
        answer.destroy();
      };
      const forward = (batch: EventBatch): void => {
        const { bytes, ...valid } = validPart(batch, lastId);
        lastId = valid.lastId;
        if (bytes.length > 0) {
          if (batch.hasFields) onProgress();
          if (!sink.onEvents(bytes, lastId)) {
            answer.pause();
            this.#isPaused = true;
          }
        }
        if (valid.fault !== undefined) fail(valid.fault);
      };
      answer.on("data", (chunk: Buffer) => {
        if (this.#isStopped) return;
        const batch = reader.push(chunk);
        try {
          if (batch !== undefined) forward(batch);
        } catch (error) {
          this.#isStopped = true;
          reject(error);
          answer.destroy();
        }
        if (reader.isOversized) fail("event exceeds the maximum size");
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

interface ValidPart {
  readonly bytes: Buffer;
  /** Id of its last event, or of the last one before it. */
  readonly lastId: number | undefined;
  /** Why the part ends before the batch; undefined if it does not. */
  readonly fault: string | undefined;
}

/** The events of a batch up to the first one that cannot follow those before it. */
function validPart(
  { bytes, events }: EventBatch,
  precedingId: number | undefined,
): ValidPart {
  let lastId = precedingId;
  let endOffset = 0;
  for (const event of events) {
    const { id } = event;
    const isOutOfOrder = id !== undefined && lastId !== undefined &&
      id !== lastId + 1;
    if (event.fault !== undefined || isOutOfOrder) {
      return {
        bytes: bytes.subarray(0, endOffset),
        lastId,
        fault: event.fault === undefined
          ? `event id ${id} is not the successor of ${lastId}`
          : `event after ${lastId} is invalid: ${event.fault}`,
      };
    }
    lastId = id ?? lastId;
    endOffset = event.endOffset;
  }
  return { bytes, lastId, fault: undefined };
}
