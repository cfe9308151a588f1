/**
 * Probes the engines of a chain after a failed attempt to find which were lost.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { IEngineClient } from "../clients/services.ts";
import type { ChainStage } from "../clients/types.ts";

export interface ProbeOptions {
  readonly clock: Clock;
  readonly engines: IEngineClient;
  /** Time after which an engine counts as unresponsive. */
  readonly timeoutMs: number;
}

/** Targets of a chain by finding; responsive, unchanged ones are omitted. */
export interface ProbeResult {
  /** Connection refused: the process has exited. */
  readonly lost: readonly string[];
  /** No answer within the time-out: frozen, unreachable or overloaded. */
  readonly silent: readonly string[];
  /** Responsive, but with another generation than the chain was planned for. */
  readonly changed: readonly string[];
}

/** Requests the state of all engines of a chain in parallel. */
export async function probeChain(
  chain: readonly ChainStage[],
  options: ProbeOptions,
): Promise<ProbeResult> {
  const findings = await Promise.all(
    chain.map((stage) => probeStage(stage, options)),
  );
  const named = (finding: Finding) =>
    chain.filter((_, index) => findings[index] === finding)
      .map((stage) => stage.target);
  return {
    lost: named("lost"),
    silent: named("silent"),
    changed: named("changed"),
  };
}

type Finding = "lost" | "silent" | "changed" | "alive";

async function probeStage(
  stage: ChainStage,
  options: ProbeOptions,
): Promise<Finding> {
  const { clock, engines, timeoutMs } = options;
  const stop = new AbortController();
  const deadlineMs = clock.nowMs() + timeoutMs;
  const stateRead = engines.readState(stage.url, {
    deadlineMs,
    signal: stop.signal,
  });
  const outcome = await Promise.race([
    stateRead,
    clock.sleep(timeoutMs, stop.signal),
  ]);
  stop.abort();
  if (outcome === undefined) return "silent";
  if (outcome.isOk()) {
    return outcome.value.generation === stage.generation ? "alive" : "changed";
  }
  const { code, verdict } = outcome.error;
  const isRefused = code === "connection-failed" && verdict === "not-run";
  return isRefused ? "lost" : "silent";
}
