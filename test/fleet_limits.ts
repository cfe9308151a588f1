/**
 * Traffic of one customer over a fleet with limits, in virtual time, with
 * counts of what was asked for and admitted.
 *
 * @module
 */

import { toDisposable } from "../src/common/lifecycle.ts";
import { configSchema } from "../src/config/schema.ts";
import type { IConfigService } from "../src/config/services.ts";
import { LimitService } from "../src/fleet/limit_service.ts";
import type { FleetHost, FleetHosts } from "./fleet_hosts.ts";

/** Admits on one host; returns a function that ends the request, or nothing. */
export type Admit = (customer: string) => (() => void) | undefined;

/** Limits of the customers of a test. */
export interface TestLimits {
  readonly requestsPerS: number;
  readonly concurrentRequests: number;
}

/** A configuration of customers that never changes. */
export function makeConfig(
  customers: Readonly<Record<string, TestLimits>>,
): IConfigService {
  const config = configSchema.parse({
    customers: Object.fromEntries(
      Object.entries(customers).map(([name, limits]) => [
        name,
        { keyDigests: [], ...limits },
      ]),
    ),
  });
  return {
    state: { version: 1, offset: 0, config },
    isReady: true,
    onChange: () => toDisposable(() => {}),
    plan: () => {
      throw new Error("not part of this fake");
    },
    patch: () => Promise.reject(new Error("not part of this fake")),
    history: () => [],
  };
}

/** Starts the limits of one host. */
export function startLimits(
  fleet: FleetHosts,
  host: FleetHost,
  config: IConfigService,
): LimitService {
  const limits = new LimitService({
    config,
    membership: host.membership,
    transport: host.network,
    clock: host.network.clock,
    random: fleet.random,
  });
  void limits.run(host.abort.signal);
  return limits;
}

export function admitWith(limits: LimitService): Admit {
  return (customer) => {
    const outcome = limits.admit(customer);
    return outcome.isOk() ? () => outcome.value.dispose() : undefined;
  };
}

/** The plain way: each host admits an even part of the limit. */
export function evenSplit(fleet: FleetHosts, limits: TestLimits): Admit {
  let tokens = 1;
  let atMs = fleet.clock.nowMs();
  let running = 0;
  return () => {
    const rate = limits.requestsPerS / fleet.runningHosts().length;
    const nowMs = fleet.clock.nowMs();
    const burstCapacity = Math.max(1, rate / 2);
    tokens = Math.min(burstCapacity, tokens + (nowMs - atMs) * rate / 1_000);
    atMs = nowMs;
    const slots = limits.concurrentRequests / fleet.runningHosts().length;
    if (tokens < 1 || running >= slots) return undefined;
    tokens -= 1;
    running += 1;
    return () => running -= 1;
  };
}

/** One customer's traffic. */
export interface TrafficOptions {
  readonly customer: string;
  /** Requests a second that arrive at a host. */
  readonly demandPerS: (host: string, atMs: number) => number;
  readonly admitOf: (host: string) => Admit | undefined;
  readonly requestDurationMs?: number;
  readonly stepMs?: number;
}

/** What came of the traffic, in buckets of one second. */
export class Traffic {
  readonly admitted: number[] = [];
  readonly offered: number[] = [];
  /** Requests running at the end of each step. */
  readonly running: number[] = [];
  readonly #startMs: number;
  #running = 0;

  constructor(readonly fleet: FleetHosts, readonly options: TrafficOptions) {
    this.#startMs = fleet.clock.nowMs();
  }

  /** Lets requests arrive for a time. */
  async run(durationMs: number): Promise<void> {
    const stepMs = this.options.stepMs ?? 20;
    for (let atMs = 0; atMs < durationMs; atMs += stepMs) {
      await this.fleet.clock.advance(stepMs);
      for (const host of this.fleet.runningHosts()) {
        if (!host.network.clock.isPaused) this.#generateRequests(host, stepMs);
      }
      this.running.push(this.#running);
    }
  }

  /** Admitted requests as a part of the allowed ones, from second `fromS` on. */
  admittedFraction(limitPerS: number, fromS: number): number {
    let admitted = 0;
    let allowed = 0;
    for (let second = fromS; second < this.admitted.length; second += 1) {
      admitted += this.admitted[second] ?? 0;
      allowed += Math.min(limitPerS, this.offered[second] ?? 0);
    }
    return admitted / allowed;
  }

  /** Most that was admitted in any `windowS` seconds, as a part of the limit. */
  peakFraction(limitPerS: number, windowS: number): number {
    let peak = 0;
    for (let end = windowS; end <= this.admitted.length; end += 1) {
      const window = this.admitted.slice(end - windowS, end);
      const total = window.reduce((sum, count) => sum + (count ?? 0), 0);
      peak = Math.max(peak, total / (limitPerS * windowS));
    }
    return peak;
  }

  #generateRequests(host: FleetHost, stepMs: number): void {
    const { name } = host.listed;
    const atMs = this.fleet.clock.nowMs() - this.#startMs;
    const mean = this.options.demandPerS(name, atMs) * stepMs / 1_000;
    const second = Math.floor((atMs - 1) / 1_000);
    this.admitted[second] ??= 0;
    this.offered[second] ??= 0;
    for (let count = this.#poisson(mean); count > 0; count -= 1) {
      this.offered[second] += 1;
      const end = this.options.admitOf(name)?.(this.options.customer);
      if (end === undefined) continue;
      this.admitted[second] += 1;
      this.#completeLater(end);
    }
  }

  #completeLater(end: () => void): void {
    const { requestDurationMs: holdMs } = this.options;
    if (holdMs === undefined) return end();
    this.#running += 1;
    void this.fleet.clock.sleep(holdMs).then(() => {
      this.#running -= 1;
      end();
    });
  }

  #poisson(mean: number): number {
    const limit = Math.exp(-mean);
    let product = this.fleet.random();
    let count = 0;
    while (product > limit) {
      product *= this.fleet.random();
      count += 1;
    }
    return count;
  }
}
