/**
 * Routes an op to the host that batches its partition, with fail-over to the
 * next ranked host and finally to this host.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { rendezvousRank } from "../common/hash.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import type { IMembership, IPeerTransport, Member } from "../fleet/services.ts";
import type { ILogClient } from "../clients/services.ts";
import { AppendBudget } from "./append_budget.ts";
import { ClaimBatcher } from "./claim_batcher.ts";
import {
  CLAIM_PARTITION_COUNT,
  type ClaimOp,
  type ClaimOpOutcome,
  claimStream,
  parseClaimOpOutcome,
  parseClaimSubmit,
  partitionOf,
} from "./claim_records.ts";

/** Limits on the load of the log and on the wait of callers. */
export interface ClaimPolicy {
  /** Time for which a key is kept after its holder may no longer dispatch. */
  readonly windowMs: number;
  /**
   * Retention of the log; at least `windowMs` plus the longest time for which a
   * claim holds.
   */
  readonly logRetentionMs: number;
  /** Appends per second by all first-ranked hosts together. */
  readonly batchedAppendsPerS: number;
  /** Appends per second by all other hosts together. */
  readonly fallbackAppendsPerS: number;
  readonly batchIntervalMs: number;
  readonly logTimeoutMs: number;
  /** Time-out of one host before the next one is tried. */
  readonly hopTimeoutMs: number;
  /** Time-out of a claim for its outcome. */
  readonly settleTimeoutMs: number;
  readonly maxBatchSize: number;
  readonly maxPending: number;
}

export interface ClaimRouterOptions {
  readonly clock: Clock;
  readonly log: ILogClient;
  readonly membership: IMembership;
  readonly transport: IPeerTransport;
  readonly newId: () => string;
  readonly random: Random;
  readonly policy: ClaimPolicy;
}

/** Outcome of an op, and whether a copy of it may still reach the log. */
export interface RoutedOutcome {
  readonly outcome: ClaimOpOutcome;
  readonly mayStillAppear: boolean;
}

/** Ranked hosts tried before this host batches the op itself. */
const BATCHERS_PER_PARTITION = 2;
/** Time for which a ranking of the members is cached. */
const RANKING_TTL_MS = 500;

/** Cached ranking of the hosts of a partition. */
interface Ranking {
  readonly members: Member[];
  readonly untilMs: number;
}

/** Routes ops of this host and batches those received from other hosts. */
export class ClaimRouter implements Disposable {
  readonly #options: ClaimRouterOptions;
  readonly #batchers = new Map<number, ClaimBatcher>();
  readonly #batchedBudgets = new Map<number, AppendBudget>();
  readonly #rankings = new Map<number, Ranking>();
  readonly #fallbackBudget: AppendBudget;
  readonly #owned = new DisposableStore();

