/**
 * Program of the stand-in for a plain service.
 *
 * @module
 */

import { Faults } from "../common/faults.ts";
import { announce, numberFlag, readFlags } from "../common/program.ts";
import { PlainService } from "./plain_service.ts";

const flags = readFlags({
  "port": "0",
  "work-ms": "0",
  "rejects-repeated-keys": "false",
});

const service = new PlainService({
  faults: new Faults(),
  workMs: numberFlag("work-ms", flags["work-ms"]),
  rejectsRepeatedKeys: flags["rejects-repeated-keys"] === "true",
});
announce(await service.server.listen(numberFlag("port", flags.port)));
