/**
 * Asks the stages of a path whether they are well. Many streams share a stage,
 * so that one question serves all that ask about the same time.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ITargetControl } from "../ports/services.ts";
import type { PathStage } from "../ports/types.ts";
import { takeReport } from "./take_report.ts";
import type { Target } from "./target.ts";
import type { TargetBook } from "./target_book.ts";

/** A sound target reports within some milliseconds. */
const ANSWER_WITHIN_MS = 70;
/** The same at most, where answers came late: this host's own link may be full. */
const MAX_ANSWER_WITHIN_MS = 300;
/** A question runs on for this long after its target counts as silent. */
const LATE_ANSWER_MS = 400;
/** Answers may take this many times as long as the slowest of late. */
const SLOW_FACTOR = 2.5;
/** For how long a slow answer counts. */
const SLOW_FOR_MS = 2_000;
/** Without an answer by now another connection is tried: one may be broken or lose packets. */
const SECOND_AFTER_MS = 25;
/** An answer this recent serves another asker. */
const REUSE_MS = 100;
/** A witness in another failure domain goes before one that answered this much later. */
const ELSEWHERE_MS = 5_000;
/** A timer that fires this late shows that this host itself was held up. */
const HELD_UP_MS = 25;

/** Options of a checker. */
export interface StageCheckerOptions {
  readonly book: TargetBook;
  readonly control: ITargetControl;
  readonly clock: Clock;
}

/** Checks stages and keeps the book. */
export class StageChecker {
  readonly #options: StageCheckerOptions;
  readonly #pending = new Map<string, Promise<void>>();
  readonly #heardMs = new Map<string, number>();
  #witnesses = 0;
  #slowestMs = 0;
  #slowUntilMs = -Infinity;

  constructor(options: StageCheckerOptions) {
    this.#options = options;
    options.book.onChange(({ id, isGone }) => {
      if (isGone) this.#heardMs.delete(id);
    });
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
    const { clock } = this.#options;
    const withinMs = this.#withinMs;
    const startedMs = clock.nowMs();
    if (await this.#isAnswered(stage, withinMs)) return;
    // The answer may have come while this process did not run.
    const tookMs = clock.nowMs() - startedMs;
    if (tookMs > withinMs + HELD_UP_MS) return;
    if (this.#hasHeardOther(stage.targetId, startedMs)) {
      this.#markSilent(stage, tookMs);
      return;
    }
    // Nobody else answered meanwhile; perhaps nothing reaches this host.
    const witness = this.#witnessFor(stage.targetId);
    const [isSound] = await Promise.all([
      this.#isAnswered(stage, withinMs),
      witness && this.#isAnswered(witness, withinMs),
    ]);
    if (isSound) return;
    const isCredible = witness === undefined ||
      this.#hasHeardOther(stage.targetId, startedMs);
    if (isCredible) {
      this.#markSilent(stage, clock.nowMs() - startedMs);
    } else this.#heardMs.delete(witness.targetId);
  }

  #markSilent({ targetId }: AskedStage, askedForMs: number): void {
    this.#options.book.markSilent(targetId, {
      askedForMs: Math.round(askedForMs),
    });
  }

  /** Two questions, the second on a connection of its own; later answers still count. */
  async #isAnswered(
    { targetId, address }: AskedStage,
    withinMs: number,
  ): Promise<boolean> {
    const { clock } = this.#options;
    const ask = () => this.#report({ id: targetId, address });
    const first = ask();
    const early = clock.sleep(SECOND_AFTER_MS).then(() => undefined);
    if (await Promise.race([first, early]) === true) return true;
    const second = ask();
    const late = clock.sleep(withinMs - SECOND_AFTER_MS).then(() => false);
    return await Promise.race([
      first.then((isAnswered) => isAnswered || second),
      second.then((isAnswered) => isAnswered || first),
      late,
    ]);
  }

  async #report(
    target: { readonly id: string; readonly address: string },
  ): Promise<boolean> {
    const { control, book, clock } = this.#options;
    const startedMs = clock.nowMs();
    const report = await control.report(target, LATE_ANSWER_MS);
    if (report === undefined) return false;
    const nowMs = clock.nowMs();
    this.#heardMs.set(target.id, nowMs);
    const tookMs = nowMs - startedMs;
    if (tookMs >= this.#slowestMs || nowMs > this.#slowUntilMs) {
      this.#slowestMs = tookMs;
      this.#slowUntilMs = nowMs + SLOW_FOR_MS;
    }
    const known = book.get(target.id);
    if (known !== undefined) takeReport(known, report, book);
    return true;
  }

  get #withinMs(): number {
    if (this.#options.clock.nowMs() > this.#slowUntilMs) {
      return ANSWER_WITHIN_MS;
    }
    return Math.min(
      MAX_ANSWER_WITHIN_MS,
      Math.max(ANSWER_WITHIN_MS, this.#slowestMs * SLOW_FACTOR),
    );
  }

  #hasHeardOther(id: string, sinceMs: number): boolean {
    for (const [other, heardMs] of this.#heardMs) {
      if (other !== id && heardMs >= sinceMs) return true;
    }
    return false;
  }

  /** The target that answered last, if one did in another failure domain. */
  #witnessFor(id: string): AskedStage | undefined {
    const { book } = this.#options;
    const asked = book.get(id);
    if (asked === undefined) return undefined;
    const others = book.ofService(asked.record.service).filter((target) =>
      target !== asked && target.silentSinceMs === undefined
    );
    const rankOf = (target: Target): number => {
      const heardMs = this.#heardMs.get(target.id);
      if (heardMs === undefined) return -1;
      const isElsewhere = target.record.domain !== asked.record.domain;
      return heardMs + (isElsewhere ? ELSEWHERE_MS : 0);
    };
    // Among those never heard, each is tried in turn.
    const start = this.#witnesses++ % Math.max(1, others.length);
    const turned = [...others.slice(start), ...others.slice(0, start)];
    const best = turned.reduce<Target | undefined>(
      (best, target) =>
        best === undefined || rankOf(target) > rankOf(best) ? target : best,
      undefined,
    );
    return best && { targetId: best.id, address: best.record.address };
  }
}

type AskedStage = Pick<PathStage, "targetId" | "address">;
