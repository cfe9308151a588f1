/**
 * Finds which engines of a chain were lost after an attempt broke.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { IEngineClient } from "../clients/services.ts";
import type { ChainStage } from "../clients/types.ts";

/** Options of `probeChain`. */
export interface ProbeOptions {
  readonly clock: Clock;
  readonly engines: IEngineClient;
  /** Time after which an engine counts as silent. */
  readonly timeoutMs: number;
}

/** What a probe of a chain found, as names of targets. */
export interface ProbeResult {
  /** Refuse connections: the process is gone. */
  readonly lost: readonly string[];
  /** Did not answer in time: frozen, cut off or overloaded. */
  readonly silent: readonly string[];
  /** Answer, but loaded something else since the chain was planned. */
  readonly changed: readonly string[];
}

/** Asks every engine of a chain for its state at once. */
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
  const { clock, engines, timeoutMs: timeoutMs } = options;
  const stop = new AbortController();
  const deadlineMs = clock.nowMs() + timeoutMs;
  const asked = engines.readState(stage.url, {
    deadlineMs,
    signal: stop.signal,
  });
  const outcome = await Promise.race([
    asked,
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
