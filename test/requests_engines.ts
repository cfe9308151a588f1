/**
 * Engines in memory, chained by spans, whose faults strike at a chosen token.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Clock } from "../src/common/clock.ts";
import { hash32 } from "../src/common/hash.ts";
import { mayHaveRun, notRun, type Outcome } from "../src/common/verdict.ts";
import type { IEngineClient, TokenListener } from "../src/clients/services.ts";
import {
  type CallOptions,
  chainSignature,
  type EngineEnd,
  type EngineState,
  type EngineToken,
  type GenerateRequest,
} from "../src/clients/types.ts";

/** Faults of engines and of what they send. */
export const ENGINE_FAULTS = [
  "kill",
  "freeze",
  "cut",
  "crawl",
  "respan",
  "foreign",
  "duplicate",
  "reorder",
  "lost-tail",
  "late",
] as const;
export type EngineFault = typeof ENGINE_FAULTS[number];

/** One fault: it strikes a stage of the chain that computes token `atIndex`. */
export interface PlannedFault {
  readonly fault: EngineFault;
  readonly atIndex: number;
  readonly stage: number;
}

/** Content that crashes a stage when it computes a token. */
export interface PlannedCrash {
  readonly atIndex: number;
  readonly stage: number;
}

interface TestEngine {
  readonly target: string;
  first: number;
  end: number;
  generation: number;
  state: "alive" | "frozen" | "dead";
  isSlow: boolean;
}

interface TestAttempt {
  readonly request: GenerateRequest;
  readonly tokens: EngineToken[];
  end?: "stop" | "broken" | "failed";
  isCut: boolean;
  isCancelled: boolean;
  /** Tokens after these are computed but never arrive. */
  lostFromIndex: number;
  /** Nothing is sent before this time, and then all of it. */
  delayedUntilMs: number;
}

export const LAYER_COUNT = 12;
export const TOKEN_MS = 10;
const SLOW_TOKEN_MS = 5_000;
const DELIVERY_DELAY_MS = 700;

/** The text that an unbroken generation of token `index` gives. */
export function expectedText(prompt: string, index: number): string {
  return `${hash32(`${prompt}/${index}`) % 1_000} `;
}

/** Engines that hold spans of one model, reached by the service under test. */
export class TestEngines implements IEngineClient {
  readonly engines = new Map<string, TestEngine>();
  readonly attempts = new Map<string, TestAttempt>();
  /** Targets lost to each prompt that crashes its targets. */
  readonly crashedTargets = new Map<string, Set<string>>();
  readonly #crash: (prompt: string) => PlannedCrash | undefined;
  readonly #onCrash: (target: string) => void;
  readonly #clock: Clock;
  readonly #length: number;
  #faults: PlannedFault[];

  constructor(
    options: {
      clock: Clock;
      length: number;
      faults?: PlannedFault[];
      crash?: (prompt: string) => PlannedCrash | undefined;
      onCrash?: (target: string) => void;
    },
  ) {
    this.#onCrash = options.onCrash ?? (() => {});
    this.#crash = options.crash ?? (() => undefined);
    this.#clock = options.clock;
    this.#length = options.length;
    this.#faults = [...(options.faults ?? [])];
  }

  add(target: string, span: { first: number; end: number }): void {
    const engine: TestEngine = {
      target,
      ...span,
      generation: 1,
      state: "alive",
      isSlow: false,
    };
    this.engines.set(target, engine);
  }

  async generate(
    url: string,
    request: GenerateRequest,
    options: CallOptions & { onTokens: TokenListener },
  ): Promise<Outcome<EngineEnd>> {
    const first = this.#engineAt(url);
    await this.#clock.sleep(1);
    if (first.state === "dead") {
      return notRun("connection-failed", `${url} refused the connection`);
    }
    for (const stage of request.chain) {
      if (this.#engineAt(stage.url).generation !== stage.generation) {
        return notRun("stale-generation", `${stage.target} has changed`);
      }
    }
    const attempt: TestAttempt = {
      request,
      tokens: [],
      isCut: false,
      isCancelled: false,
      lostFromIndex: Infinity,
      delayedUntilMs: 0,
    };
    this.attempts.set(request.attemptId, attempt);
    void this.#generateTokens(attempt);
    return await this.#deliver(attempt, request.generated.length, options);
  }

  async reattach(
    url: string,
    { attemptId, fromIndex }: { attemptId: string; fromIndex: number },
    options: CallOptions & { onTokens: TokenListener },
  ): Promise<Outcome<EngineEnd>> {
    await this.#clock.sleep(1);
    const attempt = this.attempts.get(attemptId);
    if (this.#engineAt(url).state === "dead" || attempt === undefined) {
      return notRun("connection-failed", `${url} refused the connection`);
    }
    attempt.isCut = false;
    return await this.#deliver(attempt, fromIndex, options);
  }

  cancel(_url: string, attemptId: string): Promise<Outcome<void>> {
    const attempt = this.attempts.get(attemptId);
    if (attempt) attempt.isCancelled = true;
    return Promise.resolve(Ok.EMPTY);
  }

  async readState(
    url: string,
    options: CallOptions,
  ): Promise<Outcome<EngineState>> {
    const engine = this.#engineAt(url);
    await this.#clock.sleep(1);
    if (engine.state === "dead") {
      return notRun("connection-failed", `${url} refused the connection`);
    }
    if (engine.state === "frozen") {
      await this.#clock.sleep(options.deadlineMs - this.#clock.nowMs());
      return mayHaveRun("deadline-exceeded", `${url} did not answer`);
    }
    const { target, first, end, generation } = engine;
    return new Ok({
      target,
      first,
      end,
      generation,
      model: "m",
      version: "v1",
      adapters: [],
      role: "both",
      fence: 0,
      leaving: false,
      loading: false,
      load: { running: 0, queued: 0, asOfWallMs: 0 },
    });
  }

