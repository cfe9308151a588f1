/**
 * Simulates the limits of many customers at four fleet sizes in virtual time:
 * requests admitted against the limit, messages and bytes, and an even split of
 * each limit over the hosts for comparison.
 * Run: node dist/measure/limits_shares.js [largest size] [smallest size]
 *
 * @module
 */

import { type Random, seededRandom } from "../src/common/random.ts";
import { LimitService } from "../src/fleet/limit_service.ts";
import type { IMembership, Member } from "../src/fleet/services.ts";
import { toDisposable } from "../src/common/lifecycle.ts";
import { FleetClock } from "../test/fleet_clock.ts";
import { makeConfig, type TestLimits } from "../test/fleet_limits.ts";
import { FleetNetwork, type NetworkHost } from "../test/fleet_network.ts";

const SEED = 13;
const STEP_MS = 50;
/** Requests per second that one host receives. */
const REQUESTS_PER_HOST = 22;
/** One customer in this many sends more than its limit allows. */
const OVER_LIMIT_INTERVAL = 10;
const OVERLOAD_FACTOR = 2;
const HEADROOM_FACTOR = 1.5;

interface Size {
  readonly hosts: number;
  readonly customers: number;
  readonly warmUpMs: number;
  readonly measuredMs: number;
}

const SIZES: readonly Size[] = [
  { hosts: 9, customers: 10, warmUpMs: 10_000, measuredMs: 60_000 },
  { hosts: 90, customers: 500, warmUpMs: 20_000, measuredMs: 60_000 },
  { hosts: 400, customers: 2_200, warmUpMs: 30_000, measuredMs: 30_000 },
  { hosts: 1_600, customers: 8_700, warmUpMs: 24_000, measuredMs: 6_000 },
];

interface Customer {
  readonly name: string;
  readonly demandPerS: number;
  readonly limits: TestLimits;
  readonly isOverLimit: boolean;
  requested: number;
  admitted: number;
  admittedEvenly: number;
}

export async function run(
  options: { readonly largest?: number; readonly smallest?: number } = {},
): Promise<void> {
  const startedMs = performance.now();
  console.log(
    `Seed ${SEED}, ${REQUESTS_PER_HOST} requests/s per host, Zipf-` +
      `distributed demand; one customer in ${OVER_LIMIT_INTERVAL} sends ${OVERLOAD_FACTOR} times ` +
      `its limit, the limits of the others are ${HEADROOM_FACTOR} times their demand\n`,
  );
  console.log(
    "| hosts | customers | over the limit: admitted of limit, mean (five largest) | within it: admitted of asked | the same split evenly | messages/s a host, mean (most) | bytes/s a host, mean (most) | accounts a host |",
  );
  console.log("| --- | --- | --- | --- | --- | --- | --- | --- |");
  for (const size of SIZES) {
    const isTooLarge = size.hosts > (options.largest ?? Infinity);
    const isTooSmall = size.hosts < (options.smallest ?? 0);
    if (!isTooLarge && !isTooSmall) await measure(size);
  }
  const tookS = (performance.now() - startedMs) / 1_000;
  console.log(
    `\nMessages and bytes count both sent and received. Run time ${
      tookS.toFixed(0)
    } s`,
  );
}

async function measure(size: Size): Promise<void> {
  const random = seededRandom(SEED);
  const clock = new FleetClock();
  const network = new FleetNetwork({ clock, random, isByteCountEnabled: true });
  const customers = makeCustomers(size);
  const hosts = makeHosts(size, { clock, network, random, customers });
  const abort = new AbortController();
  for (const { limits } of hosts) void limits.run(abort.signal);
  const traffic = new Arrivals(customers, { hosts, random, clock });
  await traffic.run(size.warmUpMs);
  network.resetCounts();
  for (const customer of customers) {
    customer.requested = customer.admitted = customer.admittedEvenly = 0;
  }
  await traffic.run(size.measuredMs);
  abort.abort();
  print(size, { customers, hosts });
}

function makeCustomers(size: Size): Customer[] {
  const weights = Array.from({ length: size.customers }, (_, i) => 1 / (i + 1));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const totalPerS = size.hosts * REQUESTS_PER_HOST;
  return weights.map((weight, index) => {
    const demandPerS = totalPerS * weight / total;
    const isOverLimit = index % OVER_LIMIT_INTERVAL === 0;
    const requestsPerS = isOverLimit
      ? demandPerS / OVERLOAD_FACTOR
      : demandPerS * HEADROOM_FACTOR;
    return {
      name: `customer-${index}`,
      demandPerS,
      limits: { requestsPerS, concurrentRequests: 1_000_000 },
      isOverLimit,
      requested: 0,
      admitted: 0,
      admittedEvenly: 0,
    };
  });
}

interface Host {
  readonly network: NetworkHost;
  readonly limits: LimitService;
  readonly evenBuckets: Map<string, { tokens: number; atMs: number }>;
}

