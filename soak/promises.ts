/**
 * Checks the promises of a run against what callers and back ends saw. Pure.
 *
 * @module
 */

import type { Attempt, Bounds, History, Run } from "./types.ts";

/** Back ends and callers run on one machine; stamps differ by scheduling only. */
const STAMP_SLACK_MS = 250;

/** Calls that were in progress when the store came back take this long to be made again. */
const STORE_BACK_MS = 1_500;

/** Each promise that was broken, as a line for people. */
export function findBroken(history: History, bounds: Bounds): string[] {
  const runs = groupRuns(history.runs);
  return [
    ...history.attempts.flatMap((attempt) =>
      checkAttempt(attempt, runs.get(attempt.id) ?? [], bounds)
    ),
    ...checkRevoked(history, bounds),
    ...checkAbsent(history, bounds),
    ...checkOrders(history, bounds),
    ...checkRepeats(history, bounds),
    ...checkRecovery(history, bounds),
    ...history.leftStreams === 0
      ? []
      : [`${history.leftStreams} streams ran on after their callers had ended`],
  ];
}

function checkAttempt(
  attempt: Attempt,
  runs: readonly Run[],
  bounds: Bounds,
): string[] {
  const { id, route, status } = attempt;
  const broken: string[] = [];
  const isWholeAnswer = attempt.isWhole && status === 200;
  if (route === "slips" && runs.length > 1) {
    broken.push(`${id}: may run once, ran ${runs.length} times`);
  }
  if (runs.length > bounds.maxAttempts) {
    broken.push(
      `${id}: ran ${runs.length} times, ${bounds.maxAttempts} allowed`,
    );
  }
  if (attempt.isNotRun && runs.length > 0) {
    broken.push(`${id}: answered as not run, but ${runs[0].serverId} ran it`);
  }
  if (isWholeAnswer && runs.length === 0) {
    broken.push(`${id}: answered, but nobody ran it`);
  }
  if (status === 200 && attempt.echoedId !== id) {
    broken.push(`${id}: got the answer of ${attempt.echoedId}`);
  }
  if (isWholeAnswer && route !== "briefs") {
    const server = /^answer of (\S+)$/.exec(attempt.body)?.[1];
    if (server === undefined || attempt.signature !== `signed.${server}`) {
      broken.push(`${id}: body "${attempt.body}" with ${attempt.signature}`);
    }
  }
  if (route === "briefs" && status === 200) {
    broken.push(...checkEvents(attempt, bounds));
  }
  return broken;
}

function checkEvents(attempt: Attempt, bounds: Bounds): string[] {
  const { id, body, isWhole } = attempt;
  const pieces = body.split("\n\n");
  const rest = pieces.pop();
  const isInOrder = pieces.every((piece, index) =>
    piece === `id: ${index}\ndata: piece ${index}`
  );
  if (!isInOrder) return [`${id}: events are not in order`];
  if (isWhole && (pieces.length !== bounds.events || rest !== "")) {
    return [`${id}: looks whole after ${pieces.length} events`];
  }
  return [];
}

function checkRevoked(history: History, { revokeMs }: Bounds): string[] {
  const keys = new Map(history.attempts.map(({ id, key }) => [id, key]));
  return history.runs.flatMap(({ attemptId, serverId, atMs }) => {
    if (keys.get(attemptId) === "second") {
      const since = history.revocations.find(({ startMs, endMs }) =>
        atMs > startMs + revokeMs && atMs < endMs
      );
      if (since === undefined) return [];
      const lateMs = Math.round(atMs - since.startMs);
      return [
        `${attemptId}: ran at ${serverId} ${lateMs} ms after its key went`,
      ];
    }
    return keys.get(attemptId) === "unknown"
      ? [`${attemptId}: ran at ${serverId} with an unknown key`]
      : [];
  });
}

function checkAbsent(history: History, { drainMs }: Bounds): string[] {
  return history.runs.flatMap(({ attemptId, serverId, atMs }) => {
    const absence = history.absences.find((one) =>
      one.serverId === serverId && atMs < one.endMs &&
      soundMs(history, one.startMs, atMs) > drainMs + STAMP_SLACK_MS
    );
    return absence === undefined
      ? []
      : [`${attemptId}: ran at ${serverId}, which had left`];
  });
}

/** Time in which hosts could learn of something: the store's troubles are left out. */
function soundMs(
  { storeTroubles }: History,
  fromMs: number,
  untilMs: number,
): number {
  let sumMs = 0;
  let atMs = fromMs;
  const troubles = [...storeTroubles].sort((a, b) => a.startMs - b.startMs);
  for (const { startMs, endMs } of troubles) {
    sumMs += Math.max(0, Math.min(startMs, untilMs) - atMs);
    atMs = Math.max(atMs, endMs + STORE_BACK_MS);
  }
  return sumMs + Math.max(0, untilMs - atMs);
}

function checkOrders(history: History, { maxLayers }: Bounds): string[] {
  return history.orders.flatMap(({ serverId, order }) => {
    if (order.op !== "place") return [];
    const layers = Number(order.to) - Number(order.from);
    const broken: string[] = [];
    if (!(layers > 0 && layers <= maxLayers)) {
      broken.push(`${serverId}: ordered to hold ${layers} layers`);
    }
    if (typeof order.expect !== "number") {
      broken.push(`${serverId}: ordered without an expected count`);
    }
    return broken;
  });
}

/** No window of time holds more repeats than its requests allow. */
function checkRepeats(history: History, bounds: Bounds): string[] {
  const { retryWindowMs, retryRatio, retrySlack } = bounds;
  const repeatsMs = [...groupRuns(history.runs).values()]
    .flatMap((runs) => runs.slice(1).map(({ atMs }) => atMs))
    .sort((a, b) => a - b);
  const startsMs = history.attempts.map(({ startMs }) => startMs);
  for (const [index, untilMs] of repeatsMs.entries()) {
    const fromMs = untilMs - retryWindowMs;
    const repeats = repeatsMs.slice(0, index + 1)
      .filter((atMs) => atMs > fromMs).length;
    const requests = startsMs.filter((startMs) =>
      startMs > fromMs - STAMP_SLACK_MS && startMs <= untilMs
    ).length;
    if (repeats <= retryRatio * requests + retrySlack) {
      continue;
    }
    const atS = Math.round(untilMs / 1_000);
    return [`${repeats} repeats of ${requests} requests up to second ${atS}`];
  }
  return [];
}

function checkRecovery(history: History, bounds: Bounds): string[] {
  const { quietFromMs } = history;
  if (quietFromMs === undefined) return [];
  const fromMs = quietFromMs + bounds.recoveryMs;
  return history.attempts.flatMap((attempt) => {
    const { id, startMs, status, isWhole, hasLeft, key } = attempt;
    if (startMs < fromMs || hasLeft || key === "unknown") return [];
    return status === 200 && isWhole
      ? []
      : [`${id}: ${status ?? "no answer"} after the time to recover`];
  });
}

function groupRuns(runs: readonly Run[]): Map<string, Run[]> {
  const byAttempt = new Map<string, Run[]>();
  for (const run of runs) {
    const known = byAttempt.get(run.attemptId);
    if (known === undefined) byAttempt.set(run.attemptId, [run]);
    else known.push(run);
  }
  return byAttempt;
}
