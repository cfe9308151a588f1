/**
 * The configuration in force on this host. The parts are the holder of what
 * this host knows, the follower of the log, and the rounds among hosts; this
 * module joins them and submits operators' patches.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import {
  type Failure,
  mayHaveRun,
  notRun,
  type Outcome,
} from "../common/verdict.ts";
import type { ILogClient } from "../clients/services.ts";
import type { LogEntry } from "../clients/types.ts";
import { ConfigHolder } from "./config_holder.ts";
import { ConfigRounds, type ConfigRoundsOptions } from "./config_rounds.ts";
import { LogFollower, type SnapshotPolicy } from "./log_follower.ts";
import { applyPatch } from "./patch.ts";
import { CONFIG_STREAM, type RecordResult } from "./records.ts";
import type { Config } from "./schema.ts";
import type { IConfigService } from "./services.ts";
import type {
  AuditEntry,
  ConfigChange,
  ConfigState,
  PatchRequest,
} from "./types.ts";

const RETRY_DELAY_MS = 250;
/** Rounds sent before a change is refused because too few hosts answer. */
const MAX_QUORUM_CHECK_ROUNDS = 3;
const INITIAL_PULL_INTERVAL_MS = 1_000;

/** How hosts of one fleet reach each other. */
export type ConfigPeerOptions = Pick<
  ConfigRoundsOptions,
  "self" | "peers" | "callPeer" | "handlePeer"
>;

/** Options of the configuration service. */
export interface ConfigServiceOptions {
  readonly log: ILogClient;
  /** Name of this host, written into snapshots. */
  readonly host: string;
  /** Without it the host is alone: it reads the log itself and asks nobody. */
  readonly peering?: ConfigPeerOptions;
  readonly clock?: Clock;
  readonly random?: Random;
  /** Makes the id of a record; unique over all hosts and restarts. */
  readonly createId?: () => string;
  readonly snapshotPolicy?: Partial<SnapshotPolicy>;
  /** Called with a failure of the log that the service will retry. */
  readonly onLogFailure?: (failure: Failure) => void;
}

/** What an operator may want to know of a host's configuration. */
export interface ConfigStatus {
  readonly isReady: boolean;
  readonly version: number;
  /** Set while a newer version waits for the word of most hosts. */
  readonly pendingVersion?: number;
  /** Time since this host surely held every accepted change; absent if never. */
  readonly ageMs?: number;
}

/** See {@link IConfigService}. */
export class ConfigService implements IConfigService, Disposable {
  readonly #log: ILogClient;
  readonly #clock: Clock;
  readonly #createId: () => string;
  readonly #holder: ConfigHolder;
  readonly #follower: LogFollower;
  readonly #rounds: ConfigRounds | undefined;
  readonly #owned = new DisposableStore();

  readonly onChange;

