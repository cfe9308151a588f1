/**
 * Fakes that the tests and measurements of pipelines share: a configuration
 * held in memory, engines that publish and load, and gossip among hosts.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Clock } from "../src/common/clock.ts";
import { Emitter } from "../src/common/emitter.ts";
import { mayHaveRun, notRun, type Outcome } from "../src/common/verdict.ts";
import {
  type ConfigDocument,
  configSchema,
  EMPTY_CONFIG,
} from "../src/config/schema.ts";
import type { IConfigService } from "../src/config/services.ts";
import type { ConfigState } from "../src/config/types.ts";
import type {
  Fact,
  IDissemination,
  IMembership,
  Member,
} from "../src/fleet/services.ts";
import type { IEngineClient, ILogClient } from "../src/clients/services.ts";
import type {
  CallOptions,
  EngineOrder,
  EngineState,
  LogEntry,
  LogPage,
  LogRecord,
} from "../src/clients/types.ts";

/** A configuration service that a test sets by hand. */
export class FakeConfig implements IConfigService {
  readonly isReady = true;
  readonly #changed = new Emitter<ConfigState>();
  readonly onChange = this.#changed.event;
  state: ConfigState = { version: 0, offset: -1, config: EMPTY_CONFIG };

  constructor(document: ConfigDocument = {}) {
    this.set(document);
  }

  set(document: ConfigDocument): void {
    const version = this.state.version + 1;
    const config = configSchema.parse(document);
    this.state = { version, offset: version, config };
    this.#changed.fire(this.state);
  }

  plan(): ReturnType<IConfigService["plan"]> {
    return notRun("internal", "the fake takes no patch");
  }

  patch(): ReturnType<IConfigService["patch"]> {
    return Promise.resolve(notRun("internal", "the fake takes no patch"));
  }

  history(): [] {
    return [];
  }
}

/** Gossip that reaches every other host after `delayMs`. */
export class FakeGossip {
  readonly #hosts = new Map<string, Emitter<Fact>>();
  publishedCount = 0;

  constructor(readonly clock: Clock, readonly delayMs = 500) {}

  join(host: string): IDissemination {
    const emitter = new Emitter<Fact>();
    this.#hosts.set(host, emitter);
    return {
      onFact: emitter.event,
      publish: (fact) => void this.#broadcast(fact, host),
    };
  }

  async #broadcast(fact: Fact, from: string): Promise<void> {
    this.publishedCount++;
    await this.clock.sleep(this.delayMs);
    for (const [host, emitter] of this.#hosts) {
      if (host !== from) emitter.fire(fact);
    }
  }
}

/** How a fake engine behaves. */
export interface FakeEngineSettings {
  isDown: boolean;
  isFrozen: boolean;
  checksFence: boolean;
  loadMs: number;
}

/** One engine that publishes its state and takes orders. */
export class FakeEngine {
  readonly settings: FakeEngineSettings;
  readonly orders: EngineOrder[] = [];
  state: EngineState;

  constructor(
    state: Pick<EngineState, "target"> & Partial<EngineState>,
    settings: Partial<FakeEngineSettings> = {},
  ) {
    this.settings = {
      isDown: false,
      isFrozen: false,
      checksFence: true,
      loadMs: 0,
      ...settings,
    };
    this.state = {
      model: "",
      version: "",
      adapters: [],
      role: "both",
      first: 0,
      end: 0,
      generation: 0,
      fence: -1,
      leaving: false,
      loading: false,
      load: { running: 0, queued: 0, asOfWallMs: 0 },
      ...state,
    };
  }
}

/** Reaches fake engines by URL `http://<target>`. */
export class FakeEngines implements IEngineClient {
  readonly engines = new Map<string, FakeEngine>();
  readCount = 0;

  constructor(readonly clock: Clock) {}

  add(engine: FakeEngine): FakeEngine {
    this.engines.set(engine.state.target, engine);
    return engine;
  }

  async readState(
    url: string,
    options: CallOptions,
  ): Promise<Outcome<EngineState>> {
    this.readCount++;
    const reached = await this.#reach(url, options);
    return reached.map((engine) => engine.state);
  }

  async order(
    url: string,
    order: EngineOrder,
    options: CallOptions,
  ): Promise<Outcome<EngineState>> {
    const reached = await this.#reach(url, options);
    if (reached.isErr()) return reached;
    const engine = reached.value;
    if (engine.settings.checksFence && order.fence < engine.state.fence) {
      return notRun("target-refused", `fence ${order.fence} is old`);
    }
    engine.orders.push(order);
    void this.#load(engine, order);
    return new Ok(engine.state);
  }

  generate(): ReturnType<IEngineClient["generate"]> {
    return Promise.resolve(notRun("internal", "the fake does not generate"));
  }

  reattach(): ReturnType<IEngineClient["reattach"]> {
    return Promise.resolve(notRun("internal", "the fake does not generate"));
  }

  cancel(): ReturnType<IEngineClient["cancel"]> {
    return Promise.resolve(notRun("internal", "the fake does not generate"));
  }

