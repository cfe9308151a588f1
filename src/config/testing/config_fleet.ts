/**
 * Many configuration services on one clock of a test, joined by a network and
 * a log in memory whose faults the test switches on and off.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Clock } from "../../common/clock.ts";
import { toDisposable } from "../../common/lifecycle.ts";
import type { Random } from "../../common/random.ts";
import { mayHaveRun, notRun, type Outcome } from "../../common/verdict.ts";
import type { ILogClient } from "../../clients/services.ts";
import { ConfigService, type ConfigServiceOptions } from "../config_service.ts";
import type { CallPeer, HandlePeer } from "../peer_messages.ts";
import type { ConfigPeer } from "../peer_tree.ts";
import { FakeLog } from "./fake_log.ts";

/** What a fleet is made of. */
export interface ConfigFleetOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly hostCount: number;
  /** Time of one way between hosts and to the log. */
  readonly delayMs?: () => number;
  /** How far a host's wall clock is from true time. */
  readonly skewMs?: () => number;
  /** How long the list still names a host that has died. */
  readonly listLagMs?: number;
  readonly snapshotPolicy?: ConfigServiceOptions["snapshotPolicy"];
  /** False for the plain way: every host polls the log and asks nobody. */
  readonly hasPeers?: boolean;
}

/** One host of the fleet. A restarted host is another object with a new name. */
export class FleetHost {
  readonly handlers = new Map<string, (value: unknown) => unknown>();
  readonly stop = new AbortController();
  readonly url: string;
  service!: ConfigService;
  /** Hosts reach each other within one side only. */
  side = 0;
  isLogUnreachable = false;
  #resume: (() => void) | undefined;
  #resumed: Promise<void> = Promise.resolve();

  constructor(readonly slot: number, readonly name: string) {
    this.url = `http://${name}`;
  }

  get isAlive(): boolean {
    return !this.stop.signal.aborted;
  }

  get isPaused(): boolean {
    return this.#resume !== undefined;
  }

  pause(): void {
    if (this.isPaused) return;
    this.#resumed = new Promise((resolve) => this.#resume = resolve);
  }

  resume(): void {
    this.#resume?.();
    this.#resume = undefined;
  }

  /** Resolves when the host runs; never, once it is dead. */
  async whenResumed(): Promise<void> {
    await this.#resumed;
    if (!this.isAlive) await never();
  }
}

/** Starts, kills and joins hosts. */
export class ConfigFleet {
  readonly log: FakeLog;
  readonly hosts: FleetHost[] = [];
  readonly #options: ConfigFleetOptions;
  readonly #clock: Clock;
  readonly #byUrl = new Map<string, FleetHost>();
  #listed: ConfigPeer[] = [];
  #startCount = 0;
  isLogDown = false;
  losesLogReplies = false;
  /** Messages between hosts and their bytes, answers included. */
  messageCount = 0;
  byteCount = 0;

  constructor(options: ConfigFleetOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.log = new FakeLog({
      clock: options.clock,
      faults: {
        isUnreachable: (name) =>
          this.isLogDown || this.#host(name).isLogUnreachable,
        losesReply: () => this.losesLogReplies,
        delayMs: () => this.#delayMs(),
      },
    });
    for (let slot = 0; slot < options.hostCount; slot++) {
      this.hosts.push(this.#create(slot));
    }
    this.#setListed([...this.hosts]);
    for (const host of this.hosts) this.#run(host);
  }

  /** Kills the host of a slot and starts another under a new name. */
  restart(slot: number): void {
    this.kill(slot);
    const old = this.hosts[slot];
    const host = this.#create(slot);
    host.side = old.side;
    host.isLogUnreachable = old.isLogUnreachable;
    this.hosts[slot] = host;
    this.#setListed([...this.#listed, host]);
    this.#run(host);
  }

  /** Kills the host of a slot; the list forgets it later. */
  kill(slot: number): void {
    const host = this.hosts[slot];
    host.stop.abort();
    host.service.dispose();
    void this.#clock.sleep(this.#options.listLagMs ?? 5_000).then(() =>
      this.#setListed(this.#listed.filter(({ name }) => name !== host.name))
    );
  }

