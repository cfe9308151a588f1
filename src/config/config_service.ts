/**
 * The configuration in force on this host. It follows the log's stream of
 * configuration records and submits operators' patches to it.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import { Emitter } from "../common/emitter.ts";
import {
  type Failure,
  mayHaveRun,
  notRun,
  type Outcome,
} from "../common/verdict.ts";
import type { ILogClient } from "../platform/services.ts";
import type { LogPage, LogRecord } from "../platform/types.ts";
import { ConfigLedger, type RecordResult } from "./ledger.ts";
import { applyPatch } from "./patch.ts";
import { CONFIG_STREAM, parseRecord } from "./records.ts";
import type { Config } from "./schema.ts";
import type { IConfigService } from "./services.ts";
import type {
  AuditEntry,
  ConfigChange,
  ConfigState,
  PatchRequest,
} from "./types.ts";

const LOG_CALL_WITHIN_MS = 5_000;
const LOG_WAIT_MS = 2_000;
const PAGE_LIMIT = 500;
const RETRY_WAIT_MS = 250;

/** Options of the configuration service. */
export interface ConfigServiceOptions {
  readonly log: ILogClient;
  /** Name of this host, written into snapshots. */
  readonly host: string;
  readonly clock?: Clock;
  /** Makes the id of a record; unique over all hosts and restarts. */
  readonly createId?: () => string;
  /** Called with records that this host read from the log. */
  readonly onNewRecords?: (records: readonly LogRecord[]) => void;
  /** Called with a failure of the log that the service will retry. */
  readonly onLogFailure?: (failure: Failure) => void;
}

/** Follows the log; see {@link IConfigService}. */
export class ConfigService implements IConfigService {
  readonly #log: ILogClient;
  readonly #clock: Clock;
  readonly #createId: () => string;
  readonly #onNewRecords: (records: readonly LogRecord[]) => void;
  readonly #onLogFailure: (failure: Failure) => void;
  readonly #changed = new Emitter<ConfigState>();
  readonly #ledger = new ConfigLedger();
  #isReady = false;

  readonly onChange = this.#changed.event;

  constructor(options: ConfigServiceOptions) {
    this.#log = options.log;
    this.#clock = options.clock ?? systemClock;
    this.#createId = options.createId ?? (() => crypto.randomUUID());
    this.#onNewRecords = options.onNewRecords ?? (() => {});
    this.#onLogFailure = options.onLogFailure ?? (() => {});
  }

  get state(): ConfigState {
    return this.#ledger.state;
  }

  get isReady(): boolean {
    return this.#isReady;
  }

  history(options: { limit: number }): readonly AuditEntry[] {
    return this.#ledger.history(options.limit);
  }

  plan(request: PatchRequest): Outcome<Config> {
    const { version, config } = this.state;
    if (request.baseVersion !== version) return this.#staleVersion(request);
    return applyPatch(config, request);
  }

  /** Follows the log until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = this.#isReady ? LOG_WAIT_MS : 0;
      const outcome = await this.#readOnce({
        deadlineMs: this.#clock.nowMs() + LOG_CALL_WITHIN_MS,
        waitMs,
        signal,
      });
      if (outcome.isOk() || signal.aborted) continue;
      this.#onLogFailure(outcome.error);
      await this.#clock.sleep(RETRY_WAIT_MS, signal);
    }
  }

  /** Takes records that a peer read from the log. */
  receiveRecords(records: readonly LogRecord[]): void {
    const before = this.state;
    for (const record of records) {
      if (record.offset > this.#ledger.nextOffset) break;
      this.#ledger.reduce(record);
    }
    if (this.state !== before) this.#changed.fire(this.state);
  }

  async patch(
    request: PatchRequest,
    options: { deadlineMs: number },
  ): Promise<Outcome<ConfigChange>> {
    if (request.baseVersion > this.state.version) await this.#readOnce(options);
    const planned = this.plan(request);
    if (planned.isErr()) return planned;
    const id = this.#createId();
    const entry = {
      id,
      data: { kind: "change", ...request, atWallMs: this.#clock.wallMs() },
    };
    let appended = false;
    let ambiguous = false;
    while (this.#clock.nowMs() < options.deadlineMs) {
      if (!appended) {
        const answer = await this.#log.append(CONFIG_STREAM, [entry], options);
        appended = answer.isOk();
        ambiguous ||= appended ||
          (answer.isErr() && answer.error.verdict === "may-have-run");
        if (answer.isErr() && !ambiguous) return logUnavailable(answer.error);
      }
      await this.#readOnce(options);
      const result = this.#ledger.resultOf(id);
      if (result !== undefined) return this.#settled(request, result);
      await this.#clock.sleep(RETRY_WAIT_MS);
    }
    return mayHaveRun(
      "log-unavailable",
      `the log did not say whether the change to version ${request.baseVersion} was accepted; read the version before trying again`,
    );
  }

  #settled(
    request: PatchRequest,
    result: RecordResult,
  ): Outcome<ConfigChange> {
    if (result.result === "accepted") {
      return new Ok({ version: result.version!, offset: result.offset });
    }
    return this.#staleVersion(request);
  }

  #staleVersion(request: PatchRequest): Outcome<never> {
    return notRun(
      "stale-version",
      `version ${request.baseVersion} is not in force; the present version is ${this.state.version}`,
    );
  }

  async #readOnce(
    options: { deadlineMs: number; waitMs?: number; signal?: AbortSignal },
  ): Promise<Outcome<void>> {
    const read = await this.#log.read(CONFIG_STREAM, this.#ledger.nextOffset, {
      ...options,
      limit: PAGE_LIMIT,
    });
    return read.andThen((page) => {
      const taken = this.#takePage(page);
      if (taken && this.#ledger.nextOffset >= page.nextOffset) {
        this.#isReady = true;
      }
      return new Ok(undefined);
    });
  }

  #takePage(page: LogPage): boolean {
    const before = this.state;
    if (page.firstOffset > this.#ledger.nextOffset) this.#takeSnapshot(page);
    if (page.firstOffset > this.#ledger.nextOffset) return false;
    const fresh = page.records.filter((record) =>
      record.offset >= this.#ledger.nextOffset
    );
    for (const record of fresh) this.#ledger.reduce(record);
    if (fresh.length > 0) this.#onNewRecords(fresh);
    if (this.state !== before) this.#changed.fire(this.state);
    return true;
  }

  #takeSnapshot(page: LogPage): void {
    for (const record of page.records) {
      const data = parseRecord(record);
      if (data?.kind !== "snapshot") continue;
      if (data.nextOffset < page.firstOffset) continue;
      const { version, offset, config, nextOffset } = data;
      this.#ledger.install({ state: { version, offset, config }, nextOffset });
      return;
    }
  }
}

function logUnavailable(failure: Failure): Outcome<never> {
  return notRun(
    "log-unavailable",
    `the log did not take the change: ${failure.message}`,
  );
}
