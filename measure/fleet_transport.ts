/**
 * Measures the cost of one call between hosts on loopback: bytes on the
 * connection and CPU time of both sides, over a reused and over a new connection.
 * Run: node dist/measure/fleet_transport.js
 *
 * @module
 */

import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { PeerTransport } from "../src/fleet/peer_transport.ts";

const CALL_COUNT = 3_000;
const WARM_UP_COUNT = 1_000;
const PARAMETER_BYTES = [0, 256, 1_024, 4_096];
const SECRET = "a-secret-of-thirty-two-bytes-0000";

interface Cost {
  readonly overheadBytes: number;
  readonly cpuMs: number;
}

export async function run(): Promise<void> {
  console.log("Cost of one call on loopback, sum of both sides\n");
  console.log(
    "| parameters, bytes | connection | bytes besides parameters and result | processor ms |",
  );
  console.log("| --- | --- | --- | --- |");
  for (const sizeBytes of PARAMETER_BYTES) {
    for (const connection of ["kept", "new"] as const) {
      const cost = await measure(sizeBytes, connection);
      console.log(
        `| ${sizeBytes} | ${connection} | ${cost.overheadBytes.toFixed(0)} | ${
          cost.cpuMs.toFixed(3)
        } |`,
      );
    }
  }
}

async function measure(
  sizeBytes: number,
  connection: "kept" | "new",
): Promise<Cost> {
  const callee = new PeerTransport({ selfName: "host-far", secret: SECRET });
  callee.handle("work", () => "ok");
  const sockets: Socket[] = [];
  const server = createServer(async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const from = String(request.headers["x-jackdawshift-host"]);
    if (connection === "new") response.setHeader("connection", "close");
    response.end(JSON.stringify(await callee.receive(body, from)));
  });
  server.on("connection", (socket) => sockets.push(socket));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const caller = new PeerTransport({ selfName: "host-near", secret: SECRET });
  await callMany(caller, { url, sizeBytes, count: WARM_UP_COUNT });
  const bytesBefore = totalBytes(sockets);
  const before = process.cpuUsage();
  await callMany(caller, { url, sizeBytes, count: CALL_COUNT });
  const used = process.cpuUsage(before);
  const bytes = (totalBytes(sockets) - bytesBefore) / CALL_COUNT;
  server.closeAllConnections();
  server.close();
  const bodyBytes = sizeBytes + '""'.length + '"ok"'.length;
  return {
    overheadBytes: bytes - bodyBytes,
    cpuMs: (used.user + used.system) / 1_000 / CALL_COUNT,
  };
}

async function callMany(
  caller: PeerTransport,
  options: { url: string; sizeBytes: number; count: number },
): Promise<void> {
  const parameters = "x".repeat(options.sizeBytes);
  for (let index = 0; index < options.count; index += 1) {
    const deadlineMs = performance.now() + 2_000;
    const request = { method: "work", parameters };
    const outcome = await caller.call(options.url, request, { deadlineMs });
    if (outcome.isErr()) throw new Error(outcome.error.message);
  }
}

function totalBytes(sockets: readonly Socket[]): number {
  return sockets.reduce(
    (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
    0,
  );
}

if (process.argv[1] === import.meta.filename) await run();
