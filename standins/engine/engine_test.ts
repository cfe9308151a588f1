import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import { chainSignature } from "../../src/clients/types.ts";
import { ANSWER, ChainFixture, testDeadline } from "./chain_fixture.ts";
import type { EngineOptions } from "./engine.ts";

let fixture: ChainFixture;
afterEach(() => fixture.close());

async function start(options: Partial<EngineOptions> = {}): Promise<void> {
  fixture = await ChainFixture.start(options);
}

describe("a chain", () => {
  beforeEach(() => start());

  test("gives the expected answer, each token with its stages", async () => {
    const { outcome, tokens } = await fixture.generate(fixture.request());
    expect(outcome.unwrap()).toMatchObject({
      tokenCount: ANSWER.ids.length,
      reason: ANSWER.reason,
    });
    expect(tokens.map((token) => token.text).join("")).toBe(ANSWER.text);
    expect(new Set(tokens.map((token) => token.ran)))
      .toEqual(new Set([chainSignature(fixture.chain)]));
  });

  test("continues the unbroken answer from every position", async () => {
    for (let position = 0; position <= ANSWER.ids.length; position++) {
      const generated = ANSWER.ids.slice(0, position);
      const request = fixture.request({ generated });
      const { outcome, tokens } = await fixture.generate(request);
      expect(outcome.isOk()).toBe(true);
      expect(tokens.map(({ id }) => id)).toEqual(ANSWER.ids.slice(position));
    }
  });

  test.each([0, 1, 2])("refused by stage %i starts nothing", async (place) => {
    const stale = fixture.chain.map((stage, other) =>
      other === place ? { ...stage, generation: 9 } : stage
    );
    const request = fixture.request({ chain: stale });
    const refused = await fixture.generate(request);
    expect(refused.outcome.unwrapErr()).toMatchObject({
      verdict: "not-run",
      code: "stale-generation",
      target: `t${place}`,
    });
    fixture.faults[place].apply({ action: "leave" });
    const left = await fixture.generate(fixture.request());
    expect(left.outcome.unwrapErr()).toMatchObject({
      verdict: "not-run",
      code: "shutting-down",
      target: `t${place}`,
    });
    expect(fixture.startedCounts()).toEqual([0, 0, 0]);
    await vi.waitFor(() => expect(fixture.openCounts()).toEqual([0, 0, 0]));
  });

  test("an attempt sent twice runs once", async () => {
    const request = fixture.request();
    const both = await Promise.all([
      fixture.generate(request),
      fixture.generate(request),
    ]);
    const verdicts = both.map(({ outcome }) =>
      outcome.isOk() ? "complete" : outcome.error.verdict
    );
    expect(verdicts.sort()).toEqual(["complete", "may-have-run"]);
    expect(fixture.startedCounts()).toEqual([1, 1, 1]);
  });

  test("cut at each position is reattached or run again to the same text", async () => {
    for (let position = 0; position <= ANSWER.ids.length; position += 3) {
      fixture.faults[0].apply({ action: "cut", afterTokens: position });
      const request = fixture.request();
      const broken = await fixture.generate(request);
      expect(broken.outcome.unwrapErr().verdict).toBe("may-have-run");
      const generated = broken.tokens.map(({ id }) => id);
      expect(generated).toEqual(ANSWER.ids.slice(0, position));
      const rest = position % 2 === 0
        ? await fixture.reattach(request.attemptId, position)
        : await fixture.generate(fixture.request({ generated }));
      expect(rest.outcome.isOk()).toBe(true);
      expect([...generated, ...rest.tokens.map(({ id }) => id)])
        .toEqual(ANSWER.ids);
    }
  });
});

