import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { SITE_PROFILE } from "../../test/reference_site.ts";
import { StopAdmission } from "../admission/stop_admission.ts";
import { type Refusal, WaitQueue } from "../admission/wait_queue.ts";
import type { ReservedPath } from "../paths/path_chooser.ts";
import { concludeStream, type StreamConclusion } from "./conclude_stream.ts";
import {
  type PathWaitOptions,
  requestNeeds,
  waitForPath,
} from "./path_wait.ts";

const PATH: ReservedPath = {
  stages: [],
  msPerToken: 1,
  firstEventMs: 0,
  recordFirstEvent: () => undefined,
  release: () => {},
};

/** A host without capacity, until a test sets `path`. */
class Host {
  readonly clock = new ManualClock();
  readonly queue = new WaitQueue({ clock: this.clock, maxWaiting: 2 });
  readonly lines: [string, Readonly<Record<string, unknown>>][] = [];
  readonly refused: number[] = [];
  /** Of the refusals since the host stops. */
  readonly statuses: number[] = [];
  refusal: Refusal | undefined;
  path: ReservedPath | undefined;
  readonly context = {
    clock: this.clock,
    chooser: { choose: () => this.path },
    queueOf: () => this.queue,
    reachability: {
      isCutOff: () => false,
      onChange: () => ({ dispose: () => {} }),
    },
    metrics: { count: () => {} },
    log: {
      info: (message: string, fields: Readonly<Record<string, unknown>>) =>
        this.lines.push([message, fields]),
    },
    random: () => 0.5,
    stopAdmission: new StopAdmission({ clock: this.clock }),
  };

  plan(requestId: string, rank = 16): StreamConclusion["plan"] {
    return {
      requestId,
      contentId: `content of ${requestId}`,
      rank,
      route: {
        name: "brief",
        firstByteGoalMs: 500,
        eventGapGoalMs: 250,
      },
      service: { name: "model" },
    } as unknown as StreamConclusion["plan"];
  }

  needs(requestId: string, maxAnswerTokens = 200): PathWaitOptions["needs"] {
    return requestNeeds({
      plan: this.plan(requestId),
      profile: SITE_PROFILE,
      exchange: {
        receivedMs: this.clock.nowMs(),
        metadata: {
          promptTokens: 800,
          maxAnswerTokens,
          likelyAnswerTokens: 100,
        } as unknown as StreamConclusion["exchange"]["metadata"],
      },
    });
  }

  wait(
    requestId: string,
    { rank = 16, signal = new AbortController().signal }: {
      readonly rank?: number;
      readonly signal?: AbortSignal;
    } = {},
  ): Promise<ReservedPath | undefined> {
    return waitForPath({
      context: this.context as unknown as PathWaitOptions["context"],
      demand: { service: "model", figures: SITE_PROFILE, tokens: 1_000 },
      rank,
      needs: this.needs(requestId),
      deadlineMs: this.clock.nowMs() + 60_000,
      signal,
      latestStartMs: () =>
        this.context.stopAdmission.latestStartMs(this.plan(requestId)),
      onRefusal: (refusal) => this.refusal = refusal,
    });
  }

  conclude(requestId: string): void {
    concludeStream({
      context: this.context as unknown as StreamConclusion["context"],
      exchange: {
        isDisconnected: false,
        receivedMs: this.clock.nowMs(),
        ageMs: 0,
        refuse: (status: number) => this.statuses.push(status),
      } as unknown as StreamConclusion["exchange"],
      plan: this.plan(requestId),
      response: { isHeadSent: false } as StreamConclusion["response"],
      losses: {
        heldForMs: 0,
        refuse: (_, { retryAfterMs }) => this.refused.push(retryAfterMs),
      },
      result: { kind: "not-run", wasSent: false, reason: "no path" },
      refusal: this.refusal,
      mayHaveRun: false,
      isExpired: false,
      facts: {},
    });
  }
}

test("a stream that a stopping host could not end waits no longer, and has not run", async () => {
  const host = new Host();
  host.context.stopAdmission.recordRun("brief", 2_000);
  const wait = host.wait("r1");
  host.context.stopAdmission.begin(3_000);
  await host.clock.advance(200);
  host.queue.expire();
  expect(host.refusal).toBeUndefined();
  await host.clock.advance(300);
  host.queue.expire();
  expect(await wait).toBeUndefined();
  host.conclude("r1");
  expect(host.statuses).toEqual([503]);
});

test("a request whose caller has left or whose deadline has passed waits no longer", async () => {
  const host = new Host();
  const abort = new AbortController();
  const path = host.wait("gone", { signal: abort.signal });
  expect(host.queue.length).toBe(1);
  abort.abort();
  expect(host.queue.length).toBe(0);
  expect(await path).toBeUndefined();
  expect(host.refusal).toBeUndefined();
});

test("one line tells why a request was refused, and for whom", async () => {
  const host = new Host();
  void host.wait("first");
  const cheap = host.wait("second");
  void host.wait("urgent", { rank: 0 });
  expect(await cheap).toBeUndefined();
  host.conclude("second");
  const lines = host.lines.filter(([, { reason }]) => reason === "queue full");
  expect(lines).toEqual([["request refused by the queue", {
    request: "second",
    content: "content of second",
    route: "brief",
    reason: "queue full",
    rank: 16,
    cost: 1,
    size: 1,
    work: 1,
    canBeInTime: true,
    waitedMs: 0,
    goalMs: 500,
    estimatedWaitMs: undefined,
    waiting: 2,
    inFavourOf: "urgent",
    retryAfterMs: 700,
  }]]);
});

test("the time to retry follows the schedule, and is 0.7 s while its rate is unknown", async () => {
  const host = new Host();
  host.conclude("unknown rate");
  host.path = PATH;
  for (let count = 0; count < 20; count++) {
    await host.wait(`started-${count}`);
    await host.clock.advance(90);
  }
  for (let count = 0; count < 4; count++) host.conclude(`refused-${count}`);
  const [first, ...later] = host.refused;
  expect(first).toBe(700);
  expect(later[0]).toBe(200);
  for (const [index, returnMs] of later.slice(1).entries()) {
    expect(returnMs - later[index]).toBeGreaterThan(80);
  }
});

test("the longest answer counts if it is stated, else the likely one", () => {
  const host = new Host();
  expect(host.needs("stated", 200)?.size).toBe(2_800);
  expect(host.needs("likely", 0)?.size).toBe(1_800);
  expect(host.needs("stated")).toMatchObject({
    kind: "brief",
    goalMs: 500,
    patienceMs: 2_000,
  });
});
