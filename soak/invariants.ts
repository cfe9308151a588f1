/**
 * Checks the promises of a run against what callers and back ends saw. Pure.
 *
 * @module
 */

import type { Attempt, Bounds, Execution, History } from "./types.ts";

/** Back ends and callers run on one machine; stamps differ by scheduling only. */
const TIMESTAMP_TOLERANCE_MS = 250;

/** Calls that were in progress when the store came back take this long to be made again. */
const STORE_RECONNECT_MS = 1_500;

/** Each promise that was broken, as a line for people. */
export function findViolations(history: History, bounds: Bounds): string[] {
  const runs = groupExecutions(history.executions);
  return [
    ...history.attempts.flatMap((attempt) =>
      checkAttempt(attempt, runs.get(attempt.id) ?? [], bounds)
    ),
    ...checkRevocations(history, bounds),
    ...checkAbsences(history, bounds),
    ...checkOrders(history, bounds),
    ...checkRetryBudget(history, bounds),
    ...checkRecovery(history, bounds),
    ...history.leakedStreams === 0 ? [] : [
      `${history.leakedStreams} streams ran on after their callers had ended`,
    ],
  ];
}

function checkAttempt(
  attempt: Attempt,
  runs: readonly Execution[],
  bounds: Bounds,
): string[] {
  const { id, route, status } = attempt;
  const broken: string[] = [];
  const isCompleteAnswer = attempt.isWhole && status === 200;
  if (route === "slips" && runs.length > 1) {
    broken.push(`${id}: may run once, ran ${runs.length} times`);
  }
  if (runs.length > bounds.maxAttempts) {
    broken.push(
      `${id}: ran ${runs.length} times, ${bounds.maxAttempts} allowed`,
    );
  }
  if (attempt.isNotExecuted && runs.length > 0) {
    broken.push(`${id}: answered as not run, but ${runs[0].serverId} ran it`);
  }
  if (isCompleteAnswer && runs.length === 0) {
    broken.push(`${id}: answered, but nobody ran it`);
  }
  if (status === 200 && attempt.echoedId !== id) {
    broken.push(`${id}: got the answer of ${attempt.echoedId}`);
  }
  if (isCompleteAnswer && route !== "briefs") {
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

function checkRevocations(history: History, { revokeMs }: Bounds): string[] {
  const keys = new Map(history.attempts.map(({ id, key }) => [id, key]));
  return history.executions.flatMap(({ attemptId, serverId, atMs }) => {
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

function checkAbsences(history: History, { drainMs }: Bounds): string[] {
  return history.executions.flatMap(({ attemptId, serverId, atMs }) => {
    const absence = history.absences.find((one) =>
      one.serverId === serverId && atMs < one.endMs &&
      storeHealthyMs(history, one.startMs, atMs) >
        drainMs + TIMESTAMP_TOLERANCE_MS
    );
    return absence === undefined
      ? []
      : [`${attemptId}: ran at ${serverId}, which had left`];
  });
}

/** Time in which hosts could learn of something: the store's troubles are left out. */
function storeHealthyMs(
  { storeFaults: storeTroubles }: History,
  fromMs: number,
  untilMs: number,
): number {
  let sumMs = 0;
  let atMs = fromMs;
  const troubles = [...storeTroubles].sort((a, b) => a.startMs - b.startMs);
  for (const { startMs, endMs } of troubles) {
    sumMs += Math.max(0, Math.min(startMs, untilMs) - atMs);
    atMs = Math.max(atMs, endMs + STORE_RECONNECT_MS);
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
function checkRetryBudget(history: History, bounds: Bounds): string[] {
  const { retryWindowMs, retryRatio, retrySlack } = bounds;
  const repeatsMs = [...groupExecutions(history.executions).values()]
    .flatMap((runs) => runs.slice(1).map(({ atMs }) => atMs))
    .sort((a, b) => a - b);
  const startsMs = history.attempts.map(({ startMs }) => startMs);
  for (const [index, untilMs] of repeatsMs.entries()) {
    const fromMs = untilMs - retryWindowMs;
    const repeats = repeatsMs.slice(0, index + 1)
      .filter((atMs) => atMs > fromMs).length;
    const requests = startsMs.filter((startMs) =>
      startMs > fromMs - TIMESTAMP_TOLERANCE_MS && startMs <= untilMs
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
  const { faultsEndMs: quietFromMs } = history;
  if (quietFromMs === undefined) return [];
  const fromMs = quietFromMs + bounds.recoveryMs;
  return history.attempts.flatMap((attempt) => {
    const { id, startMs, status, isWhole, hasDisconnected: hasLeft, key } =
      attempt;
    if (startMs < fromMs || hasLeft || key === "unknown") return [];
    return status === 200 && isWhole
      ? []
      : [`${id}: ${status ?? "no answer"} after the time to recover`];
  });
}

function groupExecutions(runs: readonly Execution[]): Map<string, Execution[]> {
  const byAttempt = new Map<string, Execution[]>();
  for (const run of runs) {
    const known = byAttempt.get(run.attemptId);
    if (known === undefined) byAttempt.set(run.attemptId, [run]);
    else known.push(run);
  }
  return byAttempt;
}
