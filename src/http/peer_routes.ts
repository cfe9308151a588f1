/**
 * The route on which peers call this host.
 *
 * @module
 */

import { timingSafeEqual } from "node:crypto";
import type { Request, Response } from "restify";
import type { Clock } from "../common/clock.ts";
import { notRun } from "../common/verdict.ts";
import { digestKey } from "./authenticator.ts";
import { readJson } from "./body.ts";
import { type HttpServer, sendFailure, sendJson } from "./http_server.ts";

const MAX_BODY_BYTES = 32 << 20;
const BODY_TIMEOUT_MS = 5_000;

/** Options of the route. */
export interface PeerRoutesOptions {
  readonly clock: Clock;
  /** Shared by all hosts. */
  readonly peerSecret: string;
  /** Header in which the sender names itself. */
  readonly senderHeader: string;
  /** Handles one JSON-RPC payload and returns the response payload, if any. */
  readonly receive: (payload: unknown, from: string) => Promise<unknown>;
}

/** Serves `/peer`. */
export class PeerRoutes {
  readonly #options: PeerRoutesOptions;
  readonly #secretDigest: Buffer;

  constructor(options: PeerRoutesOptions) {
    this.#options = options;
    this.#secretDigest = Buffer.from(digestKey(`Bearer ${options.peerSecret}`));
  }

  attach(server: HttpServer): void {
    server.route(
      "post",
      "/peer",
      (request, response) => this.#serve(request, response),
    );
  }

  async #serve(request: Request, response: Response): Promise<void> {
    const { clock, senderHeader, receive } = this.#options;
    if (!this.#isAuthorized(request)) {
      const failure =
        notRun("unauthorized", "the peer secret does not match").error;
      return sendFailure(response, failure, clock);
    }
    const deadlineMs = clock.nowMs() + BODY_TIMEOUT_MS;
    const payload = await readJson(request, {
      maxBytes: MAX_BODY_BYTES,
      deadlineMs,
      clock,
    });
    if (payload.isErr()) return sendFailure(response, payload.error, clock);
    const from = String(request.headers[senderHeader] ?? "");
    sendJson(response, 200, await receive(payload.value, from) ?? null);
  }

  #isAuthorized(request: Request): boolean {
    const presentedDigest = Buffer.from(
      digestKey(request.headers.authorization ?? ""),
    );
    return timingSafeEqual(presentedDigest, this.#secretDigest);
  }
}
