/**
 * The platform path between stand-ins: two entry hosts, twelve model servers
 * and two plain ones. A stage is stalled in the middle of a stream, which goes
 * on by another path.
 *
 * @module
 */

import { request } from "node:http";
import process from "node:process";
import {
  Deployment,
  HOST_NAME,
  KEY,
  MODEL_SERVICE,
  PLAIN_SERVICE,
} from "../standins/users_platform/deployment.ts";

const EVENT_COUNT = 40;

function call(port: number, path: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: "127.0.0.1",
      port,
      path,
      method: "POST",
      agent: false,
      headers: {
        host: HOST_NAME,
        authorization: `Token ${KEY}`,
        "jackdawshift-attempt-id": `demo-${path}-${Date.now()}`,
        "jackdawshift-deadline-ms": "4000",
        "jackdawshift-token-usage": "100,40",
      },
    }, (answer) => {
      let body = "";
      answer.on("data", (chunk) => body += chunk);
      answer.on("end", () => resolve(`${answer.statusCode}\n${body}`));
    });
    outgoing.on("error", reject);
    outgoing.end("a prompt");
  });
}

const models = [..."abcdefghijkl"].map((name) => ({
  id: `model-${name}`,
  service: MODEL_SERVICE,
  domain: "a",
  kind: "small",
  events: EVENT_COUNT,
  eventGapMs: 15,
}));
const plain = ["desk-1", "desk-2"].map((id) => ({
  id,
  service: PLAIN_SERVICE,
  domain: "a",
}));
const deployment = new Deployment({ servers: [...models, ...plain], hosts: 2 });
await deployment.start();
await deployment.waitUntilPlaced();
const [host] = deployment.hosts;
for (const { id, span } of deployment.servers) {
  if (span !== undefined) {
    console.log(`${id} holds layers ${span.from} to ${span.to}`);
  }
}

console.log(`plain call: ${await call(host.ports.frontend, "/slips/1")}`);
const firstAnswer = await call(host.ports.frontend, "/briefs/1");
const first = deployment.servers.find(({ receivedRequests: seen, span }) =>
  span !== undefined && seen.length > 0
);
const path = String(
  first?.receivedRequests[0].headers["jackdawshift-hop-count"],
);
console.log(
  `stream of ${firstAnswer.match(/^id:/gm)?.length} events on ${path}`,
);
const stages = path.split(",");
if (first !== undefined && stages.length > 1) {
  first.mode = "stall";
  first.stalledStageAddress = stages[1].split("=")[0];
}
const answer = await call(host.ports.frontend, "/briefs/1");
const ids = [...answer.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
const isWhole = ids.length === EVENT_COUNT &&
  ids.every((id, index) => id === index);
const repaths = first?.orders.filter(({ op }) => op === "repath").length ?? 0;
console.log(
  `with ${stages.length > 1 ? "its second stage stalled" : "one stage"}: ` +
    `${ids.length} events, ${
      isWhole ? "whole" : "broken"
    }, path changed ${repaths} times`,
);
deployment.close();
process.exit(isWhole ? 0 : 1);
