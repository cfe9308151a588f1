/**
 * What an engine has loaded, and the orders that change it.
 *
 * @module
 */

import type {
  EngineOrder,
  GenerateRequest,
  LayerSpan,
} from "../../src/clients/types.ts";

/** What is loaded, as an order states it. */
export type LoadedModel = Omit<EngineOrder, "orderId" | "fence">;

export interface ModelHolderOptions {
  readonly target: string;
  readonly loaded: LoadedModel;
  /** Whether an order with an old fencing number is refused. */
  readonly checksFence: boolean;
  /** Loads layers; resolves when they are in memory, rejects when aborted. */
  readonly load: (loaded: LoadedModel, signal: AbortSignal) => Promise<void>;
  /** Hears that what is loaded changes, before the new load starts. */
  readonly onReload?: () => void;
}

/** The model, version, adapters and layers of one engine. */
export class ModelHolder {
  readonly #options: ModelHolderOptions;
  #loaded: LoadedModel;
  #loading: AbortController | undefined;

  generation = 1;
  fence = 0;

  constructor(options: ModelHolderOptions) {
    this.#options = options;
    this.#loaded = options.loaded;
  }

  get loaded(): LoadedModel {
    return this.#loaded;
  }

  get isLoading(): boolean {
    return this.#loading !== undefined;
  }

  /** Takes an order; false when its fencing number is refused. */
  order(order: EngineOrder): boolean {
    if (this.#options.checksFence && order.fence < this.fence) return false;
    this.fence = order.fence;
    const { orderId: _id, fence: _fence, ...wanted } = order;
    if (describe(wanted) !== describe(this.#loaded)) this.#reload(wanted);
    return true;
  }

  /** Why a stage of a request cannot run here, if it cannot. */
  rejectionReason(
    request: GenerateRequest,
    stageIndex: number,
  ): string | undefined {
    const stage = request.chain[stageIndex];
    const { model, version, adapters } = this.#loaded;
    const matches = stage?.target === this.#options.target &&
      stage.generation === this.generation &&
      isSameSpan(stage, this.#loaded) &&
      request.model === model &&
      request.version === version &&
      (request.adapter === undefined || adapters.includes(request.adapter));
    if (!matches) return "stale-generation";
    return this.isLoading ? "loading" : undefined;
  }

  #reload(wanted: LoadedModel): void {
    this.#loading?.abort();
    const loading = new AbortController();
    this.#loading = loading;
    this.#loaded = wanted;
    this.generation++;
    this.#options.onReload?.();
    this.#options.load(wanted, loading.signal).then(
      () => this.#finish(loading),
      () => {},
    );
  }

  #finish(loading: AbortController): void {
    if (this.#loading === loading) this.#loading = undefined;
  }
}

function isSameSpan(a: LayerSpan, b: LayerSpan): boolean {
  return a.first === b.first && a.end === b.end;
}

function describe(loaded: LoadedModel): string {
  const { model, version, first, end, role } = loaded;
  const adapters = [...loaded.adapters].sort();
  return JSON.stringify([model, version, first, end, role, adapters]);
}
