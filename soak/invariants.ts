/**
 * Checks the invariants of a run against what callers and back ends observed.
 *
 * @module
 */

import { checkLives } from "./host_lives.ts";
import {
  remainingMs,
  TIMESTAMP_TOLERANCE_MS,
  withReconnection,
} from "./intervals.ts";
import { checkLinkCuts } from "./link_cuts.ts";
import { checkOverload } from "./overload.ts";
import { checkPauses } from "./pauses.ts";
import { checkSamples } from "./process_samples.ts";
import { checkRequestLimits } from "./request_limits.ts";
import { BURST_ROUTE, CRASHING_PART, CRASHING_TEXT } from "./settings.ts";
import type { Attempt, Bounds, Execution, History } from "./types.ts";

/** Returns one readable line for each violation. */
export function findViolations(history: History, bounds: Bounds): string[] {
  const executions = groupExecutions(history.executions);
  return [
    ...history.attempts.flatMap((attempt) =>
      checkAttempt(attempt, executions.get(attempt.id) ?? [], bounds)
    ),
    ...checkRevocations(history, bounds),
    ...checkAbsences(history, bounds),
    ...checkOrders(history, bounds),
    ...checkRetryBudget(history, bounds),
    ...checkCrashing(history, bounds),
    ...checkRequestLimits(history, bounds),
    ...checkLinkCuts(history, bounds),
    ...checkPauses(history, bounds),
    ...checkOverload(history),
    ...checkRecovery(history, bounds),
    ...checkLives(history, bounds),
    ...checkSamples(history, bounds),
    ...history.invalidCalls.map((call) => `malformed call: ${call}`),
    ...history.leakedStreams === 0 ? [] : [
      `${history.leakedStreams} streams still executing after their callers had finished`,
    ],
  ];
}

function checkAttempt(
  attempt: Attempt,
  executions: readonly Execution[],
  bounds: Bounds,
): string[] {
  const { id, route, status } = attempt;
  const violations: string[] = [];
  const isStream = route === "briefs" || route === BURST_ROUTE;
  const isCompleteAnswer = attempt.isWhole && status === 200;
  if (route === "slips" && executions.length > 1) {
    violations.push(
      `${id}: not idempotent, but executed ${executions.length} times`,
    );
  }
  if (executions.length > bounds.maxAttempts) {
    violations.push(
      `${id}: executed ${executions.length} times, at most ${bounds.maxAttempts} allowed`,
    );
  }
  if (attempt.isNotExecuted && executions.length > 0) {
    violations.push(
      `${id}: answered as not executed, but ${
        executions[0].serverId
      } executed it`,
    );
  }
  if (isCompleteAnswer && executions.length === 0) {
    violations.push(`${id}: answered, but no back end executed it`);
  }
  if (status === 200 && attempt.echoedId !== id) {
    violations.push(`${id}: received the answer of ${attempt.echoedId}`);
  }
  if (isCompleteAnswer && !isStream) {
    const server = /^answer of (\S+)$/.exec(attempt.body)?.[1];
    if (server === undefined || attempt.signature !== `signed.${server}`) {
      violations.push(
        `${id}: body "${attempt.body}" does not match signature ${attempt.signature}`,
      );
    }
  }
  if (isStream && status === 200) {
    violations.push(...checkEvents(attempt, bounds));
  }
  return violations;
}

function checkEvents(attempt: Attempt, bounds: Bounds): string[] {
  const { id, body, isWhole } = attempt;
  const pieces = body.split("\n\n");
  const rest = pieces.pop();
  const isInOrder = pieces.every((piece, index) =>
    piece === `id: ${index}\ndata: piece ${index}`
  );
  if (!isInOrder) {
    return [`${id}: events are missing, repeated or out of order`];
  }
  if (isWhole && (pieces.length !== bounds.events || rest !== "")) {
    return [
      `${id}: ended as complete after ${pieces.length} events, expected ${bounds.events}`,
    ];
  }
  return [];
}

function checkRevocations(history: History, { revokeMs }: Bounds): string[] {
  const keys = new Map(history.attempts.map(({ id, key }) => [id, key]));
  return history.executions.flatMap(({ attemptId, serverId, atMs }) => {
    if (keys.get(attemptId) === "second") {
      const revocation = history.revocations.find(({ startMs, endMs }) =>
        atMs > startMs + revokeMs && atMs < endMs
      );
      if (revocation === undefined) return [];
      const lateMs = Math.round(atMs - revocation.startMs);
      return [
        `${attemptId}: executed by ${serverId} ${lateMs} ms after its key was revoked`,
      ];
    }
    return keys.get(attemptId) === "unknown"
      ? [`${attemptId}: executed by ${serverId} with an unknown key`]
      : [];
  });
}

