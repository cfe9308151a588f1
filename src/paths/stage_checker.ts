/**
 * Asks the stages of a path whether they are well. Many streams share a stage,
 * so that one question serves all that ask about the same time.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import type { ITargetControl } from "../ports/services.ts";
import type { PathStage, TargetReport } from "../ports/types.ts";
import { takeReport } from "./take_report.ts";
import type { TargetBook } from "./target_book.ts";

/** A sound target reports within some milliseconds. */
const ANSWER_WITHIN_MS = 70;
/** Without an answer by now another connection is tried: one may be broken or lose packets. */
const SECOND_AFTER_MS = 25;
/** An answer this recent serves another asker. */
const REUSE_MS = 100;
/** A timer that fires this late shows that this host itself was held up. */
const HELD_UP_MS = 25;

/** Options of a checker. */
export interface StageCheckerOptions {
  readonly book: TargetBook;
  readonly control: ITargetControl;
  readonly clock: Clock;
  readonly log: ILog;
}

/** Checks stages and keeps the book. */
export class StageChecker {
  readonly #options: StageCheckerOptions;
  readonly #pending = new Map<string, Promise<void>>();

  constructor(options: StageCheckerOptions) {
    this.#options = options;
  }

  /** Resolves when each stage has answered or is marked as silent. */
  async check(stages: readonly PathStage[]): Promise<void> {
    await Promise.all(stages.map((stage) => this.#checkOnce(stage)));
  }

  #checkOnce(stage: PathStage): Promise<void> {
    const { book, clock } = this.#options;
    const target = book.get(stage.targetId);
    if (target === undefined || target.silentSinceMs !== undefined) {
      return Promise.resolve();
    }
    if (clock.nowMs() - target.reportedMs < REUSE_MS) return Promise.resolve();
    let pending = this.#pending.get(stage.targetId);
    if (pending === undefined) {
      pending = this.#ask(stage).finally(() =>
        this.#pending.delete(stage.targetId)
      );
      this.#pending.set(stage.targetId, pending);
    }
    return pending;
  }

  async #ask(stage: PathStage): Promise<void> {
    const { book, clock, log } = this.#options;
    const startedMs = clock.nowMs();
    const report = await this.#askTwice(stage);
    const target = book.get(stage.targetId);
    if (target === undefined) return;
    if (report !== undefined) {
      takeReport(target, report, book);
      return;
    }
    const tookMs = clock.nowMs() - startedMs;
    // The answer may have come while this process did not run.
    if (tookMs > ANSWER_WITHIN_MS + HELD_UP_MS) return;
    if (target.silentSinceMs !== undefined) return;
    target.markSilent();
    log.warn("target silent", {
      target: target.id,
      address: target.record.address,
      askedForMs: Math.round(tookMs),
    });
    book.notify(target);
  }

  /** The first report of two questions, the second on a connection of its own. */
  async #askTwice(stage: PathStage): Promise<TargetReport | undefined> {
    const { control, clock } = this.#options;
    const target = { id: stage.targetId, address: stage.address };
    const first = control.report(target, ANSWER_WITHIN_MS);
    const late = clock.sleep(SECOND_AFTER_MS).then(() => undefined);
    const early = await Promise.race([first, late]);
    if (early !== undefined) return early;
    const leftMs = ANSWER_WITHIN_MS - SECOND_AFTER_MS;
    const second = control.report(target, leftMs);
    return await Promise.race([
      first.then((report) => report ?? second),
      second.then((report) => report ?? first),
    ]);
  }
}
