/**
 * Requests of several ranks that compete for slots, at hosts that exchange their
 * demand over a network of virtual time with the product's own code.
 *
 * @module
 */

import { seededRandom } from "../src/common/random.ts";
import type { FleetHost, PeerFleet } from "./peer_fleet.ts";

const SERVICE = "s";
const STEP_MS = 20;
/** Longest wait of a request, as in the product. */
const MAX_WAIT_MS = 1_200;
/** Of the three kinds of request of deployment A. */
const LATENCY_GOALS_MS = [500, 500, 1_000];
/** Callers that retry do it once. */
const MAX_TRIES = 2;

/** A time during which the rate of a rank is multiplied. */
export interface Burst {
  readonly rank: number;
  readonly factor: number;
  readonly fromMs: number;
  readonly toMs: number;
}

export interface DemandLoadOptions {
  readonly fleet: PeerFleet;
  readonly seed: number;
  /** Requests per second of ranks 0, 1, ... */
  readonly ratesPerS: readonly number[];
  readonly slots: number;
  readonly serviceMs: number;
  readonly bursts?: readonly Burst[];
  /** Whether hosts heed the admission level. */
  readonly usesLevel?: boolean;
  /** Whether callers that are refused retry at once, at another host. */
  readonly retriesAtOnce?: boolean;
  /** Hosts that serve no requests; default: hosts that are down. */
  readonly isFrozen?: (host: FleetHost) => boolean;
}

export interface RankResult {
  offered: number;
  started: number;
  refused: number;
  /** Of those started, the ones whose wait left half of the latency goal. */
  inTime: number;
  waitedMs: number;
}

interface Waiting {
  readonly rank: number;
  readonly sinceMs: number;
  readonly tries: number;
}

export class DemandLoad {
  readonly #options: DemandLoadOptions;
  readonly #random: () => number;
  readonly #queues = new Map<FleetHost, Waiting[]>();
  #busyUntilMs: number[] = [];
  #elapsedMs = 0;
  /** On the rates of all ranks. */
  rateFactor = 1;
  readonly results: readonly RankResult[];

  constructor(options: DemandLoadOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    for (const host of options.fleet.hosts) this.#queues.set(host, []);
    this.results = options.ratesPerS.map(() => ({
      offered: 0,
      started: 0,
      refused: 0,
      inTime: 0,
      waitedMs: 0,
    }));
  }

  /** Share of the requests of each rank that started. */
  servedShares(): number[] {
    return this.results.map(({ started, refused }) =>
      started / Math.max(1, started + refused)
    );
  }

  get startedCount(): number {
    return this.results.reduce((sum, { started }) => sum + started, 0);
  }

  /** Requests that were started or refused. */
  get endedCount(): number {
    return this.results.reduce(
      (sum, { started, refused }) => sum + started + refused,
      0,
    );
  }

  async run(durationMs: number): Promise<void> {
    const { fleet } = this.#options;
    for (let ms = 0; ms < durationMs; ms += STEP_MS) {
      this.#step(fleet.clock.nowMs());
      this.#elapsedMs += STEP_MS;
      await fleet.clock.advance(STEP_MS);
    }
  }

  #serving(): FleetHost[] {
    const { fleet, isFrozen = () => false } = this.#options;
    return fleet.live().filter((host) => !isFrozen(host));
  }

  #step(nowMs: number): void {
    const hosts = this.#serving();
    this.#busyUntilMs = this.#busyUntilMs.filter((ms) => ms > nowMs);
    for (const [rank, perS] of this.#options.ratesPerS.entries()) {
      const mean = perS * this.rateFactor * this.#factorOf(rank) * STEP_MS /
        1_000;
      for (let left = mean + this.#random(); left >= 1; left--) {
        this.#offer(hosts, { rank, sinceMs: nowMs, tries: 1 });
      }
    }
    // Which host asks first is a matter of chance.
    const offset = Math.floor(this.#random() * hosts.length);
    for (let i = 0; i < hosts.length; i++) {
      this.#dispatch(hosts[(i + offset) % hosts.length], nowMs);
    }
  }

  #offer(hosts: readonly FleetHost[], request: Waiting): void {
    const host = hosts[Math.floor(this.#random() * hosts.length)];
    host.demand.demand.recordOffered(SERVICE, request.rank);
    this.results[request.rank].offered++;
    this.#queues.get(host)?.push(request);
  }

  #dispatch(host: FleetHost, nowMs: number): void {
    const { slots, serviceMs, usesLevel = true } = this.#options;
    const { demand, level } = host.demand;
    const queue = this.#queues.get(host) ?? [];
    if (queue.length === 0) return;
    this.#count(host, queue);
    queue.sort((a, b) => a.rank - b.rank || a.sinceMs - b.sinceMs);
    const kept: Waiting[] = [];
    for (const one of queue) {
      const isFree = this.#busyUntilMs.length < slots;
      const waitedMs = nowMs - one.sinceMs;
      const mayStart = !usesLevel || level.mayStart(SERVICE, one.rank);
      const waitMs = usesLevel ? level.of(SERVICE).waitMs(one.rank) : 0;
      if (isFree && mayStart) {
        const variation = 0.5 + this.#random();
        this.#busyUntilMs.push(nowMs + serviceMs * variation);
        demand.recordStarted(SERVICE, one.rank);
        this.results[one.rank].started++;
        this.results[one.rank].waitedMs += waitedMs;
        const maxWaitMs = (LATENCY_GOALS_MS[one.rank] ?? 1_000) / 2;
        if (waitedMs <= maxWaitMs) this.results[one.rank].inTime++;
      } else if (
        waitedMs >= MAX_WAIT_MS ||
        (!mayStart && waitedMs === 0 && waitMs > MAX_WAIT_MS)
      ) {
        this.#refuse(one, nowMs);
      } else kept.push(one);
    }
    this.#queues.set(host, kept);
    this.#count(host, kept);
  }

  #refuse({ rank, tries }: Waiting, nowMs: number): void {
    if (this.#options.retriesAtOnce && tries < MAX_TRIES) {
      this.#offer(this.#serving(), { rank, sinceMs: nowMs, tries: tries + 1 });
    } else this.results[rank].refused++;
  }

  #count({ demand }: FleetHost, queue: readonly Waiting[]): void {
    for (const rank of this.#options.ratesPerS.keys()) {
      const count = queue.filter((one) => one.rank === rank).length;
      demand.demand.setWaiting(SERVICE, rank, count);
    }
  }

  #factorOf(rank: number): number {
    const burst = this.#options.bursts?.find((one) =>
      one.rank === rank && one.fromMs <= this.#elapsedMs &&
      this.#elapsedMs < one.toMs
    );
    return burst?.factor ?? 1;
  }
}
