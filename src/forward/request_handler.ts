/**
 * Takes a caller's request from its head to its answer: a configuration that
 * is fresh enough, a route, a customer, the body, then the call.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Customer } from "../ports/types.ts";
import { type CallContext, type CallPlan, jitterRetryMs } from "./context.ts";
import { Exchange } from "./exchange.ts";
import { PlainCall } from "./plain_call.ts";
import type { RouteTable } from "./route_table.ts";
import { StreamCall } from "./stream_call.ts";

/** Time to come back when this host is out of touch with the store. */
const STALE_CONFIG_RETRY_MS = 500;
/** Time to come back, by another host, when this one stops. */
const STOPPING_RETRY_MS = 20;
/** Rank of a customer or route without a priority is behind those with one. */
const RANKS_PER_PRIORITY = 16;

/** Options of a core. */
export interface RequestHandlerOptions {
  readonly context: CallContext;
  readonly routes: () => RouteTable | undefined;
  /** Whether the configuration is proven new enough to honour keys. */
  readonly isConfigFresh: () => boolean;
  readonly configAgeMs: () => number;
  /** Answers close their connections. */
  readonly isStopping: () => boolean;
  /** Long requests would not end before this host does. */
  readonly isRejectingNew: () => boolean;
}

/** What to do with a request: go on, or a refusal. */
type Admission =
  | { readonly kind: "go"; readonly plan: CallPlan }
  | {
    readonly kind: "refuse";
    readonly status: number;
    readonly reason: string;
    readonly retryAfterMs?: number;
  };

/** Serves all requests of a host. */
export class RequestHandler {
  readonly #options: RequestHandlerOptions;
  #active = 0;

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  /** Requests in progress. */
  get active(): number {
    return this.#active;
  }

  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { context, isStopping } = this.#options;
    this.#active++;
    const exchange = new Exchange({
      request,
      response,
      marks: context.codec.request(request.rawHeaders),
      clock: context.clock,
      isClosing: isStopping,
    });
    try {
      await this.#serve(exchange);
    } catch (error) {
      context.log.error("request failed", {
        request: exchange.marks.requestId,
        reason: error,
      });
      if (!exchange.response.headersSent) {
        exchange.refuse(500, "internal error");
      } else exchange.abortResponse();
    } finally {
      this.#active--;
    }
  }

  async #serve(exchange: Exchange): Promise<void> {
    const admission = this.#admit(exchange);
    if (admission.kind === "refuse") {
      this.#refuse(exchange, admission);
      return;
    }
    const { plan } = admission;
    const limitBytes = this.#options.routes()?.config.limits.bodyBytes ?? 0;
    const outcome = await exchange.readBody(limitBytes, plan.deadlineMs);
    if (outcome.kind === "left") return;
    if (outcome.kind !== "whole") {
      const refusal = outcome.kind === "late"
        ? { status: 408, reason: "body too slow" }
        : { status: 413, reason: "body too large" };
      this.#refuse(exchange, { kind: "refuse", ...refusal });
      return;
    }
    const { context } = this.#options;
    const { engine } = plan.service;
    if (engine === undefined) {
      await new PlainCall(context, exchange, plan).run();
    } else {await new StreamCall(context, exchange, {
        ...plan,
        figures: engine,
      }).run();}
  }

  #admit(exchange: Exchange): Admission {
    const { routes, isConfigFresh: isConfigFresh, context } = this.#options;
    const table = routes();
    if (table === undefined || !isConfigFresh()) {
      return {
        kind: "refuse",
        status: 503,
        reason: "configuration not confirmed",
        retryAfterMs: jitterRetryMs(STALE_CONFIG_RETRY_MS, context.random),
      };
    }
    const { request, marks } = exchange;
    if (this.#options.isRejectingNew()) {
      return {
        kind: "refuse",
        status: 503,
        reason: "host stopping",
        retryAfterMs: jitterRetryMs(STOPPING_RETRY_MS, context.random),
      };
    }
    const route = table.find(request.headers.host ?? "", request.url ?? "/");
    if (route === undefined) {
      return { kind: "refuse", status: 404, reason: "no such route" };
    }
    const { customersByKey } = table.config;
    const customer = marks.key === undefined
      ? undefined
      : customersByKey?.get(marks.key);
    if (
      customersByKey !== undefined && customer === undefined && !route.isPublic
    ) {
      return { kind: "refuse", status: 401, reason: "unknown key" };
    }
    const service = table.pickService(route, context.random());
    if (service === undefined) {
      return {
        kind: "refuse",
        status: 503,
        reason: "service not configured",
        retryAfterMs: 1_000,
      };
    }
    if (marks.requestId === undefined) {
      return { kind: "refuse", status: 400, reason: "request without an id" };
    }
    const waitMs = Math.min(marks.waitMs ?? Infinity, route.timeoutMs);
    return {
      kind: "go",
      plan: {
        route,
        service,
        customer,
        requestId: marks.requestId,
        deadlineMs: exchange.receivedMs + waitMs,
        rank: rankOf(customer, route.priority),
      },
    };
  }

  #refuse(
    exchange: Exchange,
    refusal: Exclude<Admission, { readonly kind: "go" }>,
  ): void {
    const { context, configAgeMs, routes } = this.#options;
    const { request } = exchange;
    exchange.refuse(refusal.status, refusal.reason, refusal.retryAfterMs);
    context.metrics.count("jackdawshift_answers_total", {
      status: String(refusal.status),
    });
    context.log.info("refused", {
      request: exchange.marks.requestId,
      hostHeader: request.headers.host,
      path: request.url,
      status: refusal.status,
      reason: refusal.reason,
      configVersion: routes()?.config.version,
      configAgeMs: Math.round(configAgeMs()),
    });
  }
}

/** A customer's priority goes before the route's. */
function rankOf(customer: Customer | undefined, routePriority: number): number {
  return (customer?.priority ?? RANKS_PER_PRIORITY) * RANKS_PER_PRIORITY +
    routePriority;
}