  async #reach(
    url: string,
    options: CallOptions,
  ): Promise<Outcome<FakeEngine>> {
    const engine = this.engines.get(new URL(url).hostname);
    if (!engine || engine.settings.isDown) {
      return notRun("connection-failed", `${url} refused the connection`);
    }
    if (engine.settings.isFrozen) {
      await this.clock.sleep(
        options.deadlineMs - this.clock.nowMs(),
        options.signal,
      );
      return mayHaveRun("deadline-exceeded", `${url} did not answer`);
    }
    return new Ok(engine);
  }

  async #load(engine: FakeEngine, order: EngineOrder): Promise<void> {
    const { first, end, model, version, adapters, role, fence } = order;
    const { state } = engine;
    const isSame = state.first === first && state.end === end &&
      state.model === model && state.version === version &&
      state.role === role && state.adapters.join() === adapters.join();
    if (isSame) {
      engine.state = { ...state, fence };
      return;
    }
    const generation = state.generation + 1;
    const next = { first, end, model, version, adapters, role, fence };
    engine.state = { ...state, ...next, generation, loading: true };
    await this.clock.sleep(engine.settings.loadMs);
    if (engine.state.generation !== generation) return;
    engine.state = { ...engine.state, loading: false };
  }
}

/** Members set by hand, as one of them sees them. */
export class FakeMembership implements IMembership {
  readonly #changed = new Emitter<readonly Member[]>();
  readonly onChange = this.#changed.event;
  readonly self: Member;
  #members: readonly Member[];

  constructor(self: string, names: readonly string[], region = "default") {
    this.#members = names.map((name) => member(name, region));
    this.self = this.#members.find(({ name }) => name === self) ??
      member(self, region);
  }

  members(): readonly Member[] {
    return this.#members;
  }

  set(members: readonly Member[]): void {
    this.#members = members;
    this.#changed.fire(members);
  }

  leave(): Promise<void> {
    return Promise.resolve();
  }
}

/** A live member. */
export function member(name: string, region = "default"): Member {
  const url = `http://${name}`;
  return { name, url, failureDomain: "fd", region, state: "alive" };
}

/** One log in memory that can be down or lose its answers. */
export class FakeLog implements ILogClient {
  readonly #streams = new Map<string, LogRecord[]>();
  isDown = false;
  /** Appends take effect, but the answers are lost. */
  losesAnswers = false;
  appendCount = 0;

  constructor(readonly clock: Clock) {}

  append(
    stream: string,
    entries: readonly LogEntry[],
    _options: CallOptions,
  ): Promise<Outcome<number>> {
    if (this.isDown) {
      return Promise.resolve(notRun("log-unavailable", "the log is down"));
    }
    const records = this.#records(stream);
    const first = records.length;
    const atWallMs = this.clock.wallMs();
    entries.forEach((entry, index) =>
      records.push({ ...entry, offset: first + index, atWallMs })
    );
    this.appendCount += entries.length;
    const answer: Outcome<number> = this.losesAnswers
      ? mayHaveRun("log-unavailable", "the answer was lost")
      : new Ok(first);
    return Promise.resolve(answer);
  }

  read(
    stream: string,
    fromOffset: number,
    _options: CallOptions,
  ): Promise<Outcome<LogPage>> {
    if (this.isDown) {
      return Promise.resolve(notRun("log-unavailable", "the log is down"));
    }
    const all = this.#records(stream);
    const records = all.filter(({ offset }) => offset >= fromOffset);
    const page = { records, firstOffset: 0, nextOffset: all.length };
    return Promise.resolve(new Ok(page));
  }

  #records(stream: string): LogRecord[] {
    const records = this.#streams.get(stream) ?? [];
    this.#streams.set(stream, records);
    return records;
  }
}

/** A process that can be paused: its waits and calls return only afterwards. */
export class PausableProcess {
  #resume: (() => void) | undefined;
  #paused: Promise<void> | undefined;
  #pausesAtOrder = false;

  get isPaused(): boolean {
    return this.#paused !== undefined;
  }

  pause(): void {
    this.#paused ??= new Promise((resolve) => this.#resume = resolve);
  }

  /** Pauses between the next order's last check and its sending. */
  pauseAtNextOrder(): void {
    this.#pausesAtOrder = true;
  }

  resume(): void {
    this.#pausesAtOrder = false;
    this.#resume?.();
    this.#paused = undefined;
  }

  /** The clock as the process sees it. */
  clock(clock: Clock): Clock {
    return {
      nowMs: () => clock.nowMs(),
      wallMs: () => clock.wallMs(),
      sleep: async (waitMs, signal) => {
        await clock.sleep(waitMs, signal);
        await this.#paused;
      },
    };
  }

  /** Engines as the process calls them: a pause may fall before the send. */
  engines(engines: IEngineClient): IEngineClient {
    return {
      generate: (...call) => engines.generate(...call),
      reattach: (...call) => engines.reattach(...call),
      cancel: (...call) => engines.cancel(...call),
      readState: async (...call) => {
        await this.#paused;
        return await engines.readState(...call);
      },
      order: async (...call) => {
        if (this.#pausesAtOrder) this.pause();
        await this.#paused;
        return await engines.order(...call);
      },
    };
  }
}
