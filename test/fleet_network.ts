/**
 * Calls between hosts of one process: with delay, loss, cuts and pauses, and
 * with counts of messages and bytes.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Clock } from "../src/common/clock.ts";
import { toDisposable } from "../src/common/lifecycle.ts";
import type { Random } from "../src/common/random.ts";
import { mayHaveRun, notRun, type Outcome } from "../src/common/verdict.ts";
import type { IPeerTransport, PeerMethod } from "../src/fleet/services.ts";
import { HostClock } from "./fleet_clock.ts";

/**
 * HTTP and JSON-RPC bytes of one call besides its parameters and its result,
 * both directions together; measure/fleet_transport.ts prints the figure.
 */
export const CALL_OVERHEAD_BYTES = 520;

/** One host on the network. */
export interface NetworkHost extends IPeerTransport {
  readonly name: string;
  readonly url: string;
  readonly clock: HostClock;
  readonly methods: Map<string, PeerMethod>;
  isUp: boolean;
  /** Hosts of different sides do not reach each other. */
  partition: number;
  sentCalls: number;
  sentBytes: number;
  receivedCalls: number;
  receivedBytes: number;
}

/** Settings of a {@link FleetNetwork}. */
export interface FleetNetworkOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Share of requests, and of answers, that get lost. */
  readonly lossFraction?: number;
  /** One way, in milliseconds. */
  readonly delayMs?: () => number;
  readonly isByteCountEnabled?: boolean;
  /** Which methods are counted; all by default. */
  readonly isCounted?: (method: string) => boolean;
}

/** Carries calls between hosts. */
export class FleetNetwork {
  readonly hosts = new Map<string, NetworkHost>();
  readonly #options: FleetNetworkOptions;
  lossFraction: number;

  constructor(options: FleetNetworkOptions) {
    this.#options = options;
    this.lossFraction = options.lossFraction ?? 0;
  }

  /** Adds a host; an earlier one with this url is replaced. */
  add(name: string, url = `http://${name}`): NetworkHost {
    const methods = new Map<string, PeerMethod>();
    const host: NetworkHost = {
      name,
      url,
      clock: new HostClock(this.#options.clock),
      methods,
      isUp: true,
      partition: 0,
      sentCalls: 0,
      sentBytes: 0,
      receivedCalls: 0,
      receivedBytes: 0,
      call: (toUrl, request, options) =>
        this.#call(host, { toUrl, request, ...options }),
      handle: (method, handler) => {
        methods.set(method, handler);
        return toDisposable(() => methods.delete(method));
      },
    };
    this.hosts.set(url, host);
    return host;
  }

  resetCounts(): void {
    for (const host of this.hosts.values()) {
      host.sentCalls = 0;
      host.sentBytes = 0;
      host.receivedCalls = 0;
      host.receivedBytes = 0;
    }
  }

  async #call(
    from: NetworkHost,
    call: {
      readonly toUrl: string;
      readonly request: { method: string; parameters: unknown };
      readonly deadlineMs: number;
    },
  ): Promise<Outcome<unknown>> {
    const { clock } = this.#options;
    const { method: name } = call.request;
    this.#count(from, call.request, { direction: "sent", name });
    const to = this.hosts.get(call.toUrl);
    const isReachable = () =>
      to?.isUp && from.isUp && to.partition === from.partition;
    if (to !== undefined && !to.isUp && from.partition === to.partition) {
      await clock.sleep(this.#delay());
      return notRun("connection-failed", `${call.toUrl} refused`);
    }
    await clock.sleep(this.#delay());
    if (to === undefined || !isReachable() || this.#isLost()) {
      return this.#timeOut(from, call.deadlineMs);
    }
    if (to.clock.isPaused) {
      const timeout = clock.sleep(call.deadlineMs - clock.nowMs());
      await Promise.race([to.clock.untilRunning(), timeout]);
    }
    if (clock.nowMs() >= call.deadlineMs) return this.#timeOut(from, 0);
    this.#count(to, call.request, { direction: "received", name });
    const method = to.methods.get(call.request.method);
    if (method === undefined) return notRun("bad-request", "no such method");
    const result = await method(call.request.parameters, from.name);
    this.#count(to, result, { direction: "sent", name });
    await clock.sleep(this.#delay());
    const isLate = clock.nowMs() > call.deadlineMs;
    if (!isReachable() || this.#isLost() || isLate) {
      return this.#timeOut(from, call.deadlineMs);
    }
    await from.clock.untilRunning();
    this.#count(from, result, { direction: "received", name });
    return new Ok(result);
  }

  async #timeOut(
    from: NetworkHost,
    deadlineMs: number,
  ): Promise<Outcome<never>> {
    await from.clock.sleep(deadlineMs - this.#options.clock.nowMs());
    return mayHaveRun("deadline-exceeded", "no answer in time");
  }

  #delay(): number {
    return this.#options.delayMs?.() ?? 1;
  }

  #isLost(): boolean {
    return this.#options.random() < this.lossFraction;
  }

  #count(
    host: NetworkHost,
    body: unknown,
    options: { readonly direction: "sent" | "received"; readonly name: string },
  ): void {
    if (this.#options.isCounted?.(options.name) === false) return;
    const sizeBytes = this.#options.isByteCountEnabled !== true
      ? 0
      : CALL_OVERHEAD_BYTES / 2 + (JSON.stringify(body)?.length ?? 0);
    if (options.direction === "sent") {
      host.sentCalls += 1;
      host.sentBytes += sizeBytes;
    } else {
      host.receivedCalls += 1;
      host.receivedBytes += sizeBytes;
    }
  }
}
