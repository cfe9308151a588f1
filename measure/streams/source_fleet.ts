/**
 * Sets up a fleet whose engines are token sources that send prepared tokens.
 *
 * @module
 */

import type { ConfigDocument } from "../../src/config/schema.ts";
import {
  DEMO_MODEL,
  DEMO_VERSION,
  digest,
  type LocalFleet,
  urlOf,
} from "../../test/local_fleet.ts";
import type { RunningProgram } from "../../test/processes.ts";

const LAYER_COUNT = 8;
const UNLIMITED = 100_000;

/** Starts token sources that each hold all layers of the model. */
export function startTokenSources(
  fleet: LocalFleet,
  options: { readonly count: number; readonly gapMs: number },
): Promise<RunningProgram[]> {
  return Promise.all(
    Array.from({ length: options.count }, async (_unused, index) => {
      const name = `source-${index}`;
      const program = await fleet.programs.start({
        name,
        program: "standins/token_source/main.js",
        flags: [
          `--target=${name}`,
          `--model=${DEMO_MODEL}`,
          `--version=${DEMO_VERSION}`,
          `--layers=${LAYER_COUNT}`,
          `--gap-ms=${options.gapMs}`,
        ],
      });
      fleet.engines.set(name, program);
      return program;
    }),
  );
}

/** A configuration with one customer whose limits are never reached. */
export function sourceDocument(
  fleet: LocalFleet,
  options: { readonly key: string },
): ConfigDocument {
  const targets = [...fleet.engines].map(([name, program]) => [name, {
    kind: "engine",
    url: urlOf(program),
    failureDomain: "nave-leon",
    layerTokensPerS: 1_000_000,
  }]);
  return {
    customers: {
      measure: {
        keyDigests: [digest(options.key)],
        requestsPerS: UNLIMITED,
        concurrentRequests: UNLIMITED,
      },
    },
    pipelines: {
      escriba: {
        model: DEMO_MODEL,
        version: DEMO_VERSION,
        layerCount: LAYER_COUNT,
        customers: ["measure"],
        stages: [{
          first: 0,
          end: LAYER_COUNT,
          targets: [...fleet.engines.keys()],
        }],
      },
    },
    targets: Object.fromEntries(targets),
  };
}
