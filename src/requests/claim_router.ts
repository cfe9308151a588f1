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
import { ClaimGrouper } from "./claim_grouper.ts";
import {
  CLAIM_PARTITION_COUNT,
  type ClaimFate,
  type ClaimOp,
  claimStream,
  parseClaimFate,
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
  readonly groupedAppendsPerS: number;
  /** Appends a second by all hosts that stand in, together. */
  readonly standInAppendsPerS: number;
  readonly groupEveryMs: number;
  readonly logWithinMs: number;
  /** How long one host may take to answer before the next is asked. */
  readonly hopWithinMs: number;
  /** How long an asker waits for its claim to settle. */
  readonly settleWithinMs: number;
  readonly maxBatch: number;
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
export interface RoutedFate {
  readonly fate: ClaimFate;
  readonly mayStillAppear: boolean;
}

/** Hosts asked before this host stands in itself. */
const GROUPERS_ASKED = 2;
/** How long a ranking is used before members are ranked again. */
const RANKED_FOR_MS = 500;

/** The first hosts for a partition, and until when they count. */
interface Ranking {
  readonly members: Member[];
  readonly untilMs: number;
}

/** Routes ops and groups those that other hosts send here. */
export class ClaimRouter implements Disposable {
  readonly #options: ClaimRouterOptions;
  readonly #groupers = new Map<number, ClaimGrouper>();
  readonly #groupedBudgets = new Map<number, AppendBudget>();
  readonly #rankings = new Map<number, Ranking>();
  readonly #standInBudget: AppendBudget;
  readonly #owned = new DisposableStore();

  constructor(options: ClaimRouterOptions) {
    this.#options = options;
    const { clock, membership, policy, transport } = options;
    this.#standInBudget = new AppendBudget({
      clock,
      burst: 1,
      initial: options.random(),
      ratePerS: () =>
        policy.standInAppendsPerS / Math.max(1, membership.members().length),
    });
    this.#owned.add(
      transport.handle("claims.submit", (sent) => this.#serve(sent)),
    );
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Tries the hosts in turn until one knows the op's fate from the log. */
  async submit(
    op: ClaimOp,
    options: { deadlineMs: number },
  ): Promise<RoutedFate> {
    const { clock, membership } = this.#options;
    const partition = partitionOf(op.key);
    let last: ClaimFate = { kind: "unsettled", message: "no time was left" };
    let mayStillAppear = false;
    for (const member of this.#route(partition)) {
      if (clock.nowMs() >= options.deadlineMs) break;
      const deadlineMs = this.#hopDeadlineMs(options.deadlineMs);
      const fate = member.name === membership.self.name
        ? await this.#submitHere(op, { partition, deadlineMs })
        : await this.#submitTo(member, { partition, op, deadlineMs });
      if (fate === undefined) continue;
      if (fate.kind === "unsettled") mayStillAppear = true;
      if (fate.kind !== "unsettled" && fate.kind !== "refused") {
        return { fate, mayStillAppear };
      }
      last = fate;
    }
    return { fate: last, mayStillAppear };
  }

  #hopDeadlineMs(deadlineMs: number): number {
    const { clock, policy } = this.#options;
    return Math.min(deadlineMs, clock.nowMs() + policy.hopWithinMs);
  }

  /** The hosts to ask, in order; each host ranks them the same way. */
  #route(partition: number): Member[] {
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
    const members = names.slice(0, GROUPERS_ASKED)
      .flatMap((name) => byName.get(name) ?? []);
    const untilMs = clock.nowMs() + RANKED_FOR_MS;
    this.#rankings.set(partition, { members, untilMs });
    return members;
  }

  /** Returns undefined when the member certainly received nothing. */
  async #submitTo(
    member: Member,
    sent: { partition: number; op: ClaimOp; deadlineMs: number },
  ): Promise<ClaimFate | undefined> {
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
    return parseClaimFate(answered.value) ??
      { kind: "unsettled", message: `${member.name} gave no fate` };
  }

  #serve(parameters: unknown): Promise<ClaimFate> {
    const { partition, op, waitMs } = parseClaimSubmit(parameters);
    const deadlineMs = this.#options.clock.nowMs() + waitMs;
    return this.#submitHere(op, { partition, deadlineMs });
  }

  /** Submits to this host's grouper, and does not outwait the deadline. */
  async #submitHere(
    op: ClaimOp,
    options: { partition: number; deadlineMs: number },
  ): Promise<ClaimFate> {
    const { clock } = this.#options;
    const grouper = this.#grouperOf(options.partition);
    const stop = new AbortController();
    const fate = await Promise.race([
      grouper.submit(op, { deadlineMs: options.deadlineMs }),
      clock.sleep(options.deadlineMs - clock.nowMs(), stop.signal),
    ]);
    stop.abort();
    return fate ?? { kind: "unsettled", message: "the log took too long" };
  }

  #grouperOf(partition: number): ClaimGrouper {
    const known = this.#groupers.get(partition);
    if (known !== undefined) return known;
    const { clock, log, newId, policy } = this.#options;
    const grouper = new ClaimGrouper({
      clock,
      log,
      newId,
      partition,
      ...policy,
      budget: () => this.#budgetOf(partition),
    });
    this.#groupers.set(partition, grouper);
    return grouper;
  }

  #budgetOf(partition: number): AppendBudget {
    const { membership } = this.#options;
    const [first] = this.#ranked(partition);
    if (first?.name !== membership.self.name) return this.#standInBudget;
    const known = this.#groupedBudgets.get(partition);
    if (known !== undefined) return known;
    const { clock, policy } = this.#options;
    const budget = new AppendBudget({
      clock,
      burst: 2,
      ratePerS: () => policy.groupedAppendsPerS / CLAIM_PARTITION_COUNT,
    });
    this.#groupedBudgets.set(partition, budget);
    return budget;
  }
}