  /** Ends every fault. */
  heal(): void {
    this.isLogDown = false;
    this.losesLogReplies = false;
    for (const host of this.hosts) {
      host.side = 0;
      host.isLogUnreachable = false;
      host.resume();
    }
  }

  dispose(): void {
    for (const host of this.hosts) host.stop.abort();
  }

  #create(slot: number): FleetHost {
    this.#startCount += 1;
    const host = new FleetHost(slot, `h${slot}-${this.#startCount}`);
    this.#byUrl.set(host.url, host);
    return host;
  }

  #run(host: FleetHost): void {
    const { random, snapshotPolicy, hasPeers = true } = this.#options;
    let idCount = 0;
    const handlePeer: HandlePeer = (method, handler) => {
      host.handlers.set(method, handler);
      return toDisposable(() => host.handlers.delete(method));
    };
    host.service = new ConfigService({
      host: host.name,
      log: this.#logOf(host),
      clock: this.#clockOf(host),
      random,
      snapshotPolicy,
      createId: () => `${host.name}-${idCount++}`,
      ...(hasPeers
        ? {
          peering: {
            self: { name: host.name, url: host.url },
            peers: () => this.#listed,
            callPeer: (...call) => this.#call(host, ...call),
            handlePeer,
          },
        }
        : {}),
    });
    void host.service.run(host.stop.signal);
  }

  #setListed(listed: readonly ConfigPeer[]): void {
    this.#listed = listed.map(({ name, url }) => ({ name, url }));
  }

  #host(name: string): FleetHost {
    return this.#byUrl.get(`http://${name}`)!;
  }

  #delayMs(): number {
    return this.#options.delayMs?.() ?? 1;
  }

  #clockOf(host: FleetHost): Clock {
    const clock = this.#clock;
    const skewMs = this.#options.skewMs?.() ?? 0;
    return {
      nowMs: () => clock.nowMs(),
      wallMs: () => clock.wallMs() + skewMs,
      async sleep(waitMs, signal) {
        await clock.sleep(waitMs, signal);
        if (!signal?.aborted) await host.whenResumed();
      },
    };
  }

  #logOf(host: FleetHost): ILogClient {
    const client = this.log.client(host.name);
    return {
      async append(...call) {
        const answer = await client.append(...call);
        await host.whenResumed();
        return answer;
      },
      async read(...call) {
        const answer = await client.read(...call);
        await host.whenResumed();
        return answer;
      },
    };
  }

  async #call(
    from: FleetHost,
    ...[url, request, { deadlineMs }]: Parameters<CallPeer>
  ): Promise<Outcome<unknown>> {
    const late = mayHaveRun("deadline-exceeded", `${url} did not answer`);
    const sent = JSON.stringify(request.parameters);
    this.#count(sent);
    const deadline = new AbortController();
    const answer = await Promise.race([
      this.#deliver(from, url, { method: request.method, sent }),
      this.#clock.sleep(deadlineMs - this.#clock.nowMs(), deadline.signal)
        .then(() => late),
    ]);
    deadline.abort();
    await from.whenResumed();
    return answer;
  }

  async #deliver(
    from: FleetHost,
    url: string,
    call: { method: string; sent: string },
  ): Promise<Outcome<unknown>> {
    await this.#clock.sleep(this.#delayMs());
    const to = this.#byUrl.get(url);
    if (to === undefined || !to.isAlive) {
      return notRun("connection-failed", `${url} refuses connections`);
    }
    if (to.side !== from.side) return await never();
    await to.whenResumed();
    const handler = to.handlers.get(call.method);
    if (handler === undefined) return notRun("not-found", call.method);
    let answer: string;
    try {
      answer = JSON.stringify(await handler(JSON.parse(call.sent)));
    } catch (error) {
      return mayHaveRun("internal", `${call.method} failed: ${error}`);
    }
    this.#count(answer);
    await this.#clock.sleep(this.#delayMs());
    if (to.side !== from.side || !to.isAlive) return await never();
    return new Ok(JSON.parse(answer));
  }

  #count(text: string): void {
    this.messageCount += 1;
    this.byteCount += text.length;
  }
}

function never(): Promise<never> {
  return new Promise(() => {});
}
