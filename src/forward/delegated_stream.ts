/**
 * Lets another host serve a stream, or the rest of one, and forwards its events.
 *
 * @module
 */

import type { HostRecord } from "../ports/types.ts";
import { learnFromDelegate } from "./answer_signals.ts";
import type { CallContext, CallPlan } from "./context.ts";
import { checkDelegateHead, sendToHost, unmarkedEnd } from "./delegation.ts";
import { EventForwarder } from "./event_forwarder.ts";
import type { Exchange } from "./exchange.ts";
import { type SendResult, toSendResult } from "./send_result.ts";
import type { StreamResponse } from "./stream_response.ts";

/**
 * Gap after which a host is abandoned if another receiver is there; callers
 * disconnect after two seconds.
 */
const ABANDON_AFTER_MS = 1_500;
const CHECK_INTERVAL_MS = 250;

export interface DelegatedStreamOptions {
  readonly context: Pick<
    CallContext,
    "codec" | "hostAgent" | "clock" | "delegates" | "limits" | "log" | "targets"
  >;
  readonly exchange: Exchange;
  readonly plan: CallPlan;
  readonly host: HostRecord;
  readonly response: StreamResponse;
  readonly isResumed: boolean;
  /** Whether the stream can be resumed elsewhere now. */
  readonly mayAbandon: () => boolean;
  readonly signal: AbortSignal;
}

export async function delegateStream(
  options: DelegatedStreamOptions,
): Promise<SendResult> {
  const { context: { delegates, clock }, host, signal } = options;
  const abort = new AbortController();
  const onAbort = (): void => abort.abort();
  signal.addEventListener("abort", onAbort, { once: true });
  const progress = { atMs: clock.nowMs() };
  const watch = setInterval(() => {
    const isOverdue = clock.nowMs() - progress.atMs >= ABANDON_AFTER_MS;
    if (isOverdue && options.mayAbandon()) abort.abort();
  }, CHECK_INTERVAL_MS);
  delegates.begin(host);
  try {
    return await receive(options, progress, abort.signal);
  } finally {
    delegates.end(host);
    clearInterval(watch);
    signal.removeEventListener("abort", onAbort);
    abort.abort();
  }
}

async function receive(
  options: DelegatedStreamOptions,
  progress: { atMs: number },
  signal: AbortSignal,
): Promise<SendResult> {
  const { context, exchange, plan, host, response } = options;
  const sentMs = context.clock.nowMs();
  const outcome = await sendToHost({
    context,
    exchange,
    plan,
    host,
    lastEventId: options.isResumed ? response.lastEventId : undefined,
    mayReuse: plan.route.isResumable,
    signal,
  });
  if (outcome.kind === "failed") {
    const { verdict, reason } = outcome;
    return verdict === "not-run"
      ? { kind: "not-run", wasSent: false, reason }
      : { kind: "broken", reason };
  }
  const { answer } = outcome;
  const metadata = context.codec.answer(answer.rawHeaders);
  const { requestId } = plan;
  const refusal = checkDelegateHead(outcome, { metadata, requestId });
  if (refusal?.kind === "invalid") {
    return { kind: "broken", reason: refusal.reason };
  }
  if (refusal !== undefined) {
    return { ...refusal, kind: "not-run", wasSent: false };
  }
  learnFromDelegate(context, { answer, metadata, sentMs });
  const status = answer.statusCode ?? 0;
  if (status !== 200) {
    return toSendResult(await response.forwardWhole(outcome, status));
  }
  const events = new EventForwarder({
    outcome,
    sink: {
      lastEventId: response.lastEventId,
      onEvents: (bytes, lastId) =>
        response.forwardEvents(answer, bytes, lastId),
    },
    onProgress: () => progress.atMs = context.clock.nowMs(),
  });
  const onDrain = (): void => {
    if (!events.isPaused) return;
    progress.atMs = context.clock.nowMs();
    events.resume();
  };
  exchange.response.on("drain", onDrain);
  const result = await events.run();
  exchange.response.off("drain", onDrain);
  return toSendResult(
    result.kind === "complete"
      ? unmarkedEnd(answer) ?? response.end()
      : result.reason,
  );
}