function checkAbsences(history: History, bounds: Bounds): string[] {
  const { drainMs, stableWindowMs } = bounds;
  const hosts = new Map(history.attempts.map(({ id, host }) => [id, host]));
  const outages = withReconnection(history.storeFaults);
  return history.executions.flatMap(({ attemptId, serverId, atMs }) => {
    // The host may not have learnt yet what happened during its fault.
    const isUnstable = history.hostFaults.some(({ host, startMs, endMs }) =>
      host === hosts.get(attemptId) && startMs < atMs &&
      atMs < endMs + stableWindowMs
    );
    if (isUnstable) return [];
    const absence = history.absences.find((one) =>
      one.serverId === serverId && atMs < one.endMs &&
      remainingMs(one.startMs, atMs, outages) >
        drainMs + TIMESTAMP_TOLERANCE_MS
    );
    return absence === undefined ? [] : [
      `${attemptId}: executed by ${serverId}, which had been removed from the store`,
    ];
  });
}

function checkOrders(history: History, { maxLayers }: Bounds): string[] {
  return history.orders.flatMap(({ serverId, order }) => {
    if (order.op !== "place") return [];
    const layers = Number(order.to) - Number(order.from);
    const violations: string[] = [];
    if (!(layers > 0 && layers <= maxLayers)) {
      violations.push(
        `${serverId}: ordered to hold ${layers} layers, expected 1 to ${maxLayers}`,
      );
    }
    if (typeof order.expect !== "number") {
      violations.push(`${serverId}: order has no numeric "expect" field`);
    }
    return violations;
  });
}

/** Checks that no retry window has more retries than its requests allow. */
function checkRetryBudget(history: History, bounds: Bounds): string[] {
  const { retryWindowMs, retryRatio, retrySlack } = bounds;
  const retryTimesMs = [...groupExecutions(history.executions).values()]
    .flatMap((executions) => executions.slice(1).map(({ atMs }) => atMs))
    .sort((a, b) => a - b);
  const startTimesMs = history.attempts.map(({ startMs }) => startMs);
  for (const [index, untilMs] of retryTimesMs.entries()) {
    const fromMs = untilMs - retryWindowMs;
    const retries = retryTimesMs.slice(0, index + 1)
      .filter((atMs) => atMs > fromMs).length;
    const requests = startTimesMs.filter((startMs) =>
      startMs > fromMs - TIMESTAMP_TOLERANCE_MS && startMs <= untilMs
    ).length;
    if (retries <= retryRatio * requests + retrySlack) {
      continue;
    }
    const atS = Math.round(untilMs / 1_000);
    return [
      `${retries} retries of ${requests} requests in the window up to second ${atS}`,
    ];
  }
  return [];
}

/**
 * Checks that contents, and parts of prompts, that end servers are not sent on
 * after the first few.
 */
function checkCrashing(history: History, bounds: Bounds): string[] {
  const causes = new Map(
    history.attempts.filter(isCrashing).map((
      { id, content, crashingPart },
    ) => [id, crashingPart ?? content]),
  );
  const timesMs = new Map<string, number[]>();
  for (const { attemptId, atMs } of history.executions) {
    const cause = causes.get(attemptId);
    if (cause === undefined) continue;
    timesMs.set(cause, [...timesMs.get(cause) ?? [], atMs]);
  }
  return [...timesMs].flatMap(([cause, unsorted]) => {
    const atMs = unsorted.sort((a, b) => a - b);
    const { maxSendsAfterCrashes, crashReactionMs } = bounds;
    const maxCrashes = cause === CRASHING_PART
      ? bounds.maxPartCrashes
      : bounds.maxCrashes;
    const fromMs = atMs[maxCrashes - 1] + crashReactionMs;
    const late = atMs.filter((one) => one > fromMs).length;
    return late <= maxSendsAfterCrashes ? [] : [
      `"${cause}": ${late} sends later than ${crashReactionMs} ms after it ended ${maxCrashes} servers`,
    ];
  });
}

function isCrashing({ content, crashingPart }: Attempt): boolean {
  return content.startsWith(CRASHING_TEXT) || crashingPart !== undefined;
}

function checkRecovery(history: History, bounds: Bounds): string[] {
  const { faultsEndMs } = history;
  if (faultsEndMs === undefined) return [];
  const fromMs = faultsEndMs + bounds.recoveryMs;
  return history.attempts.flatMap((attempt) => {
    const { id, startMs, status, isWhole, hasDisconnected, key } = attempt;
    if (startMs < fromMs || hasDisconnected || key === "unknown") return [];
    if (isCrashing(attempt)) return [];
    return status === 200 && isWhole
      ? []
      : [`${id}: ${status ?? "no answer"} after the recovery time`];
  });
}

function groupExecutions(
  executions: readonly Execution[],
): Map<string, Execution[]> {
  const byAttempt = new Map<string, Execution[]>();
  for (const execution of executions) {
    const group = byAttempt.get(execution.attemptId);
    if (group === undefined) byAttempt.set(execution.attemptId, [execution]);
    else group.push(execution);
  }
  return byAttempt;
}
