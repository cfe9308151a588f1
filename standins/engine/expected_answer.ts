/**
 * Computes the answers of the engine stand-in. A token is a hash of the prompt,
 * the preceding tokens and the weights of every layer in order, so a layer that
 * is skipped, repeated or out of order gives a wrong token.
 *
 * @module
 */

import { hash32 } from "../../src/common/hash.ts";
import type { LayerSpan } from "../../src/clients/types.ts";

const VOCABULARY_SIZE = 65_536;
const STOP_EVERY = 509;
const WORDS = (
  "a the one old new late early small great quiet bright green red white " +
  "north south river hill road town farm field horse cow sheep goat dog " +
  "song drum voice record label store market court ring class prize judge " +
  "walks runs sings waits sells buys keeps gives takes brings sees hears " +
  "and or but with from under over near after before then again here there"
).split(" ");

/** Identifies the weights that a stage computes with. */
export interface LoadedWeights {
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
}

/** The inputs that determine an answer. */
export interface AnswerInput extends LoadedWeights {
  readonly prompt: string;
  readonly layerCount: number;
  readonly maxTokens: number;
}

export interface ExpectedAnswer {
  readonly ids: readonly number[];
  readonly texts: readonly string[];
  /** The texts joined. */
  readonly text: string;
  readonly reason: "stop" | "length";
}

/** Returns the state before the first token. */
export function hashPrompt(prompt: string): number {
  return hash32(prompt, 1);
}

/** Returns the state after a further token. */
export function addToken(prefix: number, id: number): number {
  return mix(prefix, id + 1);
}

/** Applies layers `first` to `end` (exclusive) to a state. */
export function foldLayers(
  state: number,
  weights: LoadedWeights,
  span: LayerSpan,
): number {
  const seed = weightsSeed(weights);
  let folded = state;
  for (let layer = span.first; layer < span.end; layer++) {
    folded = mix(folded, seed + layer);
  }
  return folded;
}

/** Returns the token for the state after the last layer. */
export function tokenOf(
  state: number,
  index: number,
): { id: number; text: string } {
  const id = state % VOCABULARY_SIZE;
  const word = WORDS[id % WORDS.length];
  return { id, text: index === 0 ? word : ` ${word}` };
}

/** Returns whether an answer ends with this token. */
export function isStop(id: number): boolean {
  return id % STOP_EVERY === 0;
}

/** Computes the complete answer of a chain without faults. */
export function expectedAnswer(input: AnswerInput): ExpectedAnswer {
  const ids: number[] = [];
  const texts: string[] = [];
  const span = { first: 0, end: input.layerCount };
  let prefix = hashPrompt(input.prompt);
  let reason: "stop" | "length" = "length";
  while (ids.length < input.maxTokens && reason === "length") {
    const state = foldLayers(prefix, input, span);
    const { id, text } = tokenOf(state, ids.length);
    ids.push(id);
    texts.push(text);
    prefix = addToken(prefix, id);
    if (isStop(id)) reason = "stop";
  }
  return { ids, texts, text: texts.join(""), reason };
}

const seeds = new Map<string, number>();

function weightsSeed(weights: LoadedWeights): number {
  const name = `${weights.model}@${weights.version}+${weights.adapter ?? ""}`;
  let seed = seeds.get(name);
  if (seed === undefined) {
    seed = hash32(name);
    seeds.set(name, seed);
  }
  return seed;
}

function mix(state: number, value: number): number {
  let mixed = Math.imul(state ^ value, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x85ebca6b);
  return (mixed ^ (mixed >>> 13)) >>> 0;
}
