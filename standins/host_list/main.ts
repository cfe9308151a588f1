/**
 * Program of the stand-in for the platform's list of hosts and targets.
 *
 * @module
 */

import { Faults } from "../common/faults.ts";
import { announce, numberFlag, readFlags } from "../common/program.ts";
import { HostList } from "./host_list.ts";

const flags = readFlags({ "port": "0", "lag-ms": "0" });

const list = new HostList({
  faults: new Faults(),
  lagMs: numberFlag("lag-ms", flags["lag-ms"]),
});
announce(await list.server.listen(numberFlag("port", flags.port)));
