import { expect, test } from "vitest";
import { SITE_PROFILE } from "../../test/reference_site.ts";
import {
  estimatePath,
  estimateTarget,
  type TargetWork,
} from "./path_estimate.ts";

const IDLE: TargetWork = {
  decodeTimeFactor: 2.4,
  prefillTimeFactor: 3.2,
  slowness: 1,
  streams: 0,
  prefillTokenLayers: 0,
};
const request = { figures: SITE_PROFILE, promptTokens: 1_050 };

test("an idle target prefills at the published rate of its kind", () => {
  const times = estimateTarget(IDLE, request);
  expect(times.prefillLayerMs * 80).toBeCloseTo(3.2 * 1_050 / 105, 6);
  expect(times.tokenLayerMs * 80).toBeCloseTo(2.4 * 1.02, 6);
  expect(times.backlogMs).toBe(0);
});

test("each chunk of a prompt waits for four decode steps of other streams", () => {
  const times = estimateTarget({ ...IDLE, streams: 10 }, request);
  const stepMs = times.tokenLayerMs * 80;
  expect(stepMs).toBeGreaterThan(2.4 * 1.02);
  expect(times.prefillLayerMs * 80).toBeCloseTo(32 + 3 * 4 * stepMs, 6);
});

test("prefill work in progress delays the prompt, longer on a slow target", () => {
  const work = { ...IDLE, prefillTokenLayers: 1_050 * 40 };
  const { backlogMs } = estimateTarget(work, request);
  // Half of the work, which takes 16 ms, is expected to wait here.
  expect(backlogMs).toBeCloseTo(8, 6);
  expect(estimateTarget({ ...work, slowness: 2 }, request).backlogMs)
    .toBeCloseTo(16, 6);
});

test("stages add up, without prompt and backlog where the prompt is held", () => {
  const times = { backlogMs: 30, prefillLayerMs: 1, tokenLayerMs: 0.1 };
  const stage = { times, layers: 40, prefillLayers: 40 };
  const whole = estimatePath([stage, stage]);
  expect(whole.msPerToken).toBeCloseTo(8.4, 6);
  expect(whole.firstEventMs).toBeCloseTo(2 * (30 + 40) + 5 * 8.4, 6);
  const repathed = estimatePath([{ ...stage, prefillLayers: 0 }, stage]);
  expect(repathed.firstEventMs).toBeCloseTo(30 + 40 + 5 * 8.4, 6);
});