describe("a long generation", () => {
  const endless = { maxTokens: 1_000_000, prompt: "a prompt" };
  beforeEach(() => start({ tokenMs: 1, graceMs: 0 }));

  /** Runs until the first token, then does something to the chain. */
  const disturbed = (disturb: () => void, signal?: AbortSignal) =>
    fixture.generate(fixture.request(endless), {
      signal,
      onFirstToken: disturb,
    });

  test.each([1, 2])("names stage %i when it dies", async (place) => {
    const { outcome } = await disturbed(() =>
      fixture.faults[place].apply({ action: "die" })
    );
    expect(outcome.unwrapErr()).toMatchObject({
      verdict: "may-have-run",
      code: "target-failed",
      target: `t${place}`,
    });
  });

  test("is never complete when its first stage dies", async () => {
    const { outcome } = await disturbed(() =>
      fixture.faults[0].apply({ action: "die" })
    );
    expect(outcome.unwrapErr().verdict).toBe("may-have-run");
  });

  test.each([0, 1, 2])("ends as stale when stage %i reloads", async (place) => {
    const order = fixture.order(place, { version: "v2" });
    const { url } = fixture.chain[place];
    const { outcome } = await disturbed(() =>
      void fixture.client.order(url, order, testDeadline())
    );
    expect(outcome.unwrapErr()).toMatchObject({
      code: "stale-generation",
      target: `t${place}`,
    });
  });

  test.each(["cancelled", "hung up"])(
    "%s, it ends at every stage",
    async (how) => {
      const hangUp = new AbortController();
      const request = fixture.request(endless);
      const { outcome } = await fixture.generate(request, {
        signal: hangUp.signal,
        onFirstToken: () => hangUp.abort(),
      });
      expect(outcome.unwrapErr().code).toBe("cancelled");
      if (how === "cancelled") {
        const { attemptId } = request;
        await fixture.client.cancel(fixture.url, attemptId, testDeadline());
        expect(fixture.openCounts()).toEqual([0, 0, 0]);
      }
      await vi.waitFor(() => expect(fixture.openCounts()).toEqual([0, 0, 0]));
    },
  );
});

test("content with the marker takes its neighbours in the batch with it", async () => {
  await start({ tokenMs: 5, crashMarker: "<crash>" });
  const neighbour = fixture.generate(fixture.request({ maxTokens: 100_000 }));
  const poison = fixture.request({ prompt: "now <crash>" });
  const crashed = await fixture.generate(poison);
  expect(crashed.outcome.unwrapErr().verdict).toBe("may-have-run");
  expect((await neighbour).outcome.unwrapErr().verdict).toBe("may-have-run");
  expect(fixture.exitedStages).toContain(0);
});

test("an engine takes no more attempts than it may have open", async () => {
  await start({ maxAttempts: 1, tokenMs: 1 });
  const hangUp = new AbortController();
  const refusal = await new Promise<unknown>((resolve) => {
    void fixture.generate(fixture.request({ maxTokens: 100_000 }), {
      signal: hangUp.signal,
      onFirstToken: async () =>
        resolve(
          (await fixture.generate(fixture.request())).outcome.unwrapErr(),
        ),
    });
  });
  hangUp.abort();
  expect(refusal).toMatchObject({ verdict: "not-run", code: "overloaded" });
});

describe.each([true, false])("orders, fence checked: %s", (checksFence) => {
  let finishLoad: () => void;
  beforeEach(() =>
    start({
      checksFence,
      load: () => new Promise((resolve) => finishLoad = resolve),
    })
  );

  const send = (overrides: object) =>
    fixture.client.order(
      fixture.url,
      fixture.order(0, overrides),
      testDeadline(),
    );

  test("are absolute, and refuse work while they load", async () => {
    const same = (await send({ fence: 3 })).unwrap();
    expect(same).toMatchObject({ generation: 1, loading: false, fence: 3 });
    const loading = (await send({ fence: 4, version: "v2" })).unwrap();
    expect(loading).toMatchObject({ generation: 2, loading: true });
    const repeated = (await send({ fence: 4, version: "v2" })).unwrap();
    expect(repeated.generation).toBe(2);
    const chain = fixture.chain.map((stage) => ({ ...stage, generation: 2 }));
    const request = fixture.request({ version: "v2", chain });
    const refused = (await fixture.generate(request)).outcome.unwrapErr();
    expect(refused).toMatchObject({ verdict: "not-run", target: "t0" });
    finishLoad();
    const state = () => fixture.client.readState(fixture.url, testDeadline());
    await vi.waitFor(async () =>
      expect((await state()).unwrap().loading).toBe(false)
    );
  });

  test("with an old fencing number are refused or obeyed", async () => {
    await send({ fence: 5 });
    const stale = await send({ fence: 4, version: "v2" });
    const state = (await fixture.client.readState(fixture.url, testDeadline()))
      .unwrap();
    if (checksFence) {
      expect(stale.unwrapErr()).toMatchObject({
        verdict: "not-run",
        code: "target-refused",
      });
      expect(state).toMatchObject({ version: "v1", fence: 5 });
    } else expect(state).toMatchObject({ version: "v2", fence: 4 });
  });
});
