/**
 * Program of the stand-in for the platform's weight store.
 *
 * @module
 */

import { Faults } from "../common/faults.ts";
import { announce, numberFlag, readFlags } from "../common/program.ts";
import { WeightStore } from "./weight_store.ts";

const flags = readFlags({ "port": "0", "bytes-per-s": "1000000000" });

const store = new WeightStore({
  faults: new Faults(),
  bytesPerS: numberFlag("bytes-per-s", flags["bytes-per-s"], 1),
});
announce(await store.server.listen(numberFlag("port", flags.port)));
