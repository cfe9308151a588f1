/**
 * Client of the platform's append-only log.
 *
 * @module
 */

import { z } from "zod";
import { type Clock, systemClock } from "../common/clock.ts";
import { type Failure, mayHaveRun, type Outcome } from "../common/verdict.ts";
import type { HttpClient } from "./http_client.ts";
import { callJson, joinUrl } from "./json_call.ts";
import type { ILogClient } from "./services.ts";
import type { CallOptions, LogEntry, LogPage } from "./types.ts";

const appendedSchema = z.object({ offset: z.int().min(0) })
  .transform(({ offset }) => offset);

const pageSchema = z.object({
  records: z.array(z.object({
    id: z.string(),
    data: z.unknown(),
    offset: z.int().min(0),
    atWallMs: z.number(),
  })),
  firstOffset: z.int().min(0),
  nextOffset: z.int().min(0),
});

export interface LogClientOptions {
  /** Base URL of the log service. */
  readonly baseUrl: string;
  readonly http: HttpClient;
  readonly clock?: Clock;
}

/** The log over HTTP. */
export class LogClient implements ILogClient {
  readonly #options: LogClientOptions;
  readonly #clock: Clock;

  constructor(options: LogClientOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
  }

  async append(
    stream: string,
    entries: readonly LogEntry[],
    options: CallOptions,
  ): Promise<Outcome<number>> {
    const call = {
      method: "POST",
      url: this.#url(stream),
      data: { records: entries },
      schema: appendedSchema,
    } as const;
    const outcome = await callJson(this.#collaborators(), call, options);
    return outcome.mapErr(toLogFailure);
  }

  async read(
    stream: string,
    fromOffset: number,
    options: CallOptions & {
      readonly waitMs?: number;
      readonly limit?: number;
    },
  ): Promise<Outcome<LogPage>> {
    const query = new URLSearchParams({ from: String(fromOffset) });
    if (options.waitMs) query.set("waitMs", String(options.waitMs));
    if (options.limit) query.set("limit", String(options.limit));
    const url = `${this.#url(stream)}?${query}`;
    const call = { method: "GET", url, schema: pageSchema } as const;
    const outcome = await callJson(this.#collaborators(), call, options);
    if (outcome.isErr()) return outcome.mapErr(toLogFailure);
    if (isContiguousFrom(outcome.value, fromOffset)) return outcome;
    return mayHaveRun("bad-answer", `${url}: page without ${fromOffset}`);
  }

  #url(stream: string): string {
    const path = `/streams/${encodeURIComponent(stream)}/records`;
    return joinUrl(this.#options.baseUrl, path);
  }

  #collaborators(): { http: HttpClient; clock: Clock } {
    return { http: this.#options.http, clock: this.#clock };
  }
}

/** True when a page holds what was asked for, without a gap. */
function isContiguousFrom(page: LogPage, fromOffset: number): boolean {
  const firstOffset = Math.max(fromOffset, page.firstOffset);
  return page.records.every(({ offset }, index) =>
    offset === firstOffset + index
  );
}

/** A log that turns work away for a while is unavailable to its readers. */
function toLogFailure(failure: Failure): Failure {
  if (failure.code !== "overloaded") return failure;
  return { ...failure, code: "log-unavailable" };
}
