/**
 * Keeps each pool at the placement that the configuration wants: reads back
 * what targets publish, compares, and sends absolute orders until they agree.
 *
 * The first few hosts of a pool by rendezvous hashing look after it; the one
 * that holds its lease sends. A lease is taken only while there is something
 * to order. While the log is down, the first host sends such orders only as
 * add capacity, with the fencing number that the target published itself.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { Clock } from "../common/clock.ts";
import { systemClock } from "../common/clock.ts";
import { rendezvousRank } from "../common/hash.ts";
import { DisposableStore } from "../common/lifecycle.ts";
import type { IConfigService } from "../config/services.ts";
import type { IMembership } from "../fleet/services.ts";
import type { IEngineClient } from "../clients/services.ts";
import type { Lease, LeaseService } from "./lease_service.ts";
import { type OrderPlan, type PlannedOrder, planOrders } from "./order_plan.ts";
import { type Pool, pools, wantedPlacement } from "./placement.ts";
import type { TargetDirectory } from "./target_directory.ts";

const ROUND_INTERVAL_MS = 500;
/** Hosts that look after a pool, the first of them first. */
const HOSTS_PER_POOL = 3;
/** How much longer each further candidate waits before it steps in. */
const TAKEOVER_DELAY_MS = 2_000;
/** Silence after which a target is replaced. */
const UNRESPONSIVE_REPLACE_AFTER_MS = 1_500;
/** Time after which every host has heard what a target offers. */
const PROPAGATION_MS = 3_000;
/** Log outage after which orders that only add go without a lease. */
const LEASELESS_AFTER_MS = 2_000;
const LOG_TIMEOUT_MS = 2_000;
const ORDER_TIMEOUT_MS = 2_000;
const READ_TIMEOUT_MS = 800;
/** Time left on the lease below which it is renewed before an order. */
const RENEW_BELOW_MS = 7_000;
/** Longer than the slowest load through a busy weight store. */
const LOAD_TIMEOUT_MS = 600_000;
/** Targets of a pool that load at a time. */
const MAX_LOADS = 4;

/** Collaborators of a `CapacityKeeper`. */
export interface CapacityControllerOptions {
  readonly config: IConfigService;
  readonly directory: TargetDirectory;
  readonly engines: IEngineClient;
  readonly leases: LeaseService;
  readonly membership: IMembership;
  readonly clock?: Clock;
  readonly newId?: () => string;
  readonly maxLoads?: number;
  /** Time after which a target that still loads is replaced. */
  readonly loadTimeoutMs?: number;
  /** Hears of each order sent, for the log. */
  readonly onOrder?: (order: SentOrder) => void;
}

/** An order that was sent, and how it ended. */
export interface SentOrder {
  readonly planned: PlannedOrder;
  readonly fence: number;
  readonly hasLease: boolean;
  readonly accepted: boolean;
}

/** A pool that this host looks after. */
interface AssignedPool {
  readonly pool: Pool;
  /** 0 for the host that acts first. */
  readonly rank: number;
}

/** What this host knows of its work on one pool. */
interface PoolState {
  lease?: Lease;
  /** Since when there has been something to order. */
  pendingSinceMs?: number;
  logDownSinceMs?: number;
  /** End of another host's lease, as the log told it last. */
  otherHolderUntilWallMs?: number;
  plan?: OrderPlan;
}

/** Sends orders while `run` runs. */
export class CapacityController {
  readonly #options: CapacityControllerOptions;
  readonly #clock: Clock;
  /** Computed again after a change of configuration or members. */
  #assignedPools: readonly AssignedPool[] | undefined;
  readonly #poolStates = new Map<string, PoolState>();

  constructor(options: CapacityControllerOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
  }

