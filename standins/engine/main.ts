/**
 * Program of the stand-in for a model engine.
 *
 * @module
 */

import { Faults } from "../common/faults.ts";
import { announce, numberFlag, readFlags } from "../common/program.ts";
import { Engine } from "./engine.ts";
import { weightLoader } from "./weight_loader.ts";

const flags = readFlags({
  "port": "0",
  "target": "engine",
  "model": "model",
  "version": "v1",
  "first": "0",
  "end": "1",
  "adapters": "",
  "role": "both",
  "checks-fence": "false",
  "token-ms": "0",
  "prefill-ms-per-token": "0",
  "max-batch": "64",
  "max-attempts": "4096",
  "grace-ms": "2000",
  "load-lag-ms": "500",
  "crash-marker": "",
  "cache-tokens": "65536",
  "cache-event-delay-ms": "500",
  "cache-event-loss": "0.1",
  "seed": "1",
  "weight-store": "",
  "layer-bytes": "100000000",
});

const engine = new Engine({
  target: flags.target,
  loaded: {
    model: flags.model,
    version: flags.version,
    first: numberFlag("first", flags.first),
    end: numberFlag("end", flags.end, 1),
    adapters: flags.adapters.split(",").filter(Boolean),
    role: readRole(flags.role),
  },
  faults: new Faults(),
  checksFence: flags["checks-fence"] === "true",
  tokenMs: numberFlag("token-ms", flags["token-ms"]),
  prefillMsPerToken: numberFlag(
    "prefill-ms-per-token",
    flags["prefill-ms-per-token"],
  ),
  maxBatch: numberFlag("max-batch", flags["max-batch"], 1),
  maxAttempts: numberFlag("max-attempts", flags["max-attempts"], 1),
  graceMs: numberFlag("grace-ms", flags["grace-ms"]),
  loadLagMs: numberFlag("load-lag-ms", flags["load-lag-ms"]),
  crashMarker: flags["crash-marker"],
  cacheTokens: numberFlag("cache-tokens", flags["cache-tokens"]),
  cacheEventDelayMs: numberFlag(
    "cache-event-delay-ms",
    flags["cache-event-delay-ms"],
  ),
  cacheEventLoss: numberFlag("cache-event-loss", flags["cache-event-loss"]),
  seed: numberFlag("seed", flags.seed),
  load: weightLoader({
    storeUrl: flags["weight-store"],
    layerBytes: numberFlag("layer-bytes", flags["layer-bytes"]),
  }),
});
announce(await engine.server.listen(numberFlag("port", flags.port)));

function readRole(text: string): "both" | "prefill" | "decode" {
  if (text === "both" || text === "prefill" || text === "decode") return text;
  console.error(
    `--role: "${text}" is invalid; expected both, prefill or decode`,
  );
  process.exit(2);
}
