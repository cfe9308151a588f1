/**
 * Claims on requests that must run at most once. A host may dispatch such a
 * request only after it has seen its claim first in the log's order for the
 * key; nobody takes a claim over, and only its holder gives it back.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { Err, Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import {
  type Failure,
  mayHaveRun,
  notRun,
  type Outcome,
} from "../common/verdict.ts";
import type { IMembership, IPeerTransport } from "../fleet/services.ts";
import type { ILogClient } from "../clients/services.ts";
import { ClaimUpdateQueue } from "./claim_update_queue.ts";
import {
  type ClaimOp,
  type ClaimOpOutcome,
  type ClaimStatus,
  digestClaimKey,
  MAX_CLAIM_DURATION_MS,
  parseClaimStatus,
  parseClaimStatusQuery,
} from "./claim_records.ts";
import { type ClaimPolicy, ClaimRouter } from "./claim_router.ts";
import type { ClaimKey, IClaim, IClaimService } from "./services.ts";

/** Options of `ClaimService`. */
export interface ClaimServiceOptions {
  readonly log: ILogClient;
  readonly membership: IMembership;
  readonly transport: IPeerTransport;
  readonly clock?: Clock;
  /** Makes identifiers of claims and records, each unique over the fleet. */
  readonly newId?: () => string;
  readonly random?: Random;
  readonly policy?: Partial<ClaimPolicy>;
}

const DEFAULT_POLICY: ClaimPolicy = {
  windowMs: 900_000,
  logRetentionMs: 86_400_000,
  batchedAppendsPerS: 160,
  fallbackAppendsPerS: 40,
  batchIntervalMs: 25,
  logTimeoutMs: 1_000,
  hopTimeoutMs: 500,
  settleTimeoutMs: 1_500,
  maxBatchSize: 500,
  maxPending: 5_000,
};

/** Pause before a key is asked for again that its holder is giving back. */
const RELEASE_POLL_MS = 50;
/** Own claims remembered whose end has not reached the log. */
const MAX_OWN_CLAIMS = 20_000;
/** Time for a holder to say how its claim stands. */
const STATUS_TIMEOUT_MS = 250;

const RUNNING = "an earlier try of the key is running";
const MAY_HAVE_RUN = "an earlier try of the key may have run";

/** What this host knows of a claim of its own. */
interface OwnClaim {
  readonly claimId: string;
  readonly key: string;
  status: Exclude<ClaimStatus, "unknown">;
}

/** Bounds of one `acquire`. */
interface AcquireBounds {
  readonly deadlineMs: number;
  /** The deadline by the wall clock, which goes on while a machine sleeps. */
  readonly deadlineWallMs: number;
  /** When the asker is told that its claim did not settle. */
  readonly settleDeadlineMs: number;
  readonly signal?: AbortSignal;
}

/** Acquires claims through the log. */
export class ClaimService implements IClaimService, Disposable {
  readonly #clock: Clock;
  readonly #membership: IMembership;
  readonly #transport: IPeerTransport;
  readonly #newId: () => string;
  readonly #policy: ClaimPolicy;
  readonly #router: ClaimRouter;
  readonly #own = new Map<string, OwnClaim>();
  readonly #owned = new DisposableStore();
  readonly #updates: ClaimUpdateQueue;

