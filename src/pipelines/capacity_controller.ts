/**
 * Reconciles each pool with the placement derived from the configuration: reads
 * the published state of its targets, compares, and sends absolute orders until
 * both agree.
 *
 * A pool is assigned to the first few hosts by rendezvous hashing, and the
 * holder of its lease sends the orders. A lease is held only while orders are
 * pending. While the log is down, the first host sends only orders that add
 * capacity, with the fencing number that the target itself published.
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
/** Hosts that a pool is assigned to. */
const HOSTS_PER_POOL = 3;
/** Additional delay per rank before a lower-ranked host acts. */
const TAKEOVER_DELAY_MS = 2_000;
/** Time after which an unresponsive target is replaced. */
const UNRESPONSIVE_REPLACE_AFTER_MS = 1_500;
/** Time within which the state of a target reaches every host. */
const PROPAGATION_MS = 3_000;
/** Log outage after which orders that only add capacity need no lease. */
const LEASELESS_AFTER_MS = 2_000;
const LOG_TIMEOUT_MS = 2_000;
const ORDER_TIMEOUT_MS = 2_000;
const READ_TIMEOUT_MS = 800;
/** Remaining validity below which the lease is renewed before an order. */
const RENEW_BELOW_MS = 7_000;
/** Exceeds the slowest load from a busy weight store. */
const LOAD_TIMEOUT_MS = 600_000;
/** Targets of a pool that may load at the same time. */
const MAX_LOADS = 4;

export interface CapacityControllerOptions {
  readonly config: IConfigService;
  readonly directory: TargetDirectory;
  readonly engines: IEngineClient;
  readonly leases: LeaseService;
  readonly membership: IMembership;
  readonly clock?: Clock;
  readonly newId?: () => string;
  readonly maxLoads?: number;
  /** Time after which a target that is still loading is replaced. */
  readonly loadTimeoutMs?: number;
  /** Called for each order sent. */
  readonly onOrder?: (order: SentOrder) => void;
}

/** An order that was sent, and its outcome. */
export interface SentOrder {
  readonly planned: PlannedOrder;
  readonly fence: number;
  readonly hasLease: boolean;
  readonly accepted: boolean;
}

interface AssignedPool {
  readonly pool: Pool;
  /** Index among the hosts of the pool; rank 0 acts first. */
  readonly rank: number;
}

interface PoolState {
  lease?: Lease;
  /** Since when orders have been pending. */
  pendingSinceMs?: number;
  logDownSinceMs?: number;
  /** End of another host's lease, as last read from the log. */
  otherHolderUntilWallMs?: number;
  plan?: OrderPlan;
}

export class CapacityController {
  readonly #options: CapacityControllerOptions;
  readonly #clock: Clock;
  /** Cached until the configuration or the members change. */
  #assignedPools: readonly AssignedPool[] | undefined;
  readonly #poolStates = new Map<string, PoolState>();

  constructor(options: CapacityControllerOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
  }

