import { expect, test } from "vitest";
import {
  addToken,
  expectedAnswer,
  foldLayers,
  hashPrompt,
  isStop,
  tokenOf,
} from "./expected_answer.ts";

test("a skipped, repeated or reordered layer changes the state", () => {
  const weights = { model: "m", version: "v1" };
  const state = hashPrompt("prompt");
  const fold = (...spans: [number, number][]) =>
    spans.reduce(
      (folded, [first, end]) => foldLayers(folded, weights, { first, end }),
      state,
    );
  const states = [
    fold([0, 6]),
    fold([0, 2], [3, 6]),
    fold([0, 3], [2, 6]),
    fold([2, 4], [0, 2], [4, 6]),
    fold([0, 4]),
    foldLayers(state, { ...weights, version: "v2" }, { first: 0, end: 6 }),
    foldLayers(state, { ...weights, adapter: "x" }, { first: 0, end: 6 }),
  ];
  expect(new Set(states).size).toBe(states.length);
  expect(fold([0, 2], [2, 4], [4, 6])).toBe(states[0]);
});

test("an answer ends at a stop token or at the maximum length", () => {
  const input = { model: "m", version: "v", layerCount: 4, maxTokens: 5_000 };
  const stopped = expectedAnswer({ ...input, prompt: "p" });
  expect(stopped.reason).toBe("stop");
  expect(stopped.ids.map(isStop).indexOf(true)).toBe(stopped.ids.length - 1);
  const cut = expectedAnswer({ ...input, prompt: "p", maxTokens: 3 });
  expect(cut).toMatchObject({
    reason: "length",
    ids: stopped.ids.slice(0, 3),
    text: stopped.texts.slice(0, 3).join(""),
  });
  const prefix = cut.ids.reduce(addToken, hashPrompt("p"));
  const next = foldLayers(prefix, input, { first: 0, end: 4 });
  expect(tokenOf(next, 3).id).toBe(stopped.ids[3]);
});
