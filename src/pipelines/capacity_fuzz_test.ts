/**
 * Random histories of failures against a simple oracle: no request ever runs
 * through spans that do not cover the model once, and once the failures end,
 * every target comes to hold what is wanted within a bound.
 *
 * @module
 */

import fc from "fast-check";
import { expect, test } from "vitest";
import {
  CapacityFleet,
  type CapacityHost,
} from "../../test/pipelines_capacity.ts";

const SEED = 4_242;
const RUNS = 40;
const RECOVERY_TIMEOUT_MS = 90_000;
/** Time after which no host orders anything any more. */
const SETTLED_AFTER_MS = 10_000;
const STEP_MS = 400;

type Action =
  | { readonly kind: "kill" | "freeze" | "revive"; readonly target: number }
  | { readonly kind: "pause-host" | "resume-host"; readonly host: number }
  | { readonly kind: "replace-host"; readonly host: number }
  | { readonly kind: "log-down" | "log-up" | "lose-answers" | "roll-out" }
  | { readonly kind: "stale-order"; readonly target: number; first: number }
  | { readonly kind: "wait"; readonly waitMs: number };

const target = fc.nat({ max: 5 });
const host = fc.nat({ max: 2 });
const actions: fc.Arbitrary<Action[]> = fc.array(
  fc.oneof(
    fc.record({
      kind: fc.constantFrom("kill" as const, "freeze" as const),
      target,
    }),
    fc.record({ kind: fc.constant("revive" as const), target }),
    fc.record({
      kind: fc.constantFrom(
        "pause-host" as const,
        "resume-host" as const,
        "replace-host" as const,
      ),
      host,
    }),
    fc.record({
      kind: fc.constantFrom(
        "log-down" as const,
        "log-up" as const,
        "lose-answers" as const,
        "roll-out" as const,
      ),
    }),
    fc.record({
      kind: fc.constant("stale-order" as const),
      target,
      first: fc.constantFrom(0, 2, 4),
    }),
    fc.record({
      kind: fc.constant("wait" as const),
      waitMs: fc.integer({ min: 500, max: 8_000 }),
    }),
  ),
  { minLength: 4, maxLength: 14 },
);

class History {
  readonly fleet: CapacityFleet;
  validCount = 0;
  #version = 1;
  #prefixHash = 0;

  constructor(checksFence: boolean) {
    this.fleet = new CapacityFleet({
      seed: SEED,
      hostCount: 3,
      targetsPerStage: 2,
      standbyCount: 2,
      loadMs: 1_500,
      checksFence,
      standbysReady: true,
    });
  }

  get version(): string {
    return `v${this.#version}`;
  }

  async play(action: Action): Promise<void> {
    const { fleet } = this;
    if (action.kind === "wait") return await this.dispatchFor(action.waitMs);
    if ("target" in action) this.#actOnTarget(action);
    else if ("host" in action) this.#actOnHost(action);
    else if (action.kind === "log-down") fleet.log.isDown = true;
    else if (action.kind === "log-up") fleet.log.isDown = false;
    else if (action.kind === "lose-answers") fleet.log.losesAnswers = true;
    else this.#rollOut();
    await this.dispatchFor(STEP_MS);
  }

  /** Lets time pass while hosts send requests; none may run wrongly. */
  async dispatchFor(durationMs: number): Promise<void> {
    const { fleet } = this;
    for (
      let remainingMs = durationMs;
      remainingMs > 0;
      remainingMs -= STEP_MS
    ) {
      await fleet.clock.advance(Math.min(remainingMs, STEP_MS));
      for (const { picker } of fleet.hosts) {
        const prefixHash = this.#prefixHash++;
        const request = { pipeline: "p", prefixHash, avoid: new Set<string>() };
        const pick = picker.pick(request);
        if (pick.isErr()) continue;
        const result = fleet.run(pick.value.chain);
        expect(result).not.toBe("wrong");
        if (result === "right") this.validCount++;
        pick.value.dispose();
      }
    }
  }

  /** Ends all failures. */
  heal(): void {
    const { fleet } = this;
    fleet.log.isDown = false;
    fleet.log.losesAnswers = false;
    for (const { settings } of fleet.engines.engines.values()) {
      settings.isDown = false;
      settings.isFrozen = false;
    }
    for (const { process } of [...fleet.hosts, ...fleet.removedHosts]) {
      process.resume();
    }
  }

  #actOnTarget(action: Extract<Action, { target: number }>): void {
    const names = [...this.fleet.engines.engines.keys()];
    const engine = this.fleet.engine(names[action.target]);
    if (action.kind === "kill") engine.settings.isDown = true;
    if (action.kind === "freeze") engine.settings.isFrozen = true;
    if (action.kind === "revive") {
      engine.settings.isDown = false;
      engine.settings.isFrozen = false;
    }
    if (action.kind !== "stale-order") return;
    const { url } =
      this.fleet.config.state.config.targets[names[action.target]];
    const order = {
      ...{ orderId: "stale", fence: -1, model: "m", version: "v0" },
      ...{ adapters: [], role: "both" as const },
      ...{ first: action.first, end: action.first + 4 },
    };
    const deadlineMs = this.fleet.clock.nowMs() + 100;
    void this.fleet.engines.order(url, order, { deadlineMs });
  }

  #actOnHost(action: Extract<Action, { host: number }>): void {
    const host: CapacityHost = this.fleet.hosts[action.host];
    if (action.kind === "pause-host") host.process.pauseAtNextOrder();
    if (action.kind === "resume-host") host.process.resume();
    if (action.kind !== "replace-host") return;
    this.fleet.removeHost(host);
    this.fleet.addHost();
  }

  #rollOut(): void {
    this.#version++;
    this.fleet.config.set(this.fleet.document(this.version));
  }
}

test.each([[true], [false]])(
  "capacity returns and no request runs wrongly, fencing checked: %s",
  async (checksFence) => {
    await fc.assert(
      fc.asyncProperty(actions, async (steps) => {
        const history = new History(checksFence);
        const { fleet } = history;
        await history.dispatchFor(4_000);
        for (const step of steps) await history.play(step);
        history.heal();
        const startMs = fleet.clock.nowMs();
        while (fleet.countChains(history.version) < 3) {
          await history.dispatchFor(2_000);
          const tookMs = fleet.clock.nowMs() - startMs;
          expect(tookMs).toBeLessThan(RECOVERY_TIMEOUT_MS);
        }
        await history.dispatchFor(SETTLED_AFTER_MS);
        const loadCount = fleet.loadCount();
        await history.dispatchFor(SETTLED_AFTER_MS);
        expect(fleet.loadCount()).toBe(loadCount);
        expect(history.validCount).toBeGreaterThan(0);
        await fleet.stop();
      }),
      { seed: SEED, numRuns: RUNS },
    );
  },
);
