import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { TestLog } from "../../test/requests_log.ts";
import { seededRandom } from "../common/random.ts";
import { ClaimReader } from "./claim_reader.ts";
import { type ClaimOp, MAX_CLAIM_DURATION_MS } from "./claim_records.ts";

const STREAM = "claims-0";
const WINDOW_MS = 900_000;

function claimOp(key: string, claimId: string): ClaimOp {
  return { kind: "claim", key, claimId, holder: "h", lastsMs: 1_000 };
}

async function filledLog() {
  const clock = new ManualClock();
  const random = seededRandom(9);
  const log = new TestLog({ clock, random, delayMs: 0 });
  for (let at = 0; at < 6_000; at += 1) {
    const key = `k${Math.floor(random() * 3_000)}`;
    const op = random() < 0.8 ? claimOp(key, `c${at}`) : {
      kind: "release" as const,
      key,
      claimId: `c${Math.floor(random() * at)}`,
    };
    log.client().append(STREAM, [{ id: `r${at}`, data: { ops: [op] } }], {
      deadlineMs: Infinity,
    });
    await clock.advance(2_000);
  }
  const reader = () =>
    new ClaimReader({
      clock,
      log: log.client(),
      stream: STREAM,
      windowMs: WINDOW_MS,
      logTimeoutMs: 1_000,
      onRecord: () => {},
    });
  return { clock, log, reader };
}

test("a reader that starts late decides as one that read everything", async () => {
  const { log, reader } = await filledLog();
  const late = reader();
  const readBefore = log.readCount;
  expect((await late.catchUp()).isOk()).toBe(true);
  const whole = reader();
  for (const record of log.streams.get(STREAM) ?? []) {
    whole.ledger.apply(record);
  }
  for (let at = 0; at < 3_000; at += 1) {
    const op = claimOp(`k${at}`, "new");
    expect(late.ledger.outcomeOf(op)).toEqual(whole.ledger.outcomeOf(op));
  }
  const horizonMs = WINDOW_MS + MAX_CLAIM_DURATION_MS;
  expect(late.ledger.nextOffset).toBe(6_000);
  expect(log.readCount - readBefore).toBeLessThan(horizonMs / 1_000_000 + 20);
});

test("memory holds the window, not the stream", async () => {
  const { log, reader } = await filledLog();
  const { ledger } = reader();
  for (const record of log.streams.get(STREAM) ?? []) ledger.apply(record);
  const recordsInWindow = (WINDOW_MS + 1_000) / 2_000;
  expect(ledger.size).toBeLessThan(2.5 * recordsInWindow);
  expect(ledger.nextOffset).toBe(6_000);
});

test("a release that comes before its claim still ends it", async () => {
  const clock = new ManualClock();
  const log = new TestLog({ clock, random: seededRandom(1), delayMs: 0 });
  const ops: ClaimOp[] = [
    { kind: "release", key: "k", claimId: "late" },
    claimOp("k", "late"),
    claimOp("k", "next"),
    claimOp("k", "lost"),
    { kind: "release", key: "k", claimId: "next" },
    claimOp("k", "lost"),
    claimOp("k", "next"),
  ];
  for (const [at, op] of ops.entries()) {
    await log.client().append(STREAM, [{ id: `r${at}`, data: { ops: [op] } }], {
      deadlineMs: Infinity,
    });
  }
  const reader = new ClaimReader({
    clock,
    log: log.client(),
    stream: STREAM,
    windowMs: WINDOW_MS,
    logTimeoutMs: 1_000,
    onRecord: () => {},
  });
  await reader.catchUp();
  const fates = ["late", "next", "lost"].map((claimId) =>
    reader.ledger.outcomeOf(claimOp("k", claimId))?.kind
  );
  expect(fates).toEqual(["lost", "lost", "lost"]);
  expect(reader.ledger.outcomeOf(claimOp("k", "fresh"))).toBeUndefined();
});