function makeHosts(
  size: Size,
  environment: {
    readonly clock: FleetClock;
    readonly network: FleetNetwork;
    readonly random: Random;
    readonly customers: readonly Customer[];
  },
): Host[] {
  const { clock, network, random } = environment;
  const names = Array.from({ length: size.hosts }, (_, i) => `host-${i}`);
  const members: Member[] = names.map((name) => ({
    name,
    url: `http://${name}`,
    failureDomain: "domain",
    region: "region",
    state: "alive",
  }));
  const config = makeConfig(
    Object.fromEntries(
      environment.customers.map((one) => [one.name, one.limits]),
    ),
  );
  return members.map((self) => {
    const host = network.add(self.name);
    const membership: IMembership = {
      self,
      members: () => members,
      onChange: () => toDisposable(() => {}),
      leave: () => Promise.resolve(),
    };
    const limits = new LimitService({
      config,
      membership,
      transport: host,
      clock,
      random,
    });
    return { network: host, limits, evenBuckets: new Map() };
  });
}

/** Sends the customers' requests to random hosts. */
class Arrivals {
  readonly #cumulativePerS: number[] = [];
  readonly #totalPerS: number;

  constructor(
    readonly customers: readonly Customer[],
    readonly environment: {
      readonly hosts: readonly Host[];
      readonly random: Random;
      readonly clock: FleetClock;
    },
  ) {
    let sum = 0;
    for (const { demandPerS } of customers) {
      sum += demandPerS;
      this.#cumulativePerS.push(sum);
    }
    this.#totalPerS = sum;
  }

  async run(measuredMs: number): Promise<void> {
    const { random, clock, hosts } = this.environment;
    const mean = this.#totalPerS * STEP_MS / 1_000;
    let due = 0;
    for (let atMs = 0; atMs < measuredMs; atMs += STEP_MS) {
      await clock.advance(STEP_MS);
      due += mean;
      for (; due >= 1; due -= 1) {
        const host = hosts[Math.floor(random() * hosts.length)];
        this.#arrive(host, this.#customerAt(random()));
      }
    }
  }

  #arrive(host: Host, customer: Customer): void {
    customer.requested += 1;
    const outcome = host.limits.admit(customer.name);
    if (outcome.isOk()) {
      outcome.value.dispose();
      customer.admitted += 1;
    }
    if (this.#admitEvenly(host, customer)) customer.admittedEvenly += 1;
  }

  #admitEvenly(host: Host, customer: Customer): boolean {
    const { hosts, clock } = this.environment;
    const nowMs = clock.nowMs();
    const rate = customer.limits.requestsPerS / hosts.length;
    const bucket = host.evenBuckets.get(customer.name) ??
      { tokens: 1, atMs: nowMs };
    const earned = (nowMs - bucket.atMs) * rate / 1_000;
    bucket.tokens = Math.min(Math.max(1, rate / 2), bucket.tokens + earned);
    bucket.atMs = nowMs;
    host.evenBuckets.set(customer.name, bucket);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  #customerAt(fraction: number): Customer {
    const threshold = fraction * this.#totalPerS;
    let low = 0;
    let high = this.#cumulativePerS.length - 1;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.#cumulativePerS[middle] < threshold) low = middle + 1;
      else high = middle;
    }
    return this.customers[low];
  }
}

function print(
  size: Size,
  result: {
    readonly customers: readonly Customer[];
    readonly hosts: readonly Host[];
  },
): void {
  const measuredS = size.measuredMs / 1_000;
  const overLimit = result.customers.filter((one) => one.isOverLimit);
  const withinLimit = result.customers.filter((one) => !one.isOverLimit);
  const shareOfLimit = (some: readonly Customer[], key: Admitted) =>
    sum(some.map((one) => one[key])) /
    sum(some.map((one) => one.limits.requestsPerS * measuredS));
  const shareOfRequested = (some: readonly Customer[], key: Admitted) =>
    sum(some.map((one) => one[key])) / sum(some.map((one) => one.requested));
  const even = "admittedEvenly";
  const messages = result.hosts.map(({ network }) =>
    (network.sentCalls + network.receivedCalls) / measuredS
  );
  const bytes = result.hosts.map(({ network }) =>
    (network.sentBytes + network.receivedBytes) / measuredS
  );
  const accounts = result.hosts.map(({ limits }) => limits.accountCount);
  const cells = [
    size.hosts,
    size.customers,
    `${percent(shareOfLimit(overLimit, "admitted"))} (${
      percent(shareOfLimit(overLimit.slice(0, 5), "admitted"))
    })`,
    percent(shareOfRequested(withinLimit, "admitted")),
    `${percent(shareOfLimit(overLimit, even))}; ${
      percent(shareOfRequested(withinLimit, even))
    }`,
    `${mean(messages).toFixed(1)} (${max(messages).toFixed(0)})`,
    `${mean(bytes).toFixed(0)} (${max(bytes).toFixed(0)})`,
    mean(accounts).toFixed(0),
  ];
  console.log(`| ${cells.join(" | ")} |`);
}

type Admitted = "admitted" | "admittedEvenly";

function percent(fraction: number): string {
  return `${(fraction * 100).toFixed(1)}%`;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

function max(values: readonly number[]): number {
  return values.reduce((most, value) => Math.max(most, value), 0);
}

if (process.argv[1] === import.meta.filename) {
  await run({
    largest: Number(process.argv[2] ?? Infinity),
    smallest: Number(process.argv[3] ?? 0),
  });
}
