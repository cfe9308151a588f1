/**
 * An answer to an earlier request that arrives late, when the next request is
 * on the same connection, is not taken for the next one's.
 *
 * @module
 */

import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { RawTarget } from "../../standins/common/raw_target.ts";
import { systemClock } from "../common/clock.ts";
import { HttpClient } from "./http_client.ts";
import {
  COMPLETE_BODY,
  FOREIGN_BODY,
  formatErrorResponse,
  formatResponse,
  receivedTokens,
  SENDS,
  verdictOf,
} from "./testing/sends.ts";
import type { ServiceResponse } from "./types.ts";

let target: RawTarget;
let url: string;
let http: HttpClient;
beforeEach(async () => {
  target = new RawTarget();
  url = await target.listen();
  http = new HttpClient();
});
afterEach(async () => {
  http.dispose();
  await target.close();
});

const soon = () => ({ deadlineMs: systemClock.nowMs() + 10_000 });

describe.each(["call", "generate"])("%s on a kept connection", (kind) => {
  const send = SENDS[kind];

  test.each([
    ["an answer", formatResponse(200, FOREIGN_BODY[kind])],
    ["a refusal", formatErrorResponse(503, "leaving", "b")],
  ])("%s to another request is not taken", async (_name, crossedAnswer) => {
    const answer = formatResponse(200, COMPLETE_BODY[kind]);
    target.setScripts({
      executeAtFraction: 1,
      answer,
      extraAnswer: crossedAnswer,
    }, { executeAtFraction: 1, answer });
    expect(verdictOf(await send(url, http, soon()))).toBe("complete");
    receivedTokens.length = 0;
    const crossed = await send(url, http, soon());
    await target.closeConnections();
    expect(receivedTokens).toEqual([]);
    expect(verdictOf(crossed)).toBe(
      kind === "call" ? "complete" : "may-have-run",
    );
    if (kind !== "call") return;
    const { body } = crossed.unwrap() as ServiceResponse;
    expect(Buffer.from(body).toString()).toBe(COMPLETE_BODY.call);
  });
});
