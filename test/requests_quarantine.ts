/**
 * Hosts that serve completions from shared engines, some prompts of which
 * crash the engines that run them.
 *
 * @module
 */

import { Emitter } from "../src/common/emitter.ts";
import { seededRandom } from "../src/common/random.ts";
import type { Outcome } from "../src/common/verdict.ts";
import type { Fact, IDissemination } from "../src/fleet/services.ts";
import { CompletionService } from "../src/requests/completion_service.ts";
import { QuarantineService } from "../src/requests/quarantine_service.ts";
import { RequestJournal } from "../src/requests/request_journal.ts";
import type { IQuarantineService } from "../src/requests/services.ts";
import type { CompletionEnd } from "../src/requests/types.ts";
import { ManualClock } from "./manual_clock.ts";
import {
  ANSWER_TOKEN_COUNT,
  pipelineConfig,
  SPANS,
} from "./requests_completions.ts";
import { type PlannedCrash, TestEngines } from "./requests_engines.ts";
import { TestPicker } from "./requests_picker.ts";
import { TestNetwork } from "./requests_host.ts";

/** Options of `quarantineFleet`. */
export interface QuarantineFleetOptions {
  readonly seed: number;
  readonly hostCount: number;
  readonly replicas: number;
  /** Tokens of a whole answer. */
  readonly length?: number;
  readonly crashes: ReadonlyMap<string, PlannedCrash>;
  /** Takes the place of the service, for the plain way. */
  readonly quarantine?: IQuarantineService;
}

/** How one completion ended. */
export interface EndedCompletion {
  readonly prompt: string;
  readonly outcome: Outcome<CompletionEnd>;
  /** Times at which tokens were released. */
  readonly releasedAtMs: readonly number[];
}

/** Gossip that reaches every other host after up to a second. */
class TestGossip {
  readonly #emitters: Emitter<Fact>[] = [];
  readonly #clock: ManualClock;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  join(): IDissemination {
    const emitter = new Emitter<Fact>();
    this.#emitters.push(emitter);
    const publish = async (fact: Fact) => {
      await this.#clock.sleep(1_000);
      for (const other of this.#emitters) {
        if (other !== emitter) other.fire(JSON.parse(JSON.stringify(fact)));
      }
    };
    return { publish: (fact) => void publish(fact), onFact: emitter.event };
  }
}

/** Builds the fleet. */
export function quarantineFleet(options: QuarantineFleetOptions) {
  const clock = new ManualClock();
  const random = seededRandom(options.seed);
  const network = new TestNetwork({ clock, random });
  const gossip = new TestGossip(clock);
  const engines = new TestEngines({
    clock,
    length: options.length ?? ANSWER_TOKEN_COUNT,
    crash: (prompt) => options.crashes.get(prompt),
    onCrash: (target) => void reportFailureLater(target),
  });
  const pickers: TestPicker[] = [];
  /** Every host hears of a dead target within a second. */
  async function reportFailureLater(target: string): Promise<void> {
    await clock.sleep(1_000);
    for (const picker of pickers) picker.reportFailure(target);
  }
  for (const [at, span] of SPANS.entries()) {
    for (let replica = 0; replica < options.replicas; replica += 1) {
      engines.add(`e${at}-${replica}`, span);
    }
  }
  const ended: EndedCompletion[] = [];
  let nextId = 0;
  const names = Array.from(
    { length: options.hostCount },
    (_, at) => `host-${at}`,
  );
  const hosts = names.map((name) => network.add(name));
  const services = hosts.map((host) => {
    const quarantine = options.quarantine ?? new QuarantineService({
      clock,
      membership: network.membership(host),
      transport: network.transport(host),
      dissemination: gossip.join(),
    });
    const picker = new TestPicker({ engines, random, spans: SPANS });
    pickers.push(picker);
    return new CompletionService({
      clock,
      config: pipelineConfig(),
      picker,
      engines,
      journal: new RequestJournal({ clock }),
      quarantine,
      newId: () => `attempt-${nextId++}`,
    });
  });
  async function send(prompt: string, host: number): Promise<EndedCompletion> {
    const releasedAtMs: number[] = [];
    const outcome = await services[host].complete({
      requestId: "r",
      customer: "ferias",
      pipeline: "escriba",
      prompt,
      maxTokens: 64,
      deadlineMs: clock.nowMs() + 60_000,
      signal: new AbortController().signal,
    }, (tokens) => {
      releasedAtMs.push(...tokens.map(() => clock.nowMs()));
    });
    const end = { prompt, outcome, releasedAtMs };
    ended.push(end);
    return end;
  }
  return {
    clock,
    engines,
    ended,
    send,
    reportFailureLater: reportFailureLater,
  };
}
