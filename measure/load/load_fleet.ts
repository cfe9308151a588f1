/**
 * Sets up the local fleet that the load tool sends requests to.
 *
 * @module
 */

import got from "got";
import type { ConfigDocument } from "../../src/config/schema.ts";
import {
  type CallerKey,
  documentFor,
  type LocalFleet,
  urlOf,
} from "../../test/local_fleet.ts";

const SPANS = [[0, 8], [8, 16], [16, 24]] as const;
const REPLICAS = ["a", "b"];
const SERVICE = "mostrador-1";

/** Starts two engines per span, one service, and the hosts. */
export async function startLoadFleet(
  fleet: LocalFleet,
  options: { readonly hostCount: number; readonly tokenMs: number },
): Promise<void> {
  await fleet.startPlatform();
  const engines = SPANS.flatMap(([first, end]) =>
    REPLICAS.map((replica) => ({
      name: engineName(first, replica),
      first,
      end,
    }))
  );
  await Promise.all(engines.map((spec) => {
    return fleet.startEngine({ ...spec, tokenMs: options.tokenMs });
  }));
  await fleet.startService(SERVICE);
  for (let index = 0; index < options.hostCount; index++) {
    await fleet.startHost();
  }
}

export function loadDocument(
  fleet: LocalFleet,
  callers: readonly CallerKey[],
): ConfigDocument {
  return documentFor(fleet, {
    pipeline: "escriba",
    layerCount: 24,
    stages: SPANS.map(([first, end]) => ({
      first,
      end,
      targets: REPLICAS.map((replica) => engineName(first, replica)),
    })),
    service: "mostrador",
    callers,
  });
}

/** Reads from the service how often it executed each idempotency key. */
export async function readExecutions(
  fleet: LocalFleet,
): Promise<ReadonlyMap<string, number>> {
  const url = `${urlOf(fleet.services.get(SERVICE))}/control/executions`;
  const answer = await got.get(url).json<
    { executions: Record<string, number> }
  >();
  return new Map(Object.entries(answer.executions));
}

function engineName(first: number, replica: string): string {
  return `etapa-${first}${replica}`;
}