  constructor(options: ClaimServiceOptions) {
    this.#clock = options.clock ?? systemClock;
    this.#membership = options.membership;
    this.#transport = options.transport;
    this.#newId = options.newId ??
      (() => randomBytes(12).toString("base64url"));
    this.#policy = { ...DEFAULT_POLICY, ...options.policy };
    checkRetention(this.#policy);
    this.#router = this.#owned.add(
      new ClaimRouter({
        ...options,
        clock: this.#clock,
        newId: this.#newId,
        random: options.random ?? Math.random,
        policy: this.#policy,
      }),
    );
    this.#updates = this.#owned.add(
      new ClaimUpdateQueue({
        clock: this.#clock,
        submit: (op, bounds) => this.#router.submit(op, bounds),
        submitTimeoutMs: this.#policy.settleTimeoutMs,
        onRecorded: (claimId) => this.#own.delete(claimId),
      }),
    );
    this.#owned.add(
      options.transport.handle(
        "claims.status",
        (sent) => this.#handleStatusQuery(sent),
      ),
    );
  }

  dispose(): void {
    this.#owned.dispose();
  }

  async acquire(
    key: ClaimKey,
    options: { deadlineMs: number; signal?: AbortSignal },
  ): Promise<Outcome<IClaim>> {
    const digest = digestClaimKey(key);
    const nowMs = this.#clock.nowMs();
    const deadlineMs = Math.min(
      options.deadlineMs,
      nowMs + MAX_CLAIM_DURATION_MS,
    );
    const settleDeadlineMs = Math.min(
      deadlineMs,
      nowMs + this.#policy.settleTimeoutMs,
    );
    const deadlineWallMs = this.#clock.wallMs() + deadlineMs - nowMs;
    const { signal } = options;
    const bounds = {
      signal,
      deadlineMs,
      deadlineWallMs,
      settleDeadlineMs: settleDeadlineMs,
    };
    for (;;) {
      const tried = await this.#tryAcquire(digest, bounds);
      if (tried !== "free-soon") return tried;
      if (this.#clock.nowMs() + RELEASE_POLL_MS >= settleDeadlineMs) {
        return this.#refuse(
          "claim-held",
          "an earlier try is giving the key back",
        );
      }
      await this.#clock.sleep(RELEASE_POLL_MS, options.signal);
    }
  }

  /** Appends one claim and reads whether it is first. */
  async #tryAcquire(
    digest: string,
    bounds: AcquireBounds,
  ): Promise<Outcome<IClaim> | "free-soon"> {
    const own = this.#register(digest);
    if (own === undefined) {
      return this.#refuse("overloaded", `${this.#own.size} claims are open`);
    }
    const op = this.#claimOp(own, bounds.deadlineMs);
    const { outcome: outcome, mayStillAppear } = await this.#router.submit(op, {
      deadlineMs: bounds.settleDeadlineMs,
    });
    const isLate = this.#clock.nowMs() >= bounds.settleDeadlineMs ||
      bounds.signal?.aborted === true;
    if (outcome.kind === "won" && !isLate) {
      return new Ok(this.#createClaim(own, bounds));
    }
    own.status = "dead";
    if (outcome.kind === "won" || mayStillAppear) this.#releaseKey(own);
    else this.#own.delete(own.claimId);
    if (bounds.signal?.aborted) {
      return notRun("cancelled", "the caller cancelled the request");
    }
    return await this.#resolveNotAcquired(outcome, bounds);
  }

  #register(key: string): OwnClaim | undefined {
    if (this.#own.size >= MAX_OWN_CLAIMS) return undefined;
    const claimId = this.#newId();
    const own: OwnClaim = { claimId, key, status: "running" };
    this.#own.set(claimId, own);
    return own;
  }

  #claimOp(own: OwnClaim, deadlineMs: number): ClaimOp {
    return {
      kind: "claim",
      key: own.key,
      claimId: own.claimId,
      holder: this.#membership.self.name,
      lastsMs: Math.max(0, Math.ceil(deadlineMs - this.#clock.nowMs())),
    };
  }

  async #resolveNotAcquired(
    outcome: ClaimOpOutcome,
    bounds: AcquireBounds,
  ): Promise<Outcome<IClaim> | "free-soon"> {
    switch (outcome.kind) {
      case "lost":
        return await this.#resolveLost(outcome, bounds);
      case "refused":
        return this.#refuse(
          "log-unavailable",
          outcome.message,
          outcome.retryAfterMs,
        );
      case "unsettled":
        return this.#refuse("log-unavailable", "the claim did not settle");
      case "won":
      case "noted":
        return this.#refuse("deadline-exceeded", "the claim settled too late");
    }
  }

  /** Tells a duplicate what is known of the try that holds its key. */
  async #resolveLost(
    outcome: Extract<ClaimOpOutcome, { kind: "lost" }>,
    bounds: AcquireBounds,
  ): Promise<Outcome<IClaim> | "free-soon"> {
    if (outcome.claimId === undefined) return "free-soon";
    const status = outcome.result ?? await this.#queryHolder(outcome, bounds);
    switch (status) {
      case "dead":
        return "free-soon";
      case "ran":
        return mayHaveRun("already-ran", "an earlier try of the key ran");
      case "running":
        return mayHaveRun("claim-held", RUNNING, {
          retryAtWallMs: this.#clock.wallMs() + 1_000,
        });
      default:
        return mayHaveRun("claim-held", MAY_HAVE_RUN);
    }
  }

  async #queryHolder(
    outcome: Extract<ClaimOpOutcome, { kind: "lost" }>,
    bounds: AcquireBounds,
  ): Promise<ClaimStatus> {
    const { claimId, holder } = outcome;
    if (claimId === undefined) return "unknown";
    if (holder === this.#membership.self.name) return this.#statusOf(claimId);
    const member = this.#membership.members()
      .find((candidate) => candidate.name === holder);
    if (member === undefined) return "unknown";
    const deadlineMs = Math.min(
      bounds.settleDeadlineMs,
      this.#clock.nowMs() + STATUS_TIMEOUT_MS,
    );
    const answered = await this.#transport.call(member.url, {
      method: "claims.status",
      parameters: { claimId },
    }, { deadlineMs });
    return answered.isOk() ? parseClaimStatus(answered.value) : "unknown";
  }

  #handleStatusQuery(parameters: unknown): ClaimStatus {
    return this.#statusOf(parseClaimStatusQuery(parameters));
  }

  #statusOf(claimId: string): ClaimStatus {
    return this.#own.get(claimId)?.status ?? "unknown";
  }

  #createClaim(own: OwnClaim, bounds: AcquireBounds): IClaim {
    const { deadlineMs, deadlineWallMs } = bounds;
    return {
      claimId: own.claimId,
      mayDispatch: () =>
        own.status === "running" && this.#clock.nowMs() < deadlineMs &&
        this.#clock.wallMs() < deadlineWallMs,
      release: () => {
        own.status = "dead";
        this.#releaseKey(own);
      },
      settle: (result) => {
        own.status = result;
        const { key, claimId } = own;
        this.#updates.enqueue({ kind: "outcome", key, claimId, result });
      },
    };
  }

  #releaseKey({ key, claimId }: OwnClaim): void {
    this.#updates.enqueue({ kind: "release", key, claimId });
  }

  #refuse(
    code: Failure["code"],
    message: string,
    retryAfterMs = 1_000,
  ): Err<Failure> {
    const retryAtWallMs = Math.ceil(this.#clock.wallMs() + retryAfterMs);
    return notRun(code, message, { retryAtWallMs });
  }
}

/** A key must not be forgotten by the log before its window has passed. */
function checkRetention({ windowMs, logRetentionMs }: ClaimPolicy): void {
  const neededMs = windowMs + MAX_CLAIM_DURATION_MS;
  if (logRetentionMs >= neededMs) return;
  throw new RangeError(
    `logRetentionMs is ${logRetentionMs}, at least ${neededMs} is needed`,
  );
}
