import { expect, test } from "vitest";
import { soundLink } from "../../test/reachability.ts";
import { ManualClock } from "../../test/manual_clock.ts";
import { ContentQuarantine } from "../admission/content_quarantine.ts";
import { type Deferred, deferred } from "../common/deferred.ts";
import { silentLog } from "../common/logging.ts";
import { TargetTable } from "../paths/target_table.ts";
import { CallLosses, type CallLossesOptions } from "./call_losses.ts";
import type { EndEvidence } from "./loss_detector.ts";

function callLosses() {
  const clock = new ManualClock();
  const targets = new TargetTable({ clock, log: silentLog });
  const evidence = new Map<string, Deferred<EndEvidence | undefined>>();
  for (const id of ["a", "b"]) {
    targets.put({
      id,
      service: "s",
      address: `10.0.0.1:${id.charCodeAt(0)}`,
      domain: "d",
      state: "ready",
      bornMs: 1,
      kind: undefined,
      span: undefined,
    });
    evidence.set(id, deferred());
  }
  const quarantine = new ContentQuarantine({ clock });
  const context = {
    log: silentLog,
    metrics: { count: () => {} },
    targets,
    reachability: soundLink(targets),
    quarantine,
    lossDetector: {
      observe: ({ targetId }: { readonly targetId: string }) => ({
        firstCheck: Promise.resolve("accepts"),
        evidence: evidence.get(targetId)?.promise,
      }),
    },
  };
  const losses = new CallLosses({
    context: context as unknown as CallLossesOptions["context"],
    plan: {
      requestId: "r",
      contentId: "c",
      sharedPromptParts: ["p"],
      service: { name: "s", engine: undefined },
    },
  });
  const fail = (targetId: string) =>
    losses.recordFailure(losses.beginSend([{ targetId }]), {
      targetId,
      lastEventId: undefined,
    });
  const prove = async (targetId: string) => {
    evidence.get(targetId)?.resolve("restarted");
    await Promise.resolve();
    await Promise.resolve();
  };
  return { clock, losses, quarantine, fail, prove };
}

test.each([["a", "b"], ["b", "a"]])(
  "two targets that ended one after the other count as two if %s is proven before %s",
  async (first, second) => {
    const { quarantine, fail, prove } = callLosses();
    await fail("a");
    await fail("b");
    await prove(first);
    await prove(second);
    expect(quarantine.baseline("c").losses.totalLosses).toBe(2);
  },
);

test("an end that is proven after the call has completed counts nothing", async () => {
  const { losses, quarantine, fail, prove } = callLosses();
  await fail("a");
  losses.recordCompletion();
  await prove("a");
  expect(quarantine.isSuspect("c")).toBe(false);
});

test("a call that its caller left counts no broken send, but an end that is proven", async () => {
  const { losses, quarantine, prove } = callLosses();
  await losses.recordFailure(losses.beginSend([{ targetId: "a" }]), {
    targetId: "a",
    lastEventId: undefined,
    isAbandoned: true,
  });
  expect(quarantine.isSuspect("c")).toBe(false);
  await prove("a");
  expect(quarantine.baseline("c").losses.losses).toBe(1);
});

test("a send that broke off before its first event counts for the parts of the prompt", async () => {
  const { quarantine, fail } = callLosses();
  await fail("a");
  expect(quarantine.baseline("p/part").breaks.losses).toBe(1);
});

test("a stream that had events before its path was changed says nothing of its parts", async () => {
  const { clock, losses, quarantine, prove } = callLosses();
  losses.beginSend([{ targetId: "a" }]);
  losses.recordProgress(3);
  await clock.advance(10_000);
  const send = losses.continueSend([{ targetId: "b" }]);
  await losses.recordFailure(send, { targetId: "b", lastEventId: 3 });
  await prove("b");
  expect(quarantine.baseline("c").losses.losses).toBe(1);
  expect(quarantine.isSuspect("p/part")).toBe(false);
});
