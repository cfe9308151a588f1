/**
 * Discrete-event fakes for experiments with chains: targets and links that
 * process work first in, first out, and hosts that send streams of tokens
 * through the chains they select.
 *
 * @module
 */

import { FakeConfig } from "../../test/pipelines_fakes.ts";
import type { Clock } from "../../src/common/clock.ts";
import type { Random } from "../../src/common/random.ts";
import type { ConfigDocument } from "../../src/config/schema.ts";
import type { ChainStage, EngineState } from "../../src/clients/types.ts";
import { TargetDirectory } from "../../src/pipelines/target_directory.ts";

const WALL_OFFSET_MS = 1_700_000_000_000;

/** Event queue ordered by time, and the virtual clock that it drives. */
export class EventQueue implements Clock {
  readonly #heap: { atMs: number; order: number; action: () => void }[] = [];
  #nowMs = 0;
  #order = 0;

  nowMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return WALL_OFFSET_MS + this.#nowMs;
  }

  sleep(waitMs: number): Promise<void> {
    return new Promise((resolve) => this.after(waitMs, resolve));
  }

  after(waitMs: number, action: () => void): void {
    const event = {
      atMs: this.#nowMs + waitMs,
      order: this.#order++,
      action,
    };
    this.#heap.push(event);
    let index = this.#heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#isBefore(index, parent)) break;
      this.#swap(index, parent);
      index = parent;
    }
  }

  runUntil(untilMs: number): void {
    while (this.#heap.length > 0 && this.#heap[0].atMs <= untilMs) {
      const { atMs, action } = this.#pop();
      this.#nowMs = atMs;
      action();
    }
    this.#nowMs = untilMs;
  }

  #pop(): { atMs: number; action: () => void } {
    const top = this.#heap[0];
    const last = this.#heap.pop()!;
    if (this.#heap.length > 0) {
      this.#heap[0] = last;
      this.#siftDown();
    }
    return top;
  }

  #siftDown(): void {
    let index = 0;
    for (;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < this.#heap.length && this.#isBefore(child, least)) {
          least = child;
        }
      }
      if (least === index) return;
      this.#swap(index, least);
      index = least;
    }
  }

  #isBefore(a: number, b: number): boolean {
    const first = this.#heap[a];
    const second = this.#heap[b];
    if (first.atMs !== second.atMs) return first.atMs < second.atMs;
    return first.order < second.order;
  }

  #swap(a: number, b: number): void {
    const swapped = this.#heap[a];
    this.#heap[a] = this.#heap[b];
    this.#heap[b] = swapped;
  }
}

/** Processes work first in, first out, at a fixed rate. */
export class FifoServer {
  #freeAtMs = 0;

  constructor(readonly events: EventQueue, readonly tokensPerS: number) {}

  /** Calls `done` when `tokens` are processed; returns the queueing delay in ms. */
  serve(tokens: number, done: () => void): number {
    const nowMs = this.events.nowMs();
    const startMs = Math.max(nowMs, this.#freeAtMs);
    this.#freeAtMs = startMs + tokens * 1_000 / this.tokensPerS;
    this.events.after(this.#freeAtMs - nowMs, done);
    return startMs - nowMs;
  }
}

/** A fake target and the span that it publishes. */
export interface FakeTarget {
  readonly name: string;
  readonly failureDomain: string;
  readonly layerTokensPerS: number;
  readonly first: number;
  readonly end: number;
}

export interface FakeFleetOptions {
  readonly events: EventQueue;
  readonly targets: readonly FakeTarget[];
  readonly layerCount: number;
  readonly links: NonNullable<ConfigDocument["links"]>;
}

/** Targets and links of one pipeline, `p`. */
export class FakeFleet {
  readonly events: EventQueue;
  readonly config: FakeConfig;
  readonly streams = new Map<string, number>();
  readonly #options: FakeFleetOptions;
  readonly #servers = new Map<string, FifoServer>();
  readonly #links = new Map<string, FifoServer>();
  readonly #domains = new Map<string, string>();

  constructor(options: FakeFleetOptions) {
    this.#options = options;
    this.events = options.events;
    this.config = new FakeConfig(configDocument(options));
    for (const target of options.targets) {
      const { name, layerTokensPerS, first, end } = target;
      const tokensPerS = layerTokensPerS / (end - first);
      this.#servers.set(name, new FifoServer(this.events, tokensPerS));
      this.#domains.set(name, target.failureDomain);
      this.streams.set(name, 0);
    }
    for (const { from, to, tokensPerS } of options.links) {
      const link = new FifoServer(this.events, tokensPerS);
      this.#links.set(`${from}/${to}`, link);
    }
  }

  state(target: FakeTarget): EngineState {
    return {
      target: target.name,
      first: target.first,
      end: target.end,
      model: "m",
      version: "v1",
      adapters: [],
      role: "both",
      generation: 1,
      fence: 0,
      leaving: false,
      loading: false,
      load: {
        running: this.streams.get(target.name) ?? 0,
        queued: 0,
        asOfWallMs: this.events.wallMs(),
      },
    };
  }

  /** Creates the directories of hosts; all receive each report at the same time. */
  addHosts(count: number, reportEveryMs: number): TargetDirectory[] {
    const directories = Array.from(
      { length: count },
      () => new TargetDirectory({ config: this.config, clock: this.events }),
    );
    const report = () => {
      for (const target of this.#options.targets) {
        const state = this.state(target);
        for (const directory of directories) directory.recordState(state);
      }
      this.events.after(reportEveryMs, report);
    };
    report();
    return directories;
  }

  /** Sends one stream through a chain, one chunk at a time. */
  stream(
    chain: readonly ChainStage[],
    options: {
      readonly chunks: number;
      readonly chunkTokens: number;
      onChunk(waitMs: number): void;
      onEnd(): void;
    },
  ): void {
    this.#count(chain, 1);
    let remaining = options.chunks;
    const next = () => {
      if (remaining-- > 0) {
        return this.#sendChunk(chain, options.chunkTokens, onChunk);
      }
      this.#count(chain, -1);
      options.onEnd();
    };
    const onChunk = (waitMs: number) => {
      options.onChunk(waitMs);
      next();
    };
    next();
  }

  #sendChunk(
    chain: readonly ChainStage[],
    tokens: number,
    done: (waitMs: number) => void,
  ): void {
    let waitMs = 0;
    const hop = (index: number) => {
      if (index === chain.length) return done(waitMs);
      const server = this.#servers.get(chain[index].target)!;
      waitMs += server.serve(tokens, () => cross(index));
    };
    const cross = (index: number) => {
      const link = this.#linkAfter(chain, index);
      if (!link) return hop(index + 1);
      waitMs += link.serve(tokens, () => hop(index + 1));
    };
    hop(0);
  }

  #linkAfter(
    chain: readonly ChainStage[],
    index: number,
  ): FifoServer | undefined {
    if (index + 1 >= chain.length) return undefined;
    const from = this.#domains.get(chain[index].target);
    const to = this.#domains.get(chain[index + 1].target);
    return this.#links.get(`${from}/${to}`);
  }