  constructor(options: ConfigServiceOptions) {
    const { peering, clock = systemClock } = options;
    this.#log = options.log;
    this.#clock = clock;
    this.#createId = options.createId ?? (() => crypto.randomUUID());
    this.#holder = new ConfigHolder({ clock, isAlone: peering === undefined });
    this.onChange = this.#holder.onChange;
    const holder = this.#holder;
    const rounds = peering &&
      new ConfigRounds({ ...peering, holder, clock, random: options.random });
    this.#rounds = rounds && this.#owned.add(rounds);
    this.#follower = new LogFollower({
      ...options,
      holder,
      rank: () => rounds?.schedule.rank ?? 0,
      readTimeoutMs: () => rounds?.schedule.takeoverTimeoutMs ?? 0,
      onRead: (shouldAnnounce) =>
        shouldAnnounce ? rounds?.schedule.request() : rounds?.schedule.check(),
    });
  }

  get state(): ConfigState {
    return this.#holder.state;
  }

  get isReady(): boolean {
    return this.#holder.isReady;
  }

  get status(): ConfigStatus {
    const { isReady, state, ledger, ageMs } = this.#holder;
    const pending = ledger.state.version;
    return {
      isReady,
      version: state.version,
      ...(pending > state.version ? { pendingVersion: pending } : {}),
      ...(Number.isFinite(ageMs) ? { ageMs: Math.round(ageMs) } : {}),
    };
  }

  history(options: { limit: number }): readonly AuditEntry[] {
    return this.#holder.history(options.limit);
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Follows the log and the peers until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const tasks = new AbortController();
    const stop = () => tasks.abort();
    signal.addEventListener("abort", stop, { once: true });
    if (signal.aborted) stop();
    try {
      await this.#rounds?.pullInitialState();
      await Promise.all([
        this.#follower.run(tasks.signal),
        this.#rounds?.run(tasks.signal),
        this.#runInitialPulls(tasks.signal),
      ]);
    } finally {
      stop();
      signal.removeEventListener("abort", stop);
    }
  }

  plan(request: PatchRequest): Outcome<Config> {
    const { version, config } = this.#holder.ledger.state;
    if (request.baseVersion !== version) {
      return this.#staleVersionError(request);
    }
    return applyPatch(config, request);
  }

  /** Resolves once the state is surely not older than the call; fails if that cannot be told. */
  async readLatest(
    options: { deadlineMs: number },
  ): Promise<Outcome<ConfigState>> {
    const calledMs = this.#clock.nowMs();
    while (this.#clock.nowMs() < options.deadlineMs) {
      if (this.#rounds === undefined) await this.#follower.readOnce(options);
      else await this.#rounds.runRound();
      const { asOfMs, hasPending, state } = this.#holder;
      if (asOfMs >= calledMs && !hasPending) return new Ok(state);
      await this.#clock.sleep(RETRY_DELAY_MS);
    }
    return notRun(
      "log-unavailable",
      `version ${this.state.version} may not be the newest: neither the log nor most hosts answer`,
    );
  }

  async patch(
    request: PatchRequest,
    options: { deadlineMs: number },
  ): Promise<Outcome<ConfigChange>> {
    if (request.baseVersion > this.#holder.ledger.state.version) {
      await this.#follower.readOnce(options);
    }
    const planned = this.plan(request);
    if (planned.isErr()) return planned;
    const quorum = await this.#checkQuorum();
    if (quorum.isErr()) return quorum;
    if (this.#isSuperseded(request)) return this.#staleVersionError(request);
    if (this.#holder.hasPending) return this.#pendingVersionError();
    const appended = await this.#append(request, options);
    if (appended.isErr()) return appended;
    return await this.#awaitAcceptance(appended.value, options);
  }

  /** A change is submitted only where most hosts can hear of it. */
  async #checkQuorum(): Promise<Outcome<void>> {
    if (this.#rounds === undefined) return new Ok(undefined);
    let round = await this.#rounds.runRound();
    let roundCount = 1;
    while (
      2 * round.holding <= round.hostCount &&
      roundCount < MAX_QUORUM_CHECK_ROUNDS
    ) {
      round = await this.#rounds.runRound();
      roundCount += 1;
    }
    if (2 * round.holding > round.hostCount) return new Ok(undefined);
    return notRun(
      "log-unavailable",
      `only ${round.holding} of ${round.hostCount} hosts can be reached; a change needs most of them`,
    );
  }

  /** Appends until the log shows what became of the record. */
  async #append(
    request: PatchRequest,
    options: { deadlineMs: number },
  ): Promise<Outcome<RecordResult>> {
    const entry = this.#toEntry(request);
    const { installCount } = this.#holder.ledger;
    let isAppended = false;
    let isSent = false;
    while (this.#clock.nowMs() < options.deadlineMs) {
      if (!isAppended) {
        const answer = await this.#log.append(CONFIG_STREAM, [entry], options);
        isAppended = answer.isOk();
        isSent ||= answer.isOk() || answer.error.verdict === "may-have-run";
        if (answer.isErr() && !isSent) return logUnavailableError(answer.error);
      }
      await this.#follower.readOnce(options);
      const result = this.#holder.ledger.resultOf(entry.id);
      if (result?.result === "accepted") return new Ok(result);
      // A state taken whole does not tell which records led to it.
      if (this.#holder.ledger.installCount !== installCount) break;
      if (this.#isSuperseded(request)) return this.#staleVersionError(request);
      await this.#clock.sleep(RETRY_DELAY_MS);
    }
    return mayHaveRun(
      "log-unavailable",
      `the log did not tell whether the change to version ${request.baseVersion} was accepted; read the version before trying again`,
    );
  }

  #toEntry(request: PatchRequest): LogEntry {
    const { baseVersion, format, patch, operator, note } = request;
    const fields = { baseVersion, format, patch, operator, note };
    const atWallMs = this.#clock.wallMs();
    return {
      id: this.#createId(),
      data: { kind: "change", ...fields, atWallMs },
    };
  }

  /** Once the version has moved on, no copy of the record can be accepted any more. */
  #isSuperseded(request: PatchRequest): boolean {
    return this.#holder.ledger.state.version > request.baseVersion;
  }

  /** Waits until most hosts hold the change, and so for its being in force here. */
  async #awaitAcceptance(
    result: RecordResult,
    options: { deadlineMs: number },
  ): Promise<Outcome<ConfigChange>> {
    const version = result.version!;
    const { offset } = result;
    while (this.#clock.nowMs() < options.deadlineMs) {
      const round = await this.#rounds?.runRound();
      if (round === undefined || round.isConfirmed) {
        return new Ok({ version, offset });
      }
      await this.#clock.sleep(RETRY_DELAY_MS);
    }
    return mayHaveRun(
      "log-unavailable",
      `version ${version} is in the log, but most hosts have not confirmed it; read the version before trying again`,
    );
  }

  #pendingVersionError(): Outcome<never> {
    const { version } = this.#holder.ledger.state;
    return notRun(
      "log-unavailable",
      `version ${version} is not confirmed by most hosts yet`,
    );
  }

  #staleVersionError(request: PatchRequest): Outcome<never> {
    const { version } = this.#holder.ledger.state;
    return notRun(
      "stale-version",
      `version ${request.baseVersion} is not in force; the present version is ${version}`,
      { currentVersion: version },
    );
  }

  async #runInitialPulls(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.#holder.isGrounded) await this.#rounds?.pullInitialState();
      await this.#clock.sleep(INITIAL_PULL_INTERVAL_MS, signal);
    }
  }
}

function logUnavailableError(failure: Failure): Outcome<never> {
  return notRun(
    "log-unavailable",
    `the log did not take the change: ${failure.message}`,
  );
}
