/**
 * HTTP client for the platform's list of hosts and targets, which is eventually
 * consistent.
 *
 * @module
 */

import { z } from "zod";
import { type Clock, systemClock } from "../common/clock.ts";
import type { Outcome } from "../common/verdict.ts";
import type { HttpClient } from "./http_client.ts";
import { callJson, joinUrl } from "./json_call.ts";
import type { IHostListClient } from "./services.ts";
import type { CallOptions, ListedHost } from "./types.ts";

const listSchema = z.object({
  hosts: z.array(z.object({
    name: z.string(),
    url: z.string(),
    failureDomain: z.string(),
    region: z.string(),
    role: z.enum(["entry", "target"]),
    state: z.enum(["live", "leaving"]),
  })),
}).transform(({ hosts }) => hosts);

export interface HostListClientOptions {
  /** Base URL of the host list service. */
  readonly baseUrl: string;
  readonly http: HttpClient;
  readonly clock?: Clock;
}

export class HostListClient implements IHostListClient {
  readonly #options: HostListClientOptions;

  constructor(options: HostListClientOptions) {
    this.#options = options;
  }

  list(options: CallOptions): Promise<Outcome<readonly ListedHost[]>> {
    const { baseUrl, http, clock = systemClock } = this.#options;
    const url = joinUrl(baseUrl, "/hosts");
    const call = { method: "GET", url, schema: listSchema } as const;
    return callJson({ http, clock }, call, options);
  }
}
