/**
 * A model engine that holds a range of layers and drives the chains of which
 * it is the first stage.
 *
 * @module
 */

import { seededRandom } from "../../src/common/random.ts";
import type {
  EngineLoad,
  EngineOrder,
  EngineState,
  GenerateRequest,
} from "../../src/clients/types.ts";
import type { Faults } from "../common/faults.ts";
import { type Exchange, sleep, StandinServer } from "../common/server.ts";
import { AttemptRunner } from "./attempt_runner.ts";
import { Batcher } from "./batcher.ts";
import { type LoadedModel, ModelHolder } from "./model_holder.ts";
import { PrefixCache } from "./prefix_cache.ts";
import { Stage } from "./stage.ts";
import { StageLink } from "./stage_link.ts";
import type { OpenMessage, StageStep } from "./types.ts";

/** HTTP status of each error word. */
const ERROR_STATUSES: Readonly<Record<string, number>> = {
  "stale-generation": 409,
  "stale-fence": 409,
  "duplicate-attempt": 409,
  "leaving": 503,
  "overloaded": 503,
  "loading": 503,
  "unknown-attempt": 404,
};

export interface EngineOptions {
  readonly target: string;
  readonly loaded: LoadedModel;
  readonly faults: Faults;
  readonly checksFence?: boolean;
  /** Time that one batch takes in this stage. */
  readonly tokenMs?: number;
  readonly prefillMsPerToken?: number;
  readonly maxBatch?: number;
  readonly maxAttempts?: number;
  /** How long an attempt runs on after its listener went away. */
  readonly graceMs?: number;
  readonly loadLagMs?: number;
  readonly crashMarker?: string;
  readonly cacheTokens?: number;
  readonly cacheEventDelayMs?: number;
  readonly cacheEventLoss?: number;
  readonly seed?: number;
  /** Fetches the weights of a span; at once by default. */
  readonly load?: (loaded: LoadedModel, signal: AbortSignal) => Promise<void>;
}

/** The engine. */
export class Engine {
  readonly #options: EngineOptions;
  readonly #holder: ModelHolder;
  readonly #cache: PrefixCache;
  readonly #link = new StageLink();
  readonly #stage: Stage;
  readonly #maxBatch: number;
  readonly #runner: AttemptRunner;
  #load: EngineLoad = { running: 0, queued: 0, asOfWallMs: 0 };

  readonly server: StandinServer;

