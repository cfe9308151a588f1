/**
 * Records that another writer may leave in the topics that hosts read, none of
 * which is one of theirs.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import {
  CONFIG_TOPIC,
  HOST_TOPIC,
  TARGET_TOPIC,
} from "../platform/store_client.ts";
import {
  MODEL_SERVICE,
  PLAIN_SERVICE,
} from "../standins/users_platform/deployment.ts";

export interface OddRecord {
  readonly topic: string;
  readonly key: string;
  readonly value: Buffer;
}

const DEPTH = 200_000;
/** Nothing listens there. */
const ADDRESS = "127.0.0.1:9";
const UNCLOSED = "[".repeat(DEPTH);
const NESTED = UNCLOSED + "]".repeat(DEPTH);
const LONG = `"${"x".repeat(DEPTH)}"`;
const NO_TEXT = Buffer.from([0xff, 0xfe, 0x00, 0xc3, 0x28, 0x80, 0x7b]);

/** In any topic. */
const DOCUMENTS = [
  NESTED,
  UNCLOSED,
  LONG,
  `{"odd":${NESTED}}`,
  "1e999",
  "null",
  "{}",
  "{",
];

/** In place of the members of a server's record. */
const SERVER_MEMBERS = [
  `"address":"127.0.0.1:70000"`,
  `"address":"999.1.1.1:80"`,
  `"layers":{"from":0,"to":1e15}`,
  `"layers":{"from":0,"to":1e999}`,
  `"layers":{"from":0.5,"to":2}`,
  `"layers":{"from":-1,"to":2}`,
  `"layers":{"from":1e15,"to":2e15}`,
  `"layers":[{"from":1.5,"to":1.75}]`,
  `"layers":${NESTED}`,
  `"born":1e999`,
  `"born":1e15`,
  `"slots":-1`,
  `"slots":1e999`,
  `"route-kind":"odd"`,
  `"service":"odd"`,
  `"zone":"odd"`,
  `"state":"odd"`,
  `"service":${NESTED}`,
  `"service":${LONG}`,
  `"zone":${LONG}`,
  `"route-kind":${LONG}`,
];

/** Keys and records in the topic of the hosts. */
const HOST_DOCUMENTS: readonly (readonly [string, string])[] = [
  ["odd", `{"ip":"127.0.0.1","port":70000,"zone":"a","born":1}`],
  ["odd", `{"ip":"999.1.1.1","port":7340,"zone":"a","born":1}`],
  ["odd", `{"ip":"0.0.0.0","port":1,"zone":"a","born":1e15}`],
  ["odd", `{"ip":"127.0.0.1","port":1e999,"zone":"a"}`],
  ["odd", `{"ip":"127.0.0.1","port":9,"zone":${LONG},"born":1}`],
  ["era/settled", `{"era":1e15}`],
  ["era/settled", `{"era":1e999}`],
  ["quarantine/odd", `{"clears":0,"losses":1e15,"event":-1}`],
  ["quarantine/odd", `{"clears":0,"losses":1e999,"event":${NESTED}}`],
  ["quarantine/", `{"clears":0,"losses":3,"event":-1}`],
  [
    "quarantine/odd",
    `{"clears":0,"losses":3,"total":3,"event":-1,"processes":[${
      manyNames(5_000)
    }],"companions":[${manyNames(5_000)}]}`,
  ],
];

export const ODD_RECORDS: readonly OddRecord[] = [
  ...[TARGET_TOPIC, HOST_TOPIC, CONFIG_TOPIC].flatMap((topic) => [
    ...DOCUMENTS.map((text) => record(topic, "odd", text)),
    { topic, key: "odd", value: NO_TEXT },
    { topic, key: "\u0000 \n".repeat(80), value: NO_TEXT },
  ]),
  ...SERVER_MEMBERS.flatMap((members) =>
    [MODEL_SERVICE, PLAIN_SERVICE].map((service) =>
      record(
        TARGET_TOPIC,
        "odd",
        // Of two members of the same name the last one counts.
        `{"service":"${service}","address":"${ADDRESS}","zone":"a",` +
          `"state":"ready","route-kind":"small","seq":1,${members}}`,
      )
    )
  ),
  ...HOST_DOCUMENTS.map(([key, text]) => record(HOST_TOPIC, key, text)),
];

function record(topic: string, key: string, text: string): OddRecord {
  return { topic, key, value: Buffer.from(text) };
}

function manyNames(count: number): string {
  return Array.from({ length: count }, (_, i) => `"odd process ${i}"`).join();
}
