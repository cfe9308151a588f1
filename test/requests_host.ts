/**
 * Hosts of a test fleet: each can be frozen, woken and killed, and each has
 * its own clock, network and log connection that stop with it.
 *
 * @module
 */

import type { Clock } from "../src/common/clock.ts";
import type { Disposable } from "../src/common/lifecycle.ts";
import { toDisposable } from "../src/common/lifecycle.ts";
import type { Random } from "../src/common/random.ts";
import { mayHaveRun, notRun, type Outcome } from "../src/common/verdict.ts";
import type {
  IMembership,
  IPeerTransport,
  Member,
  PeerMethod,
} from "../src/fleet/services.ts";
import { Ok } from "ts-results-es";

/** A host that runs, stands still, or is gone. */
export class TestHost {
  readonly member: Member;
  readonly handlers = new Map<string, PeerMethod>();
  isDead = false;
  #thaw: (() => void) | undefined;
  #frozen: Promise<void> | undefined;

  constructor(name: string) {
    this.member = {
      name,
      url: `http://${name}`,
      failureDomain: "d",
      region: "r",
      state: "alive",
    };
  }

  freeze(): void {
    this.#frozen ??= new Promise((resolve) => this.#thaw = resolve);
  }

  thaw(): void {
    this.#thaw?.();
    this.#frozen = undefined;
  }

  kill(): void {
    this.isDead = true;
  }

  /** Passes `value` on once the host runs; never on a host that is gone. */
  async resolveWhenRunning<T>(value: T): Promise<T> {
    while (this.#frozen) await this.#frozen;
    return this.isDead ? await new Promise<T>(() => {}) : value;
  }

  /** The clock as the host sees it: it goes on while the host stands still. */
  clock(clock: Clock): Clock {
    return {
      nowMs: () => clock.nowMs(),
      wallMs: () => clock.wallMs(),
      sleep: async (waitMs, signal) =>
        await this.resolveWhenRunning(await clock.sleep(waitMs, signal)),
    };
  }
}

/** Options of `TestNetwork`. */
export interface TestNetworkOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Share of calls whose answer is lost after the method ran. */
  readonly lostAnswers?: number;
  /** Longest one-way delay. */
  readonly delayMs?: number;
}

/** Calls between test hosts, with delays, losses and cut links. */
export class TestNetwork {
  readonly hosts: TestHost[] = [];
  lostAnswers: number;
  callCount = 0;
  byteCount = 0;
  readonly #options: TestNetworkOptions;
  readonly #cutLinks = new Set<string>();

  constructor(options: TestNetworkOptions) {
    this.#options = options;
    this.lostAnswers = options.lostAnswers ?? 0;
  }

  add(name: string): TestHost {
    const host = new TestHost(name);
    this.hosts.push(host);
    return host;
  }

  cut(from: string, to: string): void {
    this.#cutLinks.add(`${from}>${to}`).add(`${to}>${from}`);
  }

  heal(): void {
    this.#cutLinks.clear();
    this.lostAnswers = 0;
  }

  /** Membership as `host` sees it: by default everybody ever added. */
  membership(
    host: TestHost,
    members = () => this.hosts.map((other) => other.member),
  ): IMembership {
    return {
      self: host.member,
      members,
      onChange: () => toDisposable(() => {}),
      leave: () => Promise.resolve(),
    };
  }

  transport(host: TestHost): IPeerTransport {
    return {
      call: async (url, request, options) =>
        await host.resolveWhenRunning(
          await this.#call(host, url, request, options),
        ),
      handle: (method, handler): Disposable => {
        host.handlers.set(method, handler);
        return toDisposable(() => host.handlers.delete(method));
      },
    };
  }

  async #call(
    from: TestHost,
    url: string,
    request: { method: string; parameters: unknown },
    options: { deadlineMs: number },
  ): Promise<Outcome<unknown>> {
    const { clock, random } = this.#options;
    const to = this.hosts.find((host) => host.member.url === url);
    if (to === undefined || to.isDead) {
      return notRun("connection-failed", `${url} refused the connection`);
    }
    if (this.#cutLinks.has(`${from.member.name}>${to.member.name}`)) {
      await clock.sleep(options.deadlineMs - clock.nowMs());
      return notRun("connection-failed", `${url} did not connect`);
    }
    this.callCount += 1;
    const sent = JSON.stringify(request.parameters);
    const isLost = random() < this.lostAnswers;
    const timeout = mayHaveRun("deadline-exceeded", `${url} did not answer`);
    const reply = this.#deliver(to, request.method, sent);
    const outcome = await Promise.race([
      isLost ? new Promise<never>(() => {}) : reply,
      clock.sleep(options.deadlineMs - clock.nowMs()),
    ]);
    this.byteCount += sent.length + JSON.stringify(outcome ?? "").length;
    return outcome === undefined ? timeout : outcome;
  }

  async #deliver(
    to: TestHost,
    method: string,
    sent: string,
  ): Promise<Outcome<unknown>> {
    await this.#delay();
    await to.resolveWhenRunning(undefined);
    const handler = to.handlers.get(method);
    if (handler === undefined) return notRun("not-found", `no ${method}`);
    const answer = await to.resolveWhenRunning(
      await handler(JSON.parse(sent), "peer"),
    );
    await this.#delay();
    return new Ok(JSON.parse(JSON.stringify(answer ?? null)));
  }

  async #delay(): Promise<void> {
    const { clock, random, delayMs = 2 } = this.#options;
    if (delayMs > 0) await clock.sleep(random() * delayMs);
  }
}
