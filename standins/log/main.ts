/**
 * Program of the stand-in for the platform's log service.
 *
 * @module
 */

import { Faults } from "../common/faults.ts";
import { announce, numberFlag, readFlags } from "../common/program.ts";
import { LogService } from "./log_service.ts";

const flags = readFlags({
  "port": "0",
  "appends-per-s": "300",
  "max-append-bytes": "1048576",
  "retain-records": "100000",
  "retain-ms": "86400000",
});

const log = new LogService({
  faults: new Faults(),
  appendsPerS: numberFlag("appends-per-s", flags["appends-per-s"], 1),
  maxAppendBytes: numberFlag("max-append-bytes", flags["max-append-bytes"], 1),
  retainRecords: numberFlag("retain-records", flags["retain-records"], 1),
  retainMs: numberFlag("retain-ms", flags["retain-ms"], 1),
});
announce(await log.server.listen(numberFlag("port", flags.port)));
