/**
 * One open-loop run: requests are sent at their planned times, regardless of
 * earlier ones, and every complete answer is compared with the expected one.
 *
 * @module
 */

import { Agent } from "node:http";
import { systemClock } from "../../src/common/clock.ts";
import { createHistogram } from "../../src/common/metrics.ts";
import { type Random, seededRandom } from "../../src/common/random.ts";
import { expectedAnswer } from "../../standins/engine/expected_answer.ts";
import {
  CallerClient,
  type CompletionAnswer,
} from "../../test/caller_client.ts";
import type { LoadPlan, LoadResult } from "./types.ts";

const MICROS_PER_MS = 1_000;
const PROMPT_COUNT = 64;

export class LoadRun {
  readonly #plan: LoadPlan;
  readonly #random: Random;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: Infinity });
  readonly #clients: CallerClient[][];
  readonly #firstToken = createHistogram();
  readonly #tokenGap = createHistogram();
  readonly #completeAnswer = createHistogram();
  readonly #verdicts = new Map<string, number>();
  readonly #callVerdicts = new Map<string, string>();
  #sentCount = 0;
  #tokenCount = 0;
  #wrongCount = 0;

  constructor(plan: LoadPlan) {
    this.#plan = plan;
    this.#random = seededRandom(plan.seed);
    this.#clients = plan.customers.map(({ key }) =>
      plan.callerUrls.map((baseUrl) =>
        new CallerClient({ baseUrl, key, agent: this.#agent })
      )
    );
  }

  /** Sends all requests and waits for every answer. */
  async run(): Promise<LoadResult> {
    const startMs = performance.now();
    const pending: Promise<void>[] = [];
    for (let dueMs = this.#nextGapMs(); dueMs < this.#plan.durationS * 1_000;) {
      const waitMs = startMs + dueMs - performance.now();
      if (waitMs > 0) await systemClock.sleep(waitMs);
      pending.push(this.#sendOne(startMs + dueMs));
      dueMs += this.#nextGapMs();
    }
    await Promise.all(pending);
    this.#agent.destroy();
    return this.#result((performance.now() - startMs) / 1_000);
  }

  #nextGapMs(): number {
    return -Math.log(1 - this.#random()) * 1_000 / this.#plan.requestsPerS;
  }

  async #sendOne(plannedMs: number): Promise<void> {
    this.#sentCount++;
    const client = this.#selectClient();
    const { service, callShare, streamShare } = this.#plan;
    const draw = this.#random();
    try {
      if (service !== undefined && draw < callShare) {
        return await this.#sendCall(client, service);
      }
      const streamed = this.#random() < streamShare;
      await this.#sendCompletion(client, { streamed, plannedMs });
    } catch (error) {
      this.#countVerdict(
        `no answer (${(error as NodeJS.ErrnoException).code ?? "broken"})`,
      );
    }
  }

  async #sendCompletion(
    client: CallerClient,
    options: { readonly streamed: boolean; readonly plannedMs: number },
  ): Promise<void> {
    const call = {
      pipeline: this.#plan.pipeline.name,
      prompt: `prompt ${Math.floor(this.#random() * PROMPT_COUNT)}`,
      maxTokens: this.#plan.tokensPerAnswer,
    };
    let lastMs = options.plannedMs;
    let isFirst = true;
    const answer = options.streamed
      ? await client.stream(call, () => {
        const nowMs = performance.now();
        const histogram = isFirst ? this.#firstToken : this.#tokenGap;
        histogram.recordValue(Math.round((nowMs - lastMs) * MICROS_PER_MS));
        isFirst = false;
        lastMs = nowMs;
      })
      : await client.complete(call);
    const tookMs = performance.now() - options.plannedMs;
    if (answer.ended) {
      this.#completeAnswer.recordValue(Math.round(tookMs * MICROS_PER_MS));
    }
    this.#check(call.prompt, answer);
  }

  #check(prompt: string, answer: CompletionAnswer): void {
    if (!answer.ended) {
      return this.#countVerdict(`${answer.verdict} ${answer.code}`);
    }
    const { model, version, layerCount } = this.#plan.pipeline;
    const maxTokens = this.#plan.tokensPerAnswer;
    const expected = expectedAnswer({
      model,
      version,
      layerCount,
      prompt,
      maxTokens,
    });
    this.#tokenCount += expected.ids.length;
    if (answer.text !== expected.text) this.#wrongCount++;
    this.#countVerdict("complete");
  }

  async #sendCall(client: CallerClient, service: string): Promise<void> {
    const key = `load-${this.#plan.seed}-${this.#sentCount}`;
    const answer = await client.call({
      service,
      path: "/entries",
      key,
      body: { key },
    });
    const refusal = answer.body as {
      readonly verdict?: string;
      readonly code?: string;
    };
    const verdict = answer.status === 200
      ? "complete"
      : `${refusal.verdict} ${refusal.code}`;
    this.#callVerdicts.set(
      key,
      answer.status === 200 ? "complete" : String(refusal.verdict),
    );
    this.#countVerdict(verdict);
  }

  #selectClient(): CallerClient {
    const { customers } = this.#plan;
    const total = customers.reduce((sum, customer) => sum + customer.weight, 0);
    let remaining = this.#random() * total;
    let index = 0;
    while (
      index < customers.length - 1 && remaining >= customers[index].weight
    ) {
      remaining -= customers[index].weight;
      index++;
    }
    const clients = this.#clients[index];
    return clients[Math.floor(this.#random() * clients.length)];
  }

  #countVerdict(verdict: string): void {
    this.#verdicts.set(verdict, (this.#verdicts.get(verdict) ?? 0) + 1);
  }

  #result(elapsedS: number): LoadResult {
    return {
      firstToken: this.#firstToken,
      tokenGap: this.#tokenGap,
      completeAnswer: this.#completeAnswer,
      verdicts: this.#verdicts,
      callVerdicts: this.#callVerdicts,
      sentCount: this.#sentCount,
      tokenCount: this.#tokenCount,
      wrongCount: this.#wrongCount,
      elapsedS,
    };
  }
}
