/**
 * Attributes the failed sends of one call to the shared parts of its prompt. A
 * part can only be the cause of a failure before the first event of a send, and
 * a send that has its first event clears all parts of the prompt.
 *
 * @module
 */

import type {
  ContentQuarantine,
  SendBaseline,
} from "../admission/content_quarantine.ts";
import {
  promptPartIds,
  type SuspectContent,
} from "../admission/quarantine_ids.ts";

/** Digits of a content's id that tell it apart in the entry of a part. */
const SHORT_ID_DIGITS = 8;

export interface PartLossesOptions {
  readonly quarantine: ContentQuarantine;
  readonly content: SuspectContent;
}

export class PartLosses {
  readonly #quarantine: ContentQuarantine;
  readonly #ids: readonly string[];
  readonly #contentKey: string;
  /** What was known of each part when the call began its first send. */
  #baselines: readonly SendBaseline[] | undefined;

  constructor({ quarantine, content }: PartLossesOptions) {
    this.#quarantine = quarantine;
    this.#ids = promptPartIds(content.sharedPromptParts);
    this.#contentKey = content.contentId.slice(0, SHORT_ID_DIGITS);
  }

  beginSend(): void {
    this.#baselines ??= this.#ids.map((id) => this.#quarantine.baseline(id));
  }

  /** Records that a target ended before the first event of a send there. */
  recordEnd(): void {
    this.#record("losses");
  }

  /** Records a send that broke off before its first event. */
  recordBreak(): void {
    this.#record("breaks");
  }

  /** Records the first event of a send. */
  recordFirstEvent(): void {
    for (const id of this.#ids) this.#quarantine.recordPartProgress(id);
  }

  /** All failures of one content count once, since the content may be the cause. */
  #record(kind: "losses" | "breaks"): void {
    const baselines = this.#baselines ?? [];
    for (const [index, baseline] of baselines.entries()) {
      const id = this.#ids[index];
      if (this.#quarantine.hasRecentProgress(id)) continue;
      this.#quarantine[kind].recordLoss(id, {
        baseline: baseline[kind],
        lastEventId: undefined,
        process: this.#contentKey,
        companions: this.#ids.filter((other) => other !== id),
      });
    }
  }
}
