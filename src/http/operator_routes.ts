/**
 * Routes of operators: configuration, audit trail, status, explanation of a
 * request, and draining.
 *
 * @module
 */

import type { Request, Response } from "restify";
import { Ok } from "ts-results-es";
import { z } from "zod";
import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import type { IMetrics } from "../common/metrics.ts";
import { type Failure, notRun, type Outcome } from "../common/verdict.ts";
import type { IConfigService } from "../config/services.ts";
import type { ConfigState, PatchRequest } from "../config/types.ts";
import type { IRequestJournal } from "../requests/services.ts";
import type { Authenticator } from "./authenticator.ts";
import { readJson } from "./body.ts";
import {
  type HttpServer,
  sendBytes,
  sendFailure,
  sendJson,
} from "./http_server.ts";

const MAX_PATCH_BYTES = 16 << 20;
const BODY_TIMEOUT_MS = 10_000;
const PATCH_TIMEOUT_MS = 10_000;
const READ_TIMEOUT_MS = 3_000;
const DEFAULT_AUDIT_ENTRIES = 50;
const MAX_AUDIT_ENTRIES = 1_000;

const FORMATS: Readonly<Record<string, PatchRequest["format"]>> = {
  "application/merge-patch+json": "merge-patch",
  "application/json-patch+json": "json-patch",
};

const drainSchema = z.strictObject({
  kind: z.enum(["target", "host"]),
  name: z.string().min(1).max(200),
});

/** Options of the routes. */
export interface OperatorRoutesOptions {
  readonly clock: Clock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly config: IConfigService;
  readonly journal: IRequestJournal;
  readonly authenticator: Authenticator;
  readonly hostName: string;
  /** Reads the configuration, never older than what any host has told before. */
  readonly readConfig: (
    options: { readonly deadlineMs: number },
  ) => Promise<Outcome<ConfigState>>;
  /** Collects what `status` shows. */
  readonly readStatus: () => Readonly<Record<string, unknown>>;
  /** Starts the planned stop of this host, or of a peer when `name` is another host. */
  readonly drainHost: (name: string) => Promise<Outcome<void>>;
}

/** Serves `/operator/…` and `/metrics`. */
export class OperatorRoutes {
  readonly #options: OperatorRoutesOptions;

  constructor(options: OperatorRoutesOptions) {
    this.#options = options;
  }

  attach(server: HttpServer): void {
    const authenticated =
      (handler: OperatorHandler) => (request: Request, response: Response) =>
        this.#handleAuthenticated(handler, request, response);
    server.route(
      "get",
      "/operator/config",
      authenticated((exchange) => this.#getConfig(exchange)),
    );
    server.route(
      "patch",
      "/operator/config",
      authenticated((exchange) => this.#patchConfig(exchange)),
    );
    server.route(
      "post",
      "/operator/config/plan",
      authenticated((exchange) => this.#planConfig(exchange)),
    );
    server.route(
      "get",
      "/operator/audit",
      authenticated((exchange) => this.#getAudit(exchange)),
    );
    server.route(
      "get",
      "/operator/status",
      authenticated((exchange) => this.#getStatus(exchange)),
    );
    server.route(
      "get",
      "/operator/requests/:id",
      authenticated((exchange) => this.#explain(exchange)),
    );
    server.route(
      "post",
      "/operator/drain",
      authenticated((exchange) => this.#drain(exchange)),
    );
    server.route(
      "get",
      "/metrics",
      authenticated((exchange) => this.#getMetrics(exchange)),
    );
  }

  async #handleAuthenticated(
    handler: OperatorHandler,
    request: Request,
    response: Response,
  ): Promise<void> {
    const operator = this.#options.authenticator.authenticate(request);
    if (operator.isErr()) return this.#reject(response, operator.error);
    await handler({ request, response, operator: operator.value });
  }

  async #getConfig({ response }: Exchange): Promise<void> {
    const deadlineMs = this.#options.clock.nowMs() + READ_TIMEOUT_MS;
    const state = await this.#options.readConfig({ deadlineMs });
    if (state.isErr()) return this.#reject(response, state.error);
    sendJson(response, 200, state.value);
  }

  async #patchConfig(exchange: Exchange): Promise<void> {
    const patch = await this.#readPatch(exchange);
    if (patch.isErr()) return this.#reject(exchange.response, patch.error);
    const deadlineMs = this.#options.clock.nowMs() + PATCH_TIMEOUT_MS;
    const outcome = await this.#options.config.patch(patch.value, {
      deadlineMs,
    });
    if (outcome.isErr()) return this.#reject(exchange.response, outcome.error);
    this.#options.log.info("configuration changed", {
      operator: exchange.operator,
      version: outcome.value.version,
    });
    sendJson(exchange.response, 200, outcome.value);
  }

  async #planConfig(exchange: Exchange): Promise<void> {
    const patch = await this.#readPatch(exchange);
    if (patch.isErr()) return this.#reject(exchange.response, patch.error);
    const outcome = this.#options.config.plan(patch.value);
    if (outcome.isErr()) return this.#reject(exchange.response, outcome.error);
    const { baseVersion } = patch.value;
    sendJson(exchange.response, 200, { baseVersion, config: outcome.value });
  }

