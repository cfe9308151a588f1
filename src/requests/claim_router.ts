/**
 * Brings an op to a host that groups its partition, and to others when that
 * host does not answer; this host itself stands in last.
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

/** Bounds on what claims cost the log and their callers. */
export interface ClaimPolicy {
  /** How long a key is remembered after its holder could last dispatch. */
  readonly windowMs: number;
  /** How long the log keeps records; it must outlast every claim. */
  readonly logRetentionMs: number;
  /** Appends a second by the grouping hosts of all partitions together. */
  readonly batchedAppendsPerS: number;
  /** Appends a second by all hosts that stand in, together. */
  readonly fallbackAppendsPerS: number;
  readonly batchIntervalMs: number;
  readonly logTimeoutMs: number;
  /** How long one host may take to answer before the next is asked. */
  readonly hopTimeoutMs: number;
  /** How long an asker waits for its claim to settle. */
  readonly settleTimeoutMs: number;
  readonly maxBatchSize: number;
  readonly maxPending: number;
}

/** Options of `ClaimRouter`. */
export interface ClaimRouterOptions {
  readonly clock: Clock;
  readonly log: ILogClient;
  readonly membership: IMembership;
  readonly transport: IPeerTransport;
  readonly newId: () => string;
  readonly random: Random;
  readonly policy: ClaimPolicy;
}

/** The fate of an op, and whether a copy of it may still reach the log. */
export interface RoutedOutcome {
  readonly outcome: ClaimOpOutcome;
  readonly mayStillAppear: boolean;
}

/** Hosts asked before this host stands in itself. */
const BATCHERS_PER_PARTITION = 2;
/** How long a ranking is used before members are ranked again. */
const RANKING_TTL_MS = 500;

/** The first hosts for a partition, and until when they count. */
interface Ranking {
  readonly members: Member[];
  readonly untilMs: number;
}

/** Routes ops and groups those that other hosts send here. */
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

  /** Tries the hosts in turn until one knows the op's fate from the log. */
  async submit(
    op: ClaimOp,
    options: { deadlineMs: number },
  ): Promise<RoutedOutcome> {
    const { clock, membership } = this.#options;
    const partition = partitionOf(op.key);
    let last: ClaimOpOutcome = {
      kind: "unsettled",
      message: "no time was left",
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
        return { outcome: outcome, mayStillAppear };
      }
      last = outcome;
    }
    return { outcome: last, mayStillAppear };
  }

  #hopDeadlineMs(deadlineMs: number): number {
    const { clock, policy } = this.#options;
    return Math.min(deadlineMs, clock.nowMs() + policy.hopTimeoutMs);
  }

  /** The hosts to ask, in order; each host ranks them the same way. */
  #candidates(partition: number): Member[] {
    const { self } = this.#options.membership;
    const others = this.#ranked(partition);
    const isAsked = others.some((member) => member.name === self.name);
    return isAsked ? others : [...others, self];
  }

  /** Ranks the members for a partition, anew when they may have changed. */
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

  /** Returns undefined when the member certainly received nothing. */
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
      { kind: "unsettled", message: `${member.name} gave no fate` };
  }

  #handleSubmit(parameters: unknown): Promise<ClaimOpOutcome> {
    const { partition, op, waitMs } = parseClaimSubmit(parameters);
    const deadlineMs = this.#options.clock.nowMs() + waitMs;
    return this.#submitLocally(op, { partition, deadlineMs });
  }

  /** Submits to this host's grouper, and does not outwait the deadline. */
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
    return outcome ?? { kind: "unsettled", message: "the log took too long" };
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