  constructor(options: ClaimRouterOptions) {
    this.#options = options;
    const { clock, membership, policy, transport } = options;
    this.#fallbackBudget = new AppendBudget({
      clock,
      burst: 1,
      initial: options.random(),
      ratePerS: () =>
        policy.fallbackAppendsPerS / Math.max(1, membership.members().length),
    });
    this.#owned.add(
      transport.handle("claims.submit", (sent) => this.#handleSubmit(sent)),
    );
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Tries the candidate hosts in order until one returns the log's outcome. */
  async submit(
    op: ClaimOp,
    options: { deadlineMs: number },
  ): Promise<RoutedOutcome> {
    const { clock, membership } = this.#options;
    const partition = partitionOf(op.key);
    let last: ClaimOpOutcome = {
      kind: "unsettled",
      message: "the deadline passed before the claim was sent",
    };
    let mayStillAppear = false;
    for (const member of this.#candidates(partition)) {
      if (clock.nowMs() >= options.deadlineMs) break;
      const deadlineMs = this.#hopDeadlineMs(options.deadlineMs);
      const outcome = member.name === membership.self.name
        ? await this.#submitLocally(op, { partition, deadlineMs })
        : await this.#submitTo(member, { partition, op, deadlineMs });
      if (outcome === undefined) continue;
      if (outcome.kind === "unsettled") mayStillAppear = true;
      if (outcome.kind !== "unsettled" && outcome.kind !== "refused") {
        return { outcome, mayStillAppear };
      }
      last = outcome;
    }
    return { outcome: last, mayStillAppear };
  }

  #hopDeadlineMs(deadlineMs: number): number {
    const { clock, policy } = this.#options;
    return Math.min(deadlineMs, clock.nowMs() + policy.hopTimeoutMs);
  }

  /** Hosts to try, in order; every host computes the same ranking. */
  #candidates(partition: number): Member[] {
    const { self } = this.#options.membership;
    const others = this.#ranked(partition);
    const isRanked = others.some((member) => member.name === self.name);
    return isRanked ? others : [...others, self];
  }

  /** First-ranked members for a partition, cached for `RANKING_TTL_MS`. */
  #ranked(partition: number): Member[] {
    const { clock, membership } = this.#options;
    const known = this.#rankings.get(partition);
    if (known !== undefined && clock.nowMs() < known.untilMs) {
      return known.members;
    }
    const all = membership.members();
    const byName = new Map(all.map((member) => [member.name, member]));
    const names = rendezvousRank(claimStream(partition), [...byName.keys()]);
    const members = names.slice(0, BATCHERS_PER_PARTITION)
      .flatMap((name) => byName.get(name) ?? []);
    const untilMs = clock.nowMs() + RANKING_TTL_MS;
    this.#rankings.set(partition, { members, untilMs });
    return members;
  }

  /** Returns undefined if the member certainly did not receive the op. */
  async #submitTo(
    member: Member,
    sent: { partition: number; op: ClaimOp; deadlineMs: number },
  ): Promise<ClaimOpOutcome | undefined> {
    const { clock, transport } = this.#options;
    const { partition, op, deadlineMs } = sent;
    const waitMs = Math.max(0, deadlineMs - clock.nowMs());
    const answered = await transport.call(member.url, {
      method: "claims.submit",
      parameters: { partition, op, waitMs },
    }, { deadlineMs });
    if (answered.isErr()) {
      const { message, verdict } = answered.error;
      if (verdict === "not-run") return undefined;
      return { kind: "unsettled", message };
    }
    return parseClaimOpOutcome(answered.value) ??
      {
        kind: "unsettled",
        message: `host ${member.name} sent a malformed outcome`,
      };
  }

  #handleSubmit(parameters: unknown): Promise<ClaimOpOutcome> {
    const { partition, op, waitMs } = parseClaimSubmit(parameters);
    const deadlineMs = this.#options.clock.nowMs() + waitMs;
    return this.#submitLocally(op, { partition, deadlineMs });
  }

  /** Submits to this host's batcher; `unsettled` after the deadline. */
  async #submitLocally(
    op: ClaimOp,
    options: { partition: number; deadlineMs: number },
  ): Promise<ClaimOpOutcome> {
    const { clock } = this.#options;
    const grouper = this.#batcherFor(options.partition);
    const stop = new AbortController();
    const outcome = await Promise.race([
      grouper.submit(op, { deadlineMs: options.deadlineMs }),
      clock.sleep(options.deadlineMs - clock.nowMs(), stop.signal),
    ]);
    stop.abort();
    return outcome ??
      { kind: "unsettled", message: "the log did not respond in time" };
  }

  #batcherFor(partition: number): ClaimBatcher {
    const known = this.#batchers.get(partition);
    if (known !== undefined) return known;
    const { clock, log, newId, policy } = this.#options;
    const grouper = new ClaimBatcher({
      clock,
      log,
      newId,
      partition,
      ...policy,
      budget: () => this.#budgetFor(partition),
    });
    this.#batchers.set(partition, grouper);
    return grouper;
  }

  #budgetFor(partition: number): AppendBudget {
    const { membership } = this.#options;
    const [first] = this.#ranked(partition);
    if (first?.name !== membership.self.name) return this.#fallbackBudget;
    const known = this.#batchedBudgets.get(partition);
    if (known !== undefined) return known;
    const { clock, policy } = this.#options;
    const budget = new AppendBudget({
      clock,
      burst: 2,
      ratePerS: () => policy.batchedAppendsPerS / CLAIM_PARTITION_COUNT,
    });
    this.#batchedBudgets.set(partition, budget);
    return budget;
  }
}