  #getAudit({ request, response }: Exchange): void {
    const limit = Number(
      queryParametersOf(request).get("limit") ?? DEFAULT_AUDIT_ENTRIES,
    );
    if (!Number.isInteger(limit) || limit < 1 || limit > MAX_AUDIT_ENTRIES) {
      const message =
        `limit: a whole number from 1 to ${MAX_AUDIT_ENTRIES} is allowed`;
      return this.#reject(response, notRun("bad-request", message).error);
    }
    sendJson(response, 200, {
      entries: this.#options.config.history({ limit: limit }),
    });
  }

  #getStatus({ response }: Exchange): void {
    sendJson(response, 200, this.#options.readStatus());
  }

  #explain({ request, response }: Exchange): void {
    const requestId: string = request.params.id;
    const steps = this.#options.journal.explain(requestId);
    if (steps === undefined) {
      const message = `request "${requestId}" is not known on this host`;
      return this.#reject(response, notRun("not-found", message).error);
    }
    sendJson(response, 200, { requestId, host: this.#options.hostName, steps });
  }

  async #drain({ request, response, operator }: Exchange): Promise<void> {
    const body = await this.#readBody(request);
    if (body.isErr()) return this.#reject(response, body.error);
    const parsed = drainSchema.safeParse(body.value);
    if (!parsed.success) {
      const message = 'the body is {"kind": "target" or "host", "name": "…"}';
      return this.#reject(response, notRun("bad-request", message).error);
    }
    const { kind, name } = parsed.data;
    const outcome = kind === "host"
      ? await this.#options.drainHost(name)
      : await this.#drainTarget(name, operator);
    if (outcome.isErr()) return this.#reject(response, outcome.error);
    sendJson(response, 202, { kind, name, ...(outcome.value ?? {}) });
  }

  #drainTarget(name: string, operator: string): Promise<Outcome<unknown>> {
    const { clock, config } = this.#options;
    if (!Object.hasOwn(config.state.config.targets, name)) {
      return Promise.resolve(
        notRun("not-found", `no target is named "${name}"`),
      );
    }
    const change: PatchRequest = {
      baseVersion: config.state.version,
      format: "merge-patch",
      patch: { targets: { [name]: { draining: true } } },
      operator,
      note: `drain target ${name}`,
    };
    return config.patch(change, {
      deadlineMs: clock.nowMs() + PATCH_TIMEOUT_MS,
    });
  }

  #getMetrics({ response }: Exchange): void {
    const headers = { "content-type": "text/plain; version=0.0.4" };
    sendBytes(response, 200, headers, this.#options.metrics.render());
  }

  async #readPatch(
    { request, operator }: Exchange,
  ): Promise<Outcome<PatchRequest>> {
    const format =
      FORMATS[(request.headers["content-type"] ?? "").split(";")[0].trim()];
    if (format === undefined) {
      const allowed = Object.keys(FORMATS).join(" or ");
      return notRun("bad-request", `Content-Type: ${allowed} is allowed`);
    }
    const baseVersion = /^"?(\d{1,15})"?$/.exec(
      request.headers["if-match"] ?? "",
    )
      ?.[1];
    if (baseVersion === undefined) {
      return notRun(
        "bad-request",
        "If-Match: the version that the patch is based on is needed",
      );
    }
    const patch = await this.#readBody(request);
    if (patch.isErr()) return patch;
    const note = queryParametersOf(request).get("note") ?? undefined;
    return new Ok({
      baseVersion: Number(baseVersion),
      format,
      patch: patch.value,
      operator,
      note,
    });
  }

  #readBody(request: Request): Promise<Outcome<unknown>> {
    const { clock } = this.#options;
    const deadlineMs = clock.nowMs() + BODY_TIMEOUT_MS;
    return readJson(request, { maxBytes: MAX_PATCH_BYTES, deadlineMs, clock });
  }

  #reject(response: Response, failure: Failure): void {
    sendFailure(response, failure, this.#options.clock);
  }
}

interface Exchange {
  readonly request: Request;
  readonly response: Response;
  readonly operator: string;
}

type OperatorHandler = (exchange: Exchange) => Promise<void> | void;

function queryParametersOf(request: Request): URLSearchParams {
  return new URL(request.url ?? "/", "http://operator").searchParams;
}