  order(): Promise<Outcome<EngineState>> {
    return Promise.resolve(notRun("internal", "not ordered here"));
  }

  #engineAt(url: string): TestEngine {
    const engine = this.engines.get(url.slice("http://".length));
    if (engine === undefined) throw new Error(`no engine at ${url}`);
    return engine;
  }

  /** Computes token after token as long as every stage runs. */
  async #generateTokens(attempt: TestAttempt): Promise<void> {
    const { request, tokens } = attempt;
    const chain = request.chain.map((stage) => this.#engineAt(stage.url));
    const last = Math.min(this.#length, request.maxTokens);
    for (let index = request.generated.length; index < last; index += 1) {
      this.#injectDueFaults(attempt, index, chain);
      const isSlow = chain.some((engine) => engine.isSlow);
      await this.#clock.sleep(isSlow ? SLOW_TOKEN_MS : TOKEN_MS);
      if (attempt.isCancelled || attempt.end) return;
      this.#crashOn(request.prompt, index, chain);
      if (chain.some((engine) => engine.state === "frozen")) return;
      const deadStage = chain.findIndex((engine) => engine.state === "dead");
      if (deadStage >= 0) {
        attempt.end = deadStage === 0 ? "broken" : "failed";
        return;
      }
      tokens.push(this.#compute(attempt, index, chain));
    }
    attempt.end ??= "stop";
  }

  #compute(
    { request }: TestAttempt,
    index: number,
    chain: readonly TestEngine[],
  ): EngineToken {
    const ends = [0, ...chain.map((engine) => engine.end)];
    const isChainComplete =
      chain.every((engine, at) => engine.first === ends[at]) &&
      ends.at(-1) === LAYER_COUNT;
    const text = isChainComplete
      ? expectedText(request.prompt, index)
      : "wrong ";
    const { attemptId } = request;
    const ran = chainSignature(chain);
    return { attemptId, index, id: hash32(text), text, ran };
  }

  #crashOn(
    prompt: string,
    index: number,
    chain: readonly TestEngine[],
  ): void {
    const crash = this.#crash(prompt);
    if (crash?.atIndex !== index) return;
    const engine = chain[crash.stage % chain.length];
    if (engine.state !== "alive") return;
    engine.state = "dead";
    const crashed = this.crashedTargets.get(prompt) ?? new Set<string>();
    this.crashedTargets.set(prompt, crashed.add(engine.target));
    this.#onCrash(engine.target);
  }

  #injectDueFaults(
    attempt: TestAttempt,
    index: number,
    chain: readonly TestEngine[],
  ): void {
    const due = this.#faults.filter((planned) => planned.atIndex === index);
    this.#faults = this.#faults.filter((planned) => planned.atIndex !== index);
    for (const { fault, stage } of due) {
      this.#injectFault(fault, attempt, chain[stage % chain.length]);
    }
  }

  #injectFault(
    fault: EngineFault,
    attempt: TestAttempt,
    engine: TestEngine,
  ): void {
    const { tokens } = attempt;
    const last = tokens.at(-1);
    switch (fault) {
      case "kill":
        engine.state = "dead";
        return;
      case "freeze":
        engine.state = "frozen";
        return;
      case "crawl":
        engine.isSlow = true;
        return;
      case "cut":
        attempt.isCut = true;
        return;
      case "respan":
        engine.first += 1;
        engine.generation += 1;
        return;
      case "foreign":
        if (last) {
          tokens.push({ ...last, attemptId: "other", index: last.index + 1 });
        }
        return;
      case "duplicate":
        if (last) tokens.push(last);
        return;
      case "reorder":
        if (last) tokens.push({ ...last, index: last.index + 2 });
        return;
      case "lost-tail":
        attempt.lostFromIndex = tokens.length;
        return;
      case "late":
        attempt.delayedUntilMs = this.#clock.nowMs() + DELIVERY_DELAY_MS;
        return;
    }
  }

  async #deliver(
    attempt: TestAttempt,
    fromIndex: number,
    options: CallOptions & { onTokens: TokenListener },
  ): Promise<Outcome<EngineEnd>> {
    const { attemptId, generated } = attempt.request;
    let sent = fromIndex - generated.length;
    while (this.#clock.nowMs() < options.deadlineMs) {
      if (attempt.isCut) {
        return mayHaveRun("connection-failed", "the connection broke");
      }
      const delayMs = attempt.delayedUntilMs - this.#clock.nowMs();
      if (delayMs > 0) await this.#clock.sleep(delayMs);
      const arriving = attempt.tokens.slice(sent, attempt.lostFromIndex);
      if (arriving.length > 0) options.onTokens(arriving);
      sent += arriving.length;
      const tokenCount = generated.length + attempt.tokens.length;
      if (attempt.end === "stop") {
        return new Ok({ attemptId, tokenCount, reason: "stop" });
      }
      if (attempt.end === "broken") {
        return mayHaveRun("connection-failed", "the connection broke");
      }
      if (attempt.end === "failed") {
        return mayHaveRun("target-failed", "a later stage was lost");
      }
      if (attempt.isCancelled) break;
      await this.#clock.sleep(TOKEN_MS);
    }
    return mayHaveRun("cancelled", "the attempt was cancelled");
  }
}
