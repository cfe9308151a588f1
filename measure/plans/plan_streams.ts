/**
 * Runs streams over a placed fleet with the product's path selection, to learn
 * which targets they use. Every host has its own view, and hosts learn each
 * other's load at intervals.
 *
 * @module
 */

import { silentLog } from "../../src/common/logging.ts";
import { type Random, seededRandom } from "../../src/common/random.ts";
import {
  PathChooser,
  type ReservedPath,
} from "../../src/paths/path_chooser.ts";
import { TargetTable } from "../../src/paths/target_table.ts";
import type { PlannedOrder } from "../../src/placement/types.ts";
import { EventQueue } from "../chains/fakes.ts";
import type { Fleet } from "./fleets.ts";

const SERVICE = "model";
/** Interval at which hosts of a large fleet learn each other's load. */
const LOAD_EXCHANGE_MS = 600;
const DURATION_MS = 8_000;
/** Share of a target's streams that are in its batch at a time. */
const ACTIVE_STREAM_SHARE = 0.3;
const HOP_MS = 0.4;

export interface PlacedStream {
  readonly startMs: number;
  readonly endMs: number;
  readonly targetIds: readonly string[];
  readonly msPerToken: number;
}

export interface StreamOutcome {
  /** In the order of their start. */
  readonly streams: readonly PlacedStream[];
  /** Share of the requests that found no path with free capacity. */
  readonly withoutPath: number;
}

export function runStreams(
  fleet: Fleet,
  orders: readonly PlannedOrder[],
  seed: number,
): StreamOutcome {
  const { figures, requestsPerS } = fleet;
  const events = new EventQueue();
  const random = seededRandom(seed);
  const hosts = makeHosts(fleet, { orders, events, random });
  const streams: PlacedStream[] = [];
  let requests = 0;
  const exchange = (): void => {
    exchangeLoads(hosts.map(({ table }) => table));
    if (events.nowMs() < DURATION_MS) events.after(LOAD_EXCHANGE_MS, exchange);
  };
  exchange();
  const arrive = (): void => {
    if (events.nowMs() >= DURATION_MS) return;
    const tokens = Math.round(
      figures.typicalPromptTokens * (0.4 + 1.2 * random()),
    );
    const answer = Math.round(figures.typicalAnswerTokens * (0.5 + random()));
    const { chooser, table } = hosts[Math.floor(random() * hosts.length)];
    const path = chooser.choose({
      service: SERVICE,
      figures,
      tokens: tokens + 0.7 * answer,
    });
    requests++;
    if (path !== undefined) {
      const msPerToken = tokenMs(path, fleet, table);
      events.after(answer * msPerToken, path.release);
      streams.push({
        startMs: events.nowMs(),
        endMs: events.nowMs() + answer * msPerToken,
        targetIds: path.stages.map(({ targetId }) => targetId),
        msPerToken,
      });
    }
    events.after(-Math.log(1 - random()) * 1_000 / requestsPerS, arrive);
  };
  arrive();
  events.runUntil(DURATION_MS);
  return { streams, withoutPath: 1 - streams.length / requests };
}

/** Time of one token under the load that the host knows, without noise. */
function tokenMs(
  { stages }: ReservedPath,
  { figures, targets }: Fleet,
  table: TargetTable,
): number {
  let sumMs = (stages.length - 1) * HOP_MS;
  for (const { targetId, from, to } of stages) {
    const pace = targets.find(({ id }) => id === targetId)?.paceFactor ?? 1;
    const target = table.get(targetId);
    const streams = (target?.ownLoad.streams ?? 0) +
      (target?.peerLoad.streams ?? 0);
    const stepMs = figures.stepMs +
      streams * ACTIVE_STREAM_SHARE * figures.perSequenceMs;
    sumMs += pace * stepMs * (to - from) / figures.layers;
  }
  return sumMs;
}

interface Host {
  readonly table: TargetTable;
  readonly chooser: PathChooser;
}

function makeHosts(
  { targets, hosts }: Fleet,
  { orders, events, random }: {
    readonly orders: readonly PlannedOrder[];
    readonly events: EventQueue;
    readonly random: Random;
  },
): Host[] {
  const domains = [...new Set(targets.map(({ domain }) => domain))];
  const spans = new Map(orders.map(({ targetId, span }) => [targetId, span]));
  return Array.from({ length: hosts }, (_, index) => {
    const table = new TargetTable({ clock: events, log: silentLog });
    for (const { id, domain, kind } of targets) {
      table.put({
        id,
        service: SERVICE,
        address: id,
        domain,
        state: "ready",
        bornMs: 0,
        kind,
        span: spans.get(id),
      });
    }
    const chooser = new PathChooser({
      targetTable: table,
      clock: events,
      domain: domains[index % domains.length],
      hosts: () => hosts,
      random,
    });
    return { table, chooser };
  });
}

function exchangeLoads(tables: readonly TargetTable[]): void {
  const sums = new Map<string, { streams: number; tokenLayers: number }>();
  for (const table of tables) {
    for (const { id, ownLoad } of table.all()) {
      const sum = sums.get(id) ?? { streams: 0, tokenLayers: 0 };
      sum.streams += ownLoad.streams;
      sum.tokenLayers += ownLoad.tokenLayers;
      sums.set(id, sum);
    }
  }
  for (const table of tables) {
    for (const target of table.all()) {
      const sum = sums.get(target.id);
      if (sum === undefined) continue;
      target.peerLoad = {
        streams: sum.streams - target.ownLoad.streams,
        tokenLayers: sum.tokenLayers - target.ownLoad.tokenLayers,
      };
    }
  }
}
