/**
 * Test fixture: a deployment whose hosts are called steadily, and what their
 * callers got.
 *
 * @module
 */

import { type ILog, silentLog } from "../../src/common/logging.ts";
import { systemClock } from "../../src/common/clock.ts";
import { callHost } from "./caller.ts";
import { Deployment } from "./deployment.ts";
import { modelServers, plainServers } from "./server_options.ts";

export const HOSTS = 5;
const CALL_INTERVAL_MS = 200;
const MEASURED_MS = 2_000;
/** Requests have ended this long after they were sent. */
const ANSWERED_MS = 1_500;
/** Fewer say nothing about a share. */
const MIN_TRIES = 15;
const MIN_MEASURED = 45;

/** A request that its caller sends once. */
export interface FirstTry {
  readonly host: number;
  readonly startedMs: number;
  /** Infinite until the request has ended. */
  durationMs: number;
  isServed: boolean;
  retryAfterS: number;
}

export interface SteadyCallsOptions {
  /** Of all hosts. */
  readonly log?: ILog;
}

/** A deployment whose hosts are called steadily, and what their callers got. */
export class SteadyCalls {
  readonly deployment: Deployment;
  readonly tries: FirstTry[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor({ log = silentLog }: SteadyCallsOptions = {}) {
    this.deployment = new Deployment({
      servers: [...modelServers(12, 20), ...plainServers(3)],
      hosts: HOSTS,
      hasProxies: true,
      log,
    });
  }

  async start(): Promise<void> {
    await this.deployment.start();
    await this.deployment.waitUntilPlaced();
  }

  /** Calls every host in turn, each request with content of its own. */
  callSteadily(path: string): void {
    let count = 0;
    this.#timer = setInterval(() => {
      const host = count++ % HOSTS;
      void this.#call({ path, host, body: `{"number":${count}}` });
    }, CALL_INTERVAL_MS / HOSTS);
  }

  async #call(
    options: { readonly path: string; readonly host: number; body: string },
  ): Promise<void> {
    const one: FirstTry = {
      host: options.host,
      startedMs: performance.now(),
      durationMs: Infinity,
      isServed: false,
      retryAfterS: 0,
    };
    this.tries.push(one);
    const answer = await callHost(this.deployment, options)
      .catch(() => undefined);
    one.durationMs = performance.now() - one.startedMs;
    one.isServed = answer?.status === 200 && answer.isWhole;
    one.retryAfterS = Number(answer?.headers["retry-after"] ?? 0);
  }

  /** Waits for some time and for the calls of that time, and returns these. */
  async measure(): Promise<FirstTry[]> {
    const fromMs = performance.now();
    const before = this.tries.length;
    await systemClock.sleep(MEASURED_MS);
    // Calls come more slowly than planned while the process is short of time.
    while (this.tries.length < before + MIN_MEASURED) {
      await systemClock.sleep(CALL_INTERVAL_MS);
    }
    const toMs = performance.now();
    await systemClock.sleep(ANSWERED_MS);
    return this.tries.filter(({ startedMs }) =>
      startedMs >= fromMs && startedMs < toMs
    );
  }

  close(): void {
    clearInterval(this.#timer);
    this.deployment.close();
  }
}

/** Closes what the test leaves, also if it fails. */
export async function withSteadyCalls(
  run: (play: SteadyCalls) => Promise<void>,
  options?: SteadyCallsOptions,
): Promise<void> {
  const play = new SteadyCalls(options);
  try {
    await play.start();
    await run(play);
  } finally {
    play.close();
  }
}

export function shareServed(tries: readonly FirstTry[]): number {
  if (tries.length < MIN_TRIES) throw new Error(`only ${tries.length} tries`);
  return tries.filter(({ isServed }) => isServed).length / tries.length;
}
