/**
 * Cached prompt prefixes in limited memory, least recently used out first,
 * and the events about them, published late and with gaps.
 *
 * @module
 */

import { hash64Hex } from "../../src/common/hash.ts";
import type { Random } from "../../src/common/random.ts";

const BLOCK_WORDS = 16;
const MAX_KEPT_EVENTS = 1_000;

/** A prefix that came into the cache or left it. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: "stored" | "evicted";
  readonly prefixHash: string;
  readonly atWallMs: number;
}

export interface PrefixCacheOptions {
  readonly maxTokens: number;
  /** Age at which an event becomes visible. */
  readonly eventDelayMs: number;
  /** Share of events that are never published, 0 to 1. */
  readonly eventLoss: number;
  readonly random: Random;
  readonly wallMs?: () => number;
}

/** The prefix cache of one engine. */
export class PrefixCache {
  readonly #options: PrefixCacheOptions;
  readonly #wallMs: () => number;
  /** Blocks in order of last use. */
  readonly #blocks = new Set<string>();
  #events: CacheEvent[] = [];
  #sequence = 0;

  constructor(options: PrefixCacheOptions) {
    this.#options = options;
    this.#wallMs = options.wallMs ?? Date.now;
  }

  /** Tokens of a prompt that must be computed; the prompt is cached after. */
  admit(scope: string, words: readonly string[]): number {
    const blocks = blockHashes(scope, words);
    let cachedBlocks = 0;
    while (
      cachedBlocks < blocks.length && this.#blocks.has(blocks[cachedBlocks])
    ) {
      cachedBlocks++;
    }
    this.insert(blocks);
    return words.length - cachedBlocks * BLOCK_WORDS;
  }

  /** The blocks of a prompt that are cached here, for export. */
  exportBlocks(scope: string, words: readonly string[]): string[] {
    return blockHashes(scope, words).filter((block) => this.#blocks.has(block));
  }

  /** Takes blocks in, from a prompt or from another engine. */
  insert(blocks: readonly string[]): void {
    for (const block of blocks) {
      if (!this.#blocks.delete(block)) this.#publish("stored", block);
      this.#blocks.add(block);
    }
    this.#evict();
  }

  /** Events from `from` on that are old enough to be seen. */
  events(from: number): readonly CacheEvent[] {
    const visibleWallMs = this.#wallMs() - this.#options.eventDelayMs;
    return this.#events.filter((event) =>
      event.sequence >= from && event.atWallMs <= visibleWallMs
    );
  }

  #evict(): void {
    const maxBlocks = Math.floor(this.#options.maxTokens / BLOCK_WORDS);
    for (const block of this.#blocks) {
      if (this.#blocks.size <= maxBlocks) return;
      this.#blocks.delete(block);
      this.#publish("evicted", block);
    }
  }

  #publish(kind: CacheEvent["kind"], prefixHash: string): void {
    const sequence = this.#sequence++;
    if (this.#options.random() < this.#options.eventLoss) return;
    const atWallMs = this.#wallMs();
    this.#events.push({ sequence, kind, prefixHash, atWallMs });
    if (this.#events.length > MAX_KEPT_EVENTS) this.#events.shift();
  }
}

/** One hash for each whole block, over everything up to its end. */
function blockHashes(scope: string, words: readonly string[]): string[] {
  const hashes: string[] = [];
  let previous = scope;
  for (let end = BLOCK_WORDS; end <= words.length; end += BLOCK_WORDS) {
    const block = words.slice(end - BLOCK_WORDS, end).join(" ");
    previous = hash64Hex(`${previous}\n${block}`);
    hashes.push(previous);
  }
  return hashes;
}
