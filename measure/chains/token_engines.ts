/**
 * Engines that generate tokens through a chain with realistic timing, on top of
 * the fake engines of a capacity fleet. Stages can be killed, frozen and slowed
 * in mid-stream.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { FakeEngines } from "../../test/pipelines_fakes.ts";
import type { Clock } from "../../src/common/clock.ts";
import type { Random } from "../../src/common/random.ts";
import { mayHaveRun, notRun, type Outcome } from "../../src/common/verdict.ts";
import type { IEngineClient } from "../../src/clients/services.ts";
import {
  chainSignature,
  type EngineEnd,
  type GenerateRequest,
} from "../../src/clients/types.ts";

const TOKEN_MS = 30;
const TOKEN_JITTER = 0.3;
/** Share of tokens that are late without a fault, and by which factor. */
const LATE_TOKEN_SHARE = 0.01;
const LATE_FACTOR = 4;
const PREFILL_MS = 80;
const PREFILL_TOKEN_MS = 0.2;
/** Interval at which a wait checks whether its chain has broken. */
const WAIT_SLICE_MS = 5;
/** Time until the first engine closes the stream of a broken chain. */
const BREAK_DETECTION_MS = 2;

type Generate = IEngineClient["generate"];

/** Generates tokens itself; state and order calls go to `engines`. */
export class TokenEngines implements IEngineClient {
  /** Factor on the token time, by target. */
  readonly slowFactors = new Map<string, number>();
  readonly readState: IEngineClient["readState"];
  readonly order: IEngineClient["order"];

  constructor(
    readonly engines: FakeEngines,
    readonly clock: Clock,
    readonly random: Random,
  ) {
    this.readState = (...call) => engines.readState(...call);
    this.order = (...call) => engines.order(...call);
  }

  async generate(
    _url: string,
    request: GenerateRequest,
    options: Parameters<Generate>[2],
  ): Promise<Outcome<EngineEnd>> {
    const rejection = this.#rejection(request);
    if (rejection) return rejection;
    const prefix = request.generated.length;
    await this.#wait(PREFILL_MS + prefix * PREFILL_TOKEN_MS, request);
    for (let index = prefix; index < request.maxTokens; index++) {
      await this.#wait(this.#tokenMs(), request);
      if (options.signal?.aborted) return streamBroken();
      if (this.#isBroken(request)) {
        await this.clock.sleep(BREAK_DETECTION_MS);
        return streamBroken();
      }
      if (this.#isFrozen(request)) return await this.#hang(options);
      const { attemptId, chain } = request;
      const ran = chainSignature(chain);
      options.onTokens([{ attemptId, index, id: index, text: "x", ran }]);
    }
    const { attemptId, maxTokens } = request;
    return new Ok({ attemptId, tokenCount: maxTokens, reason: "length" });
  }

  reattach(): ReturnType<IEngineClient["reattach"]> {
    return Promise.resolve(notRun("target-refused", "unknown attempt"));
  }

  cancel(): ReturnType<IEngineClient["cancel"]> {
    return Promise.resolve(new Ok(undefined));
  }

  #tokenMs(): number {
    const isLate = this.random() < LATE_TOKEN_SHARE;
    const jitter = 1 + (this.random() - 0.5) * 2 * TOKEN_JITTER;
    return TOKEN_MS * jitter * (isLate ? LATE_FACTOR : 1);
  }

  #rejection(request: GenerateRequest): Outcome<EngineEnd> | undefined {
    const first = this.engines.engines.get(request.chain[0].target)!;
    if (first.settings.isDown) {
      return notRun("connection-failed", "connection refused");
    }
    const isStale = request.chain.some(({ target, generation }) => {
      const { state, settings } = this.engines.engines.get(target)!;
      return !settings.isDown &&
        (state.loading || state.generation !== generation);
    });
    return isStale
      ? notRun("stale-generation", "chain has a stale generation")
      : undefined;
  }

  /** Waits in slices, so that a killed stage ends the wait at once. */
  async #wait(waitMs: number, request: GenerateRequest): Promise<void> {
    let leftMs = waitMs;
    while (leftMs > 0 && !this.#isBroken(request)) {
      const factor = Math.max(
        ...request.chain.map(({ target }) => this.slowFactors.get(target) ?? 1),
      );
      const sliceMs = Math.min(leftMs * factor, WAIT_SLICE_MS);
      await this.clock.sleep(sliceMs);
      leftMs -= sliceMs / factor;
    }
  }

  #isBroken({ chain }: GenerateRequest): boolean {
    return chain.some(({ target }) =>
      this.engines.engines.get(target)!.settings.isDown
    );
  }

  #isFrozen({ chain }: GenerateRequest): boolean {
    return chain.some(({ target }) =>
      this.engines.engines.get(target)!.settings.isFrozen
    );
  }

  async #hang(
    options: Parameters<Generate>[2],
  ): Promise<Outcome<EngineEnd>> {
    const leftMs = options.deadlineMs - this.clock.nowMs();
    await this.clock.sleep(leftMs, options.signal);
    return streamBroken();
  }
}

function streamBroken(): Outcome<EngineEnd> {
  return mayHaveRun("connection-failed", "stream ended before the last token");
}