  #count(chain: readonly ChainStage[], change: number): void {
    for (const { target } of chain) {
      this.streams.set(target, (this.streams.get(target) ?? 0) + change);
    }
  }
}

function configDocument(options: FakeFleetOptions): ConfigDocument {
  const targets: ConfigDocument["targets"] = {};
  for (const target of options.targets) {
    targets[target.name] = {
      kind: "engine",
      url: `http://${target.name}`,
      failureDomain: target.failureDomain,
      layerTokensPerS: target.layerTokensPerS,
    };
  }
  const spans = new Map<string, FakeTarget[]>();
  for (const target of options.targets) {
    const key = `${target.first}-${target.end}`;
    spans.set(key, [...spans.get(key) ?? [], target]);
  }
  const stages = [...spans.values()].map((members) => ({
    first: members[0].first,
    end: members[0].end,
    targets: members.map(({ name }) => name),
  }));
  const { layerCount, links } = options;
  const pipeline = { model: "m", version: "v1", layerCount, stages };
  return {
    targets,
    links: [...links],
    pipelines: { p: { ...pipeline, customers: [] } },
  };
}

/** How a baseline selects the target of each stage. */
export type BaselinePolicy =
  | "round-robin"
  | "least-reported"
  | "random"
  | "by-capacity";

/** Picks chains by a baseline policy. */
export class BaselinePicker {
  #turn: number;

  constructor(
    readonly targets: readonly FakeTarget[],
    readonly options: {
      readonly policy: BaselinePolicy;
      readonly directory: TargetDirectory;
      readonly random: Random;
      readonly layerCount: number;
    },
  ) {
    this.#turn = Math.floor(options.random() * targets.length);
  }

  pick(): ChainStage[] {
    const chain: ChainStage[] = [];
    let boundary = 0;
    while (boundary < this.options.layerCount) {
      const candidates = this.targets.filter(({ first }) => first === boundary);
      const { name, first, end } = this.#selectTarget(candidates);
      chain.push({ target: name, url: "", first, end, generation: 1 });
      boundary = end;
    }
    return chain;
  }

  #selectTarget(candidates: readonly FakeTarget[]): FakeTarget {
    const { policy, random, directory } = this.options;
    if (policy === "random") {
      return candidates[Math.floor(random() * candidates.length)];
    }
    if (policy === "by-capacity") return this.#drawByCapacity(candidates);
    if (policy === "round-robin") {
      return candidates[this.#turn++ % candidates.length];
    }
    const loadOf = ({ name }: FakeTarget) =>
      directory.engineState(name)?.load.running ?? 0;
    const least = Math.min(...candidates.map(loadOf));
    return candidates.find((target) => loadOf(target) === least)!;
  }

  #drawByCapacity(candidates: readonly FakeTarget[]): FakeTarget {
    const rateOf = (target: FakeTarget) => target.layerTokensPerS;
    const total = candidates.reduce((sum, target) => sum + rateOf(target), 0);
    let remaining = this.options.random() * total;
    return candidates.find((target) => (remaining -= rateOf(target)) < 0) ??
      candidates[0];
  }
}

/** The value below which the share `quantile` of `values` lies. */
export function quantileOf(
  values: readonly number[],
  quantile: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(quantile * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

/** Prints a Markdown table. */
export function printTable(
  header: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): void {
  console.log(`| ${header.join(" | ")} |`);
  console.log(`| ${header.map(() => "---").join(" | ")} |`);
  for (const row of rows) console.log(`| ${row.join(" | ")} |`);
}