  /** Runs until `signal` aborts, then releases the leases. */
  async run(signal: AbortSignal): Promise<void> {
    const store = new DisposableStore();
    const invalidate = () => this.#assignedPools = undefined;
    store.add(this.#options.config.onChange(invalidate));
    store.add(this.#options.membership.onChange(invalidate));
    invalidate();
    while (!signal.aborted) {
      const assigned = this.#findAssignedPools();
      await Promise.all(
        assigned.map((assignedPool) => this.#reconcile(assignedPool)),
      );
      await this.#clock.sleep(ROUND_INTERVAL_MS, signal);
    }
    store.dispose();
    const held = [...this.#poolStates.values()];
    await Promise.all(held.map((poolState) => this.#releaseLease(poolState)));
  }

  /** Targets of a pool whose reload would interrupt service, as of the last plan. */
  blockedTargets(pool: string): readonly string[] {
    return this.#poolStates.get(pool)?.plan?.blocked ?? [];
  }

  async #reconcile({ pool, rank }: AssignedPool): Promise<void> {
    const poolState = this.#poolStateOf(pool);
    poolState.plan = this.#plan(pool);
    if (poolState.plan.isSettled) {
      poolState.pendingSinceMs = undefined;
      return await this.#releaseLease(poolState);
    }
    poolState.pendingSinceMs ??= this.#clock.nowMs();
    const pendingMs = this.#clock.nowMs() - poolState.pendingSinceMs;
    if (!poolState.lease && pendingMs < rank * TAKEOVER_DELAY_MS) return;
    await this.#readBack(poolState.plan);
    poolState.plan = this.#plan(pool);
    if (poolState.plan.orders.length === 0) return;
    const hasLease = await this.#ensureLease(pool, poolState);
    const mayActWithoutLease = !hasLease && rank === 0 &&
      this.#isLogDownFor(poolState, LEASELESS_AFTER_MS);
    const orders = this.#plan(pool).orders.filter(({ onlyAdds }) =>
      hasLease || (mayActWithoutLease && onlyAdds)
    );
    await Promise.all(orders.map((planned) => this.#send(planned, poolState)));
  }

  /** The pools assigned to this host, with its rank. */
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
    let poolState = this.#poolStates.get(pool.name);
    if (!poolState) {
      poolState = {};
      this.#poolStates.set(pool.name, poolState);
    }
    return poolState;
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

  /** Reads the state of the plan's targets, so that orders use current state. */
  async #readBack(plan: OrderPlan): Promise<void> {
    const { config, directory, engines } = this.#options;
    const { targets } = config.state.config;
    await Promise.all(plan.targetsToRead.map(async (target) => {
      const deadlineMs = this.#clock.nowMs() + READ_TIMEOUT_MS;
      const { url } = targets[target];
      const reply = await engines.readState(url, { deadlineMs });
      if (reply.isOk() && reply.value.target === target) {
        directory.recordState(reply.value);
      } else directory.markSuspect(target);
    }));
  }

  /** Acquires or renews the lease; true while it is held. */
  async #ensureLease(pool: Pool, poolState: PoolState): Promise<boolean> {
    const nowMs = this.#clock.nowMs();
    const remainingMs = (poolState.lease?.validUntilMs ?? 0) - nowMs;
    if (remainingMs > RENEW_BELOW_MS) return true;
    if (this.#clock.wallMs() < (poolState.otherHolderUntilWallMs ?? 0)) {
      return false;
    }
    const held = await this.#options.leases.acquireOrRenew(pool.name, {
      deadlineMs: nowMs + LOG_TIMEOUT_MS,
    });
    if (held.isOk()) {
      poolState.lease = held.value;
      poolState.logDownSinceMs = undefined;
    } else if (held.error.code === "claim-held") {
      poolState.lease = undefined;
      poolState.logDownSinceMs = undefined;
      poolState.otherHolderUntilWallMs = held.error.retryAtWallMs;
    } else {
      poolState.logDownSinceMs ??= nowMs;
    }
    if ((poolState.lease?.validUntilMs ?? 0) > this.#clock.nowMs()) return true;
    poolState.lease = undefined;
    return false;
  }

  #isLogDownFor(poolState: PoolState, durationMs: number): boolean {
    if (poolState.logDownSinceMs === undefined) return false;
    return this.#clock.nowMs() - poolState.logDownSinceMs >= durationMs;
  }

  async #send(planned: PlannedOrder, poolState: PoolState): Promise<void> {
    const { config, directory, engines, newId, onOrder } = this.#options;
    const { target, first, end, model, version, adapters, role } =
      planned.wanted;
    const nowMs = this.#clock.nowMs();
    const hasLease = poolState.lease !== undefined;
    if (poolState.lease && nowMs >= poolState.lease.validUntilMs) return;
    const fence = poolState.lease?.fence ??
      directory.lastState(target)?.fence ?? 0;
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
    const leaseEndMs = poolState.lease?.validUntilMs ?? Infinity;
    const deadlineMs = Math.min(nowMs + ORDER_TIMEOUT_MS, leaseEndMs);
    const reply = await engines.order(url, order, { deadlineMs });
    if (reply.isOk()) directory.recordState(reply.value);
    else if (reply.error.code === "target-refused") poolState.lease = undefined;
    onOrder?.({ planned, fence, hasLease, accepted: reply.isOk() });
  }

  async #releaseLease(poolState: PoolState): Promise<void> {
    const { lease } = poolState;
    if (!lease) return;
    poolState.lease = undefined;
    if (lease.validUntilMs <= this.#clock.nowMs()) return;
    await this.#options.leases.release(lease, {
      deadlineMs: this.#clock.nowMs() + LOG_TIMEOUT_MS,
    });
  }
}