  constructor(options: EngineOptions) {
    const { target, faults } = options;
    this.#options = options;
    this.#maxBatch = options.maxBatch ?? 64;
    this.#holder = new ModelHolder({
      target,
      loaded: options.loaded,
      checksFence: options.checksFence ?? false,
      load: options.load ?? (() => Promise.resolve()),
    });
    this.#cache = new PrefixCache({
      maxTokens: options.cacheTokens ?? 65_536,
      eventDelayMs: options.cacheEventDelayMs ?? 500,
      eventLoss: options.cacheEventLoss ?? 0.1,
      random: seededRandom(options.seed ?? 1),
    });
    this.#stage = new Stage({
      target,
      faults,
      holder: this.#holder,
      batcher: new Batcher({
        faults,
        tokenMs: options.tokenMs ?? 0,
        maxBatch: this.#maxBatch,
      }),
      cache: this.#cache,
      link: this.#link,
      prefillMsPerToken: options.prefillMsPerToken ?? 0,
      crashMarker: options.crashMarker ?? "",
      maxAttempts: options.maxAttempts ?? 4_096,
    });
    this.#runner = new AttemptRunner({
      target,
      stage: this.#stage,
      graceMs: options.graceMs ?? 2_000,
      load: () => this.#currentLoad(Date.now()),
    });
    this.server = new StandinServer({
      faults,
      handle: (exchange) => this.#handle(exchange),
      reports: {
        counts: () => ({
          open: this.#stage.openCount,
          started: this.#stage.startedCount,
        }),
      },
    });
  }

  /** What the engine publishes about itself. */
  get state(): EngineState {
    const { faults, target, loadLagMs = 500 } = this.#options;
    const nowWallMs = Date.now();
    if (nowWallMs - this.#load.asOfWallMs >= loadLagMs) {
      this.#load = this.#currentLoad(nowWallMs);
    }
    return {
      target,
      ...this.#holder.loaded,
      generation: this.#holder.generation,
      fence: this.#holder.fence,
      leaving: faults.isLeaving,
      loading: this.#holder.isLoading,
      load: this.#load,
    };
  }

  /** Attempts open at this stage, and attempts that were ever opened. */
  get counts(): { open: number; started: number } {
    return { open: this.#stage.openCount, started: this.#stage.startedCount };
  }

  /** Stops the engine's timers, connections and listener. */
  async close(): Promise<void> {
    this.#runner.close();
    this.#link.close();
    await this.server.close();
  }

  #handle(exchange: Exchange): Promise<void> | void {
    const [version, resource, id, action] = exchange.path;
    const route = `${exchange.method} ${version}/${resource}`;
    switch (route) {
      case "POST v1/generate":
        return this.#generate(exchange);
      case "POST v1/open":
        return this.#open(exchange);
      case "POST v1/step":
        return this.#step(exchange);
      case "POST v1/attempts":
        if (action === "reattach") return this.#reattach(exchange, id);
        break;
      case "DELETE v1/attempts":
        return this.#cancel(exchange, id);
      case "GET v1/state":
        return exchange.reply(200, this.state);
      case "POST v1/orders":
        return this.#order(exchange);
      case "GET v1/kv":
        return this.#exportKv(exchange, id);
      case "POST v1/kv":
        this.#cache.insert(exchange.json<{ blocks: string[] }>().blocks);
        return exchange.reply(200, {});
      case "GET v1/cache-events": {
        const from = Number(exchange.query.get("from") ?? 0);
        return exchange.reply(200, { events: this.#cache.events(from) });
      }
    }
    return replyWithError(exchange, { error: "not-found" });
  }

  async #generate(exchange: Exchange): Promise<void> {
    const { faults } = this.#options;
    const request = exchange.json<GenerateRequest>();
    const failure = await this.#stage.open({ request, stageIndex: 0 });
    const { attemptId } = request;
    if (failure) return replyWithError(exchange, { ...failure, attemptId });
    const attempt = this.#runner.start(request);
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    await faults.untilThawed();
    if (faults.consumeLostAnswer() || exchange.response.destroyed) {
      attempt.markDetached();
      exchange.response.socket?.destroy();
      return;
    }
    attempt.listen(exchange.response, {
      fromIndex: request.generated.length,
      cutAfterTokens: faults.nextCutAfterTokens(),
    });
  }

  async #open(exchange: Exchange): Promise<void> {
    const failure = await this.#stage.open(exchange.json<OpenMessage>());
    if (failure) return replyWithError(exchange, failure);
    await exchange.reply(200, {});
  }

  async #step(exchange: Exchange): Promise<void> {
    const { steps } = exchange.json<{ steps: StageStep[] }>();
    const results = await Promise.all(
      steps.map((step) => this.#stage.step(step)),
    );
    await exchange.reply(200, { results });
  }

  #reattach(exchange: Exchange, attemptId: string): Promise<void> | void {
    const { fromIndex } = exchange.json<{ fromIndex: number }>();
    const attempt = this.#runner.attempt(attemptId);
    const cutAfterTokens = this.#options.faults.nextCutAfterTokens();
    const options = { fromIndex, cutAfterTokens };
    if (attempt?.listen(exchange.response, options)) return;
    return replyWithError(exchange, { error: "unknown-attempt", attemptId });
  }

  async #cancel(exchange: Exchange, attemptId: string): Promise<void> {
    await this.#runner.end(attemptId, "cancelled");
    await exchange.reply(200, {});
  }

  #order(exchange: Exchange): Promise<void> {
    const order = exchange.json<EngineOrder>();
    if (!this.#holder.order(order)) {
      return replyWithError(exchange, { error: "stale-fence" });
    }
    return exchange.reply(200, this.state);
  }

  #exportKv(exchange: Exchange, attemptId: string): Promise<void> {
    const request = this.#runner.attempt(attemptId)?.request ??
      this.#stage.request(attemptId);
    if (!request) return replyWithError(exchange, { error: "unknown-attempt" });
    const words = request.prompt.split(/\s+/).filter(Boolean);
    const blocks = this.#cache.exportBlocks(request.cacheScope, words);
    return exchange.reply(200, { blocks });
  }

  #currentLoad(asOfWallMs: number): EngineLoad {
    const openCount = this.#stage.openCount;
    const running = Math.min(openCount, this.#maxBatch);
    return { running, queued: openCount - running, asOfWallMs };
  }
}

function replyWithError(
  exchange: Exchange,
  failure: { readonly error: string; readonly attemptId?: string },
): Promise<void> {
  return exchange.reply(ERROR_STATUSES[failure.error] ?? 502, failure);
}
