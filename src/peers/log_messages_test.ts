import fc from "fast-check";
import { expect, test } from "vitest";
import { decodeDatagram } from "./datagram.ts";
import {
  encodeLogAnswer,
  encodeLogQuery,
  type LogAnswer,
} from "./log_messages.ts";

const ANSWER: LogAnswer = {
  id: 4,
  read: {
    watermarkDeltaMs: -312.5,
    sinceRecoveryMs: 800,
    nextOffset: 90,
    era: 3,
    records: [
      { key: "a", value: Buffer.from([0, 255, 10]) },
      { key: "b", value: undefined },
    ],
  },
};

test("queries and answers are decoded as they were encoded", () => {
  const query = {
    id: 7,
    log: "config",
    fromOffset: 12,
    mayWait: true,
    era: undefined,
  };
  expect(decodeDatagram(encodeLogQuery(query)))
    .toEqual({ kind: "query", query });
  expect(decodeDatagram(encodeLogAnswer(ANSWER)))
    .toEqual({ kind: "answer", answer: ANSWER });
  const none = { id: 8, read: undefined };
  expect(decodeDatagram(encodeLogAnswer(none)))
    .toEqual({ kind: "answer", answer: none });
});

test("an answer with a field of the wrong type is rejected", () => {
  const sent = JSON.parse(encodeLogAnswer(ANSWER).toString()).say;
  const wrong = fc.oneof(
    fc.constantFrom(null, true, "text", -0.5, {}, [[1, "x"]], [["k", 5]]),
    fc.string(),
  );
  fc.assert(
    fc.property(fc.nat({ max: 4 }), wrong, (index, value) => {
      const isAllowed = index === 1 && typeof value === "number";
      const bytes = Buffer.from(
        JSON.stringify({ say: sent.with(index, value) }),
      );
      expect(decodeDatagram(bytes) === undefined).toBe(!isAllowed);
    }),
    { seed: 20261203, numRuns: 300 },
  );
});

test("a query with a field of the wrong type is rejected", () => {
  for (
    const ask of [
      [],
      [1],
      ["1", "config", 2, 1],
      [1, 2, 3, 1],
      [1, "c", -1, 1],
      {},
    ]
  ) {
    expect(decodeDatagram(Buffer.from(JSON.stringify({ ask }))))
      .toBeUndefined();
  }
});