  /** Works until `signal` aborts, then gives its leases back. */
  async run(signal: AbortSignal): Promise<void> {
    const store = new DisposableStore();
    const invalidate = () => this.#assignedPools = undefined;
    store.add(this.#options.config.onChange(invalidate));
    store.add(this.#options.membership.onChange(invalidate));
    invalidate();
    while (!signal.aborted) {
      const duties = this.#findAssignedPools();
      await Promise.all(duties.map((duty) => this.#reconcile(duty)));
      await this.#clock.sleep(ROUND_INTERVAL_MS, signal);
    }
    store.dispose();
    const held = [...this.#poolStates.values()];
    await Promise.all(held.map((work) => this.#releaseLease(work)));
  }

  /** Targets of a pool that cannot be reloaded without a gap, as last seen here. */
  blockedTargets(pool: string): readonly string[] {
    return this.#poolStates.get(pool)?.plan?.blocked ?? [];
  }

  async #reconcile({ pool, rank }: AssignedPool): Promise<void> {
    const work = this.#poolStateOf(pool);
    work.plan = this.#plan(pool);
    if (work.plan.isSettled) {
      work.pendingSinceMs = undefined;
      return await this.#releaseLease(work);
    }
    work.pendingSinceMs ??= this.#clock.nowMs();
    const pendingMs = this.#clock.nowMs() - work.pendingSinceMs;
    if (!work.lease && pendingMs < rank * TAKEOVER_DELAY_MS) return;
    await this.#readBack(work.plan);
    work.plan = this.#plan(pool);
    if (work.plan.orders.length === 0) return;
    const hasLease = await this.#ensureLease(pool, work);
    const mayActWithoutLease = !hasLease && rank === 0 &&
      this.#isLogDownFor(work, LEASELESS_AFTER_MS);
    const orders = this.#plan(pool).orders.filter(({ onlyAdds }) =>
      hasLease || (mayActWithoutLease && onlyAdds)
    );
    await Promise.all(orders.map((planned) => this.#send(planned, work)));
  }

  /** The pools that this host looks after, with its place among the candidates. */
  #findAssignedPools(): readonly AssignedPool[] {
    if (this.#assignedPools) return this.#assignedPools;
    const { membership, config } = this.#options;
    const names = membership.members()
      .filter(({ state }) => state !== "leaving")
      .map(({ name }) => name);
    this.#assignedPools = pools(config.state.config)
      .map((pool) => {
        const ranked = rendezvousRank(`pool ${pool.name}`, names);
        const rank = ranked.slice(0, HOSTS_PER_POOL).indexOf(
          membership.self.name,
        );
        return { pool, rank };
      })
      .filter(({ rank }) => rank >= 0);
    return this.#assignedPools;
  }

  #poolStateOf(pool: Pool): PoolState {
    let work = this.#poolStates.get(pool.name);
    if (!work) {
      work = {};
      this.#poolStates.set(pool.name, work);
    }
    return work;
  }

  #plan(pool: Pool): OrderPlan {
    const { directory, config, maxLoads } = this.#options;
    const stateOf = (target: string) => directory.lastState(target);
    const wanted = wantedPlacement({
      config: config.state.config,
      pool,
      stateOf,
      isAvailable: (target) => this.#isAvailable(target),
    });
    return planOrders({
      config: config.state.config,
      pool,
      wanted,
      stateOf,
      isServing: (target) => directory.acceptsNewWork(target),
      isKnownToAllHosts: (target) =>
        directory.offerAgeMs(target) >= PROPAGATION_MS,
      maxLoads: maxLoads ?? MAX_LOADS,
    });
  }

  #isAvailable(target: string): boolean {
    const { directory } = this.#options;
    const timeoutMs = this.#options.loadTimeoutMs ?? LOAD_TIMEOUT_MS;
    const isStuck = directory.lastState(target)?.loading === true &&
      directory.offerAgeMs(target) > timeoutMs;
    return !isStuck && !directory.isLeaving(target) &&
      directory.unresponsiveForMs(target) < UNRESPONSIVE_REPLACE_AFTER_MS;
  }

  /** Reads the targets that the plan is about, so that orders rest on fresh state. */
  async #readBack(plan: OrderPlan): Promise<void> {
    const { config, directory, engines } = this.#options;
    const { targets } = config.state.config;
    await Promise.all(plan.targetsToRead.map(async (target) => {
      const deadlineMs = this.#clock.nowMs() + READ_TIMEOUT_MS;
      const { url } = targets[target];
      const answer = await engines.readState(url, { deadlineMs });
      if (answer.isOk() && answer.value.target === target) {
        directory.recordState(answer.value);
      } else directory.markSuspect(target);
    }));
  }

  /** Takes or renews the lease; true while it is held. */
  async #ensureLease(pool: Pool, work: PoolState): Promise<boolean> {
    const nowMs = this.#clock.nowMs();
    const remainingMs = (work.lease?.validUntilMs ?? 0) - nowMs;
    if (remainingMs > RENEW_BELOW_MS) return true;
    if (this.#clock.wallMs() < (work.otherHolderUntilWallMs ?? 0)) return false;
    const held = await this.#options.leases.acquireOrRenew(pool.name, {
      deadlineMs: nowMs + LOG_TIMEOUT_MS,
    });
    if (held.isOk()) {
      work.lease = held.value;
      work.logDownSinceMs = undefined;
    } else if (held.error.code === "claim-held") {
      work.lease = undefined;
      work.logDownSinceMs = undefined;
      work.otherHolderUntilWallMs = held.error.retryAtWallMs;
    } else {
      work.logDownSinceMs ??= nowMs;
    }
    if ((work.lease?.validUntilMs ?? 0) > this.#clock.nowMs()) return true;
    work.lease = undefined;
    return false;
  }

  #isLogDownFor(work: PoolState, durationMs: number): boolean {
    if (work.logDownSinceMs === undefined) return false;
    return this.#clock.nowMs() - work.logDownSinceMs >= durationMs;
  }

  async #send(planned: PlannedOrder, work: PoolState): Promise<void> {
    const { config, directory, engines, newId, onOrder } = this.#options;
    const { target, first, end, model, version, adapters, role } =
      planned.wanted;
    const nowMs = this.#clock.nowMs();
    const hasLease = work.lease !== undefined;
    if (work.lease && nowMs >= work.lease.validUntilMs) return;
    const fence = work.lease?.fence ?? directory.lastState(target)?.fence ?? 0;
    const order = {
      orderId: (newId ?? randomUUID)(),
      fence,
      first,
      end,
      model,
      version,
      adapters,
      role,
    };
    const { url } = config.state.config.targets[target];
    const leaseEndMs = work.lease?.validUntilMs ?? Infinity;
    const deadlineMs = Math.min(nowMs + ORDER_TIMEOUT_MS, leaseEndMs);
    const answer = await engines.order(url, order, { deadlineMs });
    if (answer.isOk()) directory.recordState(answer.value);
    else if (answer.error.code === "target-refused") work.lease = undefined;
    onOrder?.({ planned, fence, hasLease, accepted: answer.isOk() });
  }

  async #releaseLease(work: PoolState): Promise<void> {
    const { lease } = work;
    if (!lease) return;
    work.lease = undefined;
    if (lease.validUntilMs <= this.#clock.nowMs()) return;
    await this.#options.leases.release(lease, {
      deadlineMs: this.#clock.nowMs() + LOG_TIMEOUT_MS,
    });
  }
}
