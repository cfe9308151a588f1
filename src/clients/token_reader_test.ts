import fc from "fast-check";
import { expect, test } from "vitest";
import { TokenReader } from "./token_reader.ts";
import type { EngineToken } from "./types.ts";

const SEED = 20_261_203;

function tokenOf(index: number, attemptId = "a"): EngineToken {
  return {
    attemptId,
    index,
    id: index * 7,
    text: ` é${index}`,
    ran: "t:0-1@1",
  };
}

function formatEvent(name: string, data: unknown): string {
  return `event: ${name}\ndata: ${JSON.stringify(data)}\n\n`;
}

function endOf(tokenCount: number, attemptId = "a"): string {
  return formatEvent("end", { attemptId, tokenCount, reason: "length" });
}

function tokens(...indexes: number[]): string {
  return indexes.map((index) => formatEvent("token", tokenOf(index))).join("");
}

function readAll(chunks: readonly Buffer[], fromIndex = 0) {
  const batches: number[][] = [];
  const attempts = new Set<string>();
  const reader = new TokenReader({
    attemptId: "a",
    fromIndex,
    onTokens: (batch) => {
      batches.push(batch.map((token) => token.index));
      for (const token of batch) attempts.add(token.attemptId);
    },
  });
  for (const chunk of chunks) {
    if (reader.read(chunk) !== "more") break;
  }
  attempts.delete("a");
  return { reader, batches, indexes: batches.flat(), foreign: attempts.size };
}

interface StreamCase {
  readonly name: string;
  readonly stream: string;
  readonly fromIndex?: number;
  readonly released: readonly number[];
  readonly end: "whole" | "none" | "bad-answer" | "stale-generation";
}

const CASES: readonly StreamCase[] = [
  {
    name: "whole",
    stream: tokens(0, 1, 2) + endOf(3),
    released: [0, 1, 2],
    end: "whole",
  },
  {
    name: "resumed",
    stream: tokens(2) + endOf(3),
    fromIndex: 2,
    released: [2],
    end: "whole",
  },
  { name: "cut", stream: tokens(0, 1), released: [0, 1], end: "none" },
  {
    name: "cut within its end",
    stream: tokens(0) + endOf(1).slice(0, -1),
    released: [0],
    end: "none",
  },
  {
    name: "another attempt's tokens and end",
    stream: tokens(0) + formatEvent("token", tokenOf(1, "b")) + endOf(1, "b") +
      tokens(1) + endOf(2),
    released: [0, 1],
    end: "whole",
  },
  {
    name: "only another attempt's",
    stream: formatEvent("token", tokenOf(0, "b")) + endOf(1, "b"),
    released: [],
    end: "none",
  },
  {
    name: "repeated tokens",
    stream: tokens(0, 1, 1, 0, 2) + endOf(3),
    released: [0, 1, 2],
    end: "whole",
  },
  {
    name: "a token missing",
    stream: tokens(0, 2) + endOf(3),
    released: [0],
    end: "bad-answer",
  },
  {
    name: "the last token missing",
    stream: tokens(0, 1) + endOf(3),
    released: [0, 1],
    end: "bad-answer",
  },
  {
    name: "an end with too few tokens",
    stream: tokens(0, 1, 2) + endOf(2),
    released: [0, 1, 2],
    end: "bad-answer",
  },
  {
    name: "a token without text",
    stream: formatEvent("token", { ...tokenOf(0), text: undefined }),
    released: [],
    end: "bad-answer",
  },
  {
    name: "not JSON",
    stream: tokens(0) + "event: token\ndata: {\n\n" + tokens(1),
    released: [0],
    end: "bad-answer",
  },
  {
    name: "two documents in one event",
    stream: `event: token\ndata: ${JSON.stringify(tokenOf(0))},${
      JSON.stringify(tokenOf(1))
    }\n\n`,
    released: [],
    end: "bad-answer",
  },
  {
    name: "tokens after the end",
    stream: tokens(0) + endOf(1) + tokens(1),
    released: [0],
    end: "whole",
  },
  {
    name: "an error of a stage",
    stream: tokens(0) + formatEvent("error", {
      error: "stale-generation",
      target: "t2",
    }),
    released: [0],
    end: "stale-generation",
  },
  {
    name: "an event of another kind and a comment",
    stream: `: still here\n\n${formatEvent("note", {})}${tokens(0)}${endOf(1)}`,
    released: [0],
    end: "whole",
  },
];

function observedEnd(reader: TokenReader): string {
  if (reader.failure) return reader.failure.code;
  return reader.end ? "whole" : "none";
}

test.each([...CASES])("a stream: $name", (streamCase) => {
  const bytes = Buffer.from(streamCase.stream);
  const inOneChunk = readAll([bytes], streamCase.fromIndex);
  const byByte = readAll(
    [...bytes].map((byte) => Buffer.from([byte])),
    streamCase.fromIndex,
  );
  for (const { reader, indexes } of [inOneChunk, byByte]) {
    expect(indexes).toEqual(streamCase.released);
    expect(observedEnd(reader)).toBe(streamCase.end);
  }
  expect(inOneChunk.batches.length).toBeLessThanOrEqual(1);
});

/** What may happen to one event on its way. */
const eventFault = fc.constantFrom(
  "none",
  "repeated",
  "crossed",
  "lost",
  "late",
);

test(`random mishaps never release a foreign or misplaced token, seed ${SEED}`, () => {
  const property = fc.property(
    fc.array(eventFault, { maxLength: 20 }),
    fc.array(fc.nat(2_000), { maxLength: 12 }),
    fc.boolean(),
    (eventFaults, cuts, isEnded) => {
      const sent =
        eventFaults.map((kind, index) => formatWithFault(kind, index)).join(
          "",
        ) +
        (isEnded ? endOf(eventFaults.length) : "");
      const chunks = splitAt(Buffer.from(sent), cuts);
      const { reader, indexes, foreign } = readAll(chunks);
      expect(foreign).toBe(0);
      expect(indexes).toEqual([...indexes.keys()]);
      const isComplete = isEnded &&
        !eventFaults.some((kind) => kind === "lost" || kind === "late");
      expect(reader.end !== undefined).toBe(isComplete);
      if (isComplete) expect(indexes.length).toBe(eventFaults.length);
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 2_000 });
});

function formatWithFault(kind: string, index: number): string {
  switch (kind) {
    case "repeated":
      return tokens(index, index) + tokens(0);
    case "crossed":
      return formatEvent("token", tokenOf(index, "b")) + tokens(index);
    case "lost":
      return "";
    case "late":
      return tokens(index + 1, index);
    default:
      return tokens(index);
  }
}

function splitAt(bytes: Buffer, cuts: readonly number[]): Buffer[] {
  const positions = [...cuts.filter((cut) => cut < bytes.length), bytes.length];
  let start = 0;
  return positions.sort((a, b) => a - b).map((position) => {
    const chunk = bytes.subarray(start, position);
    start = position;
    return chunk;
  });
}
