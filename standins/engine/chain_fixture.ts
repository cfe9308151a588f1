/**
 * A chain of engine stand-ins in this process, for tests.
 *
 * @module
 */

import { systemClock } from "../../src/common/clock.ts";
import { EngineClient } from "../../src/clients/engine_client.ts";
import { HttpClient } from "../../src/clients/http_client.ts";
import type {
  CallOptions,
  ChainStage,
  EngineOrder,
  EngineToken,
  GenerateRequest,
} from "../../src/clients/types.ts";
import { Faults } from "../common/faults.ts";
import { Engine, type EngineOptions } from "./engine.ts";
import { expectedAnswer } from "./expected_answer.ts";

const STAGE_LAYERS = 2;
const STAGE_COUNT = 3;
const PROMPT = "list the cows of the valley";

/** The answer to `ChainFixture.request()`. */
export const ANSWER = expectedAnswer({
  model: "m",
  version: "v1",
  prompt: PROMPT,
  layerCount: STAGE_LAYERS * STAGE_COUNT,
  maxTokens: 40,
});

/** What a generation gave. */
export interface GenerationResult {
  readonly outcome: Awaited<ReturnType<EngineClient["generate"]>>;
  readonly tokens: readonly EngineToken[];
}

/** Three engines of two layers each, and a client. */
export class ChainFixture {
  readonly #http = new HttpClient();
  #attemptCount = 0;

  readonly client = new EngineClient({ http: this.#http });
  readonly engines: Engine[] = [];
  readonly faults: Faults[] = [];
  readonly chain: ChainStage[] = [];
  /** Stages that were told to die, by their place. */
  readonly exitedStages: number[] = [];

  /** Starts a chain; `options` apply to each engine. */
  static async start(
    options: Partial<EngineOptions> = {},
  ): Promise<ChainFixture> {
    const fixture = new ChainFixture();
    for (let place = 0; place < STAGE_COUNT; place++) {
      await fixture.#add(place, options);
    }
    return fixture;
  }

  /** URL of the first stage. */
  get url(): string {
    return this.chain[0].url;
  }

  /** A request through the chain, each with an attempt of its own. */
  request(overrides: Partial<GenerateRequest> = {}): GenerateRequest {
    return {
      attemptId: `a${this.#attemptCount++}`,
      requestId: "r1",
      model: "m",
      version: "v1",
      chain: this.chain,
      prompt: PROMPT,
      generated: [],
      maxTokens: 40,
      priority: 5,
      deadlineWallMs: Date.now() + 20_000,
      cacheScope: "c",
      ...overrides,
    };
  }

  /** An order for the layers that the stage at `place` holds already. */
  order(place: number, overrides: Partial<EngineOrder> = {}): EngineOrder {
    const { first, end } = this.chain[place];
    return {
      orderId: "o1",
      fence: 1,
      model: "m",
      version: "v1",
      adapters: [],
      role: "both",
      first,
      end,
      ...overrides,
    };
  }

  /** Sends a request and collects its tokens. */
  async generate(
    request: GenerateRequest,
    options: Partial<CallOptions> & {
      readonly onFirstToken?: () => void;
    } = {},
  ): Promise<GenerationResult> {
    const tokens: EngineToken[] = [];
    const { onFirstToken, ...callOptions } = options;
    const outcome = await this.client.generate(this.url, request, {
      ...testDeadline(),
      ...callOptions,
      onTokens: (batch) => {
        if (tokens.length === 0) onFirstToken?.();
        tokens.push(...batch);
      },
    });
    return { outcome, tokens };
  }

  /** Listens to an attempt again. */
  async reattach(
    attemptId: string,
    fromIndex: number,
  ): Promise<GenerationResult> {
    const tokens: EngineToken[] = [];
    const attempt = { attemptId, fromIndex };
    const outcome = await this.client.reattach(this.url, attempt, {
      ...testDeadline(),
      onTokens: (batch) => tokens.push(...batch),
    });
    return { outcome, tokens };
  }

  /** How many attempts each stage has open. */
  openCounts(): number[] {
    return this.engines.map((engine) => engine.counts.open);
  }

  /** For how many attempts each stage computed anything. */
  startedCounts(): number[] {
    return this.engines.map((engine) => engine.counts.started);
  }

  /** Stops everything. */
  async close(): Promise<void> {
    this.#http.dispose();
    for (const engine of this.engines) await engine.close();
  }

  async #add(place: number, options: Partial<EngineOptions>): Promise<void> {
    const first = place * STAGE_LAYERS;
    const span = { first, end: first + STAGE_LAYERS };
    const target = `t${place}`;
    const faults = new Faults({ exit: () => this.#exitStage(place) });
    const engine = new Engine({
      target,
      loaded: {
        ...span,
        model: "m",
        version: "v1",
        adapters: [],
        role: "both",
      },
      faults,
      ...options,
    });
    this.engines.push(engine);
    this.faults.push(faults);
    const url = await engine.server.listen();
    this.chain.push({ ...span, target, url, generation: 1 });
  }

  #exitStage(place: number): void {
    this.exitedStages.push(place);
    void this.engines[place].close();
  }
}

/** A deadline that no test comes near. */
export function testDeadline(): CallOptions {
  return { deadlineMs: systemClock.nowMs() + 20_000 };
}
