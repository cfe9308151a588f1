/**
 * Shows the real programs at work on loopback: a configuration change, a
 * streamed answer, a stage killed while it streams and the answer still
 * whole, a call that runs once, a refusal, and the audit trail.
 *
 * @module
 */

import process from "node:process";
import { expectedAnswer } from "../standins/engine/expected_answer.ts";
import { CallerClient } from "../test/caller_client.ts";
import {
  DEMO_MODEL,
  DEMO_VERSION,
  documentFor,
  LocalFleet,
} from "../test/local_fleet.ts";

const LAYER_COUNT = 24;
const KILL_AFTER_TOKENS = 8;
const ANSWER_TOKENS = 40;
const DEMO_TIMEOUT_MS = 60_000;
const ALLOWED = { customer: "ganaderia-norte", key: "clave-de-prueba-1" };
const UNKNOWN_CALLER = { customer: "nobody", key: "clave-desconocida" };

const fleet = new LocalFleet({
  hostCount: 3,
  engines: [
    { name: "etapa-a", first: 0, end: 8 },
    { name: "etapa-b", first: 8, end: 16 },
    { name: "etapa-c", first: 16, end: 24 },
    { name: "reserva-b", first: 8, end: 16 },
  ],
  services: ["mostrador-1"],
});
const timeout = setTimeout(
  () => failAndExit("the demo took too long"),
  DEMO_TIMEOUT_MS,
);
let failureCount = 0;

try {
  await fleet.start();
  await showConfiguration();
  await showPlainAnswer();
  await showKilledStage();
  await showCall();
  await showRejection();
  await showAuditTrail();
} catch (error) {
  failureCount++;
  console.log(`FAILED  ${(error as Error).stack}`);
} finally {
  await fleet.stop();
  clearTimeout(timeout);
}
console.log(
  failureCount === 0 ? "\nThe demo passed." : `\n${failureCount} steps failed.`,
);
process.exitCode = failureCount === 0 ? 0 : 1;

async function showConfiguration(): Promise<void> {
  const version = await fleet.apply(documentFor(fleet, {
    pipeline: "escriba",
    layerCount: LAYER_COUNT,
    stages: [
      { first: 0, end: 8, targets: ["etapa-a"] },
      { first: 8, end: 16, targets: ["etapa-b"] },
      { first: 16, end: 24, targets: ["etapa-c"] },
    ],
    standbys: ["reserva-b"],
    service: "mostrador",
    callers: [ALLOWED],
  }));
  await fleet.waitForVersion(version);
  report(
    version === 1,
    `configuration ${version} is in force on ${fleet.hosts.length} hosts`,
  );
}

async function showPlainAnswer(): Promise<void> {
  const prompt = "Resumen del pedigrí de la novilla 118";
  const answer = await clientOf(0).complete({
    pipeline: "escriba",
    prompt,
    maxTokens: 12,
  });
  report(
    answer.text === expected(prompt, 12),
    `whole answer: "${answer.text}"${
      answer.code === undefined ? "" : ` ${answer.code}`
    }`,
  );
}

async function showKilledStage(): Promise<void> {
  const prompt = "Informe para los jueces de la clase 7";
  let tokenCount = 0;
  let killed = false;
  const answer = await clientOf(1).stream(
    { pipeline: "escriba", prompt, maxTokens: ANSWER_TOKENS },
    () => {
      tokenCount++;
      if (tokenCount < KILL_AFTER_TOKENS || killed) return;
      killed = true;
      fleet.engines.get("etapa-b")?.kill("SIGKILL");
    },
  );
  const isWhole = killed && answer.ended &&
    answer.text === expected(prompt, ANSWER_TOKENS);
  report(
    isWhole,
    `etapa-b killed after ${KILL_AFTER_TOKENS} tokens, streamed answer still whole`,
  );
}

async function showCall(): Promise<void> {
  const call = {
    service: "mostrador",
    path: "/entries",
    key: "entry-118",
    body: { animal: 118 },
  };
  const first = await clientOf(0).call(call);
  const second = await clientOf(2).call(call);
  report(
    first.status === 200,
    `entry confirmed: ${JSON.stringify(first.body)}`,
  );
  report(
    second.status === 409,
    `the same entry sent to another host is not run again: ${second.status} ` +
      `${(second.body as { code: string }).code}`,
  );
}

async function showRejection(): Promise<void> {
  const client = new CallerClient({
    baseUrl: fleet.hosts[0].callerUrl,
    key: UNKNOWN_CALLER.key,
  });
  const answer = await client.complete({
    pipeline: "escriba",
    prompt: "x",
    maxTokens: 1,
  });
  report(
    answer.status === 401,
    `a caller without access is refused: ${answer.status}`,
  );
}

async function showAuditTrail(): Promise<void> {
  const answer = await fleet.operator().get("operator/audit").json<{
    entries: readonly { version: number; operator: string; result: string }[];
  }>();
  for (const { version, operator, result } of answer.entries) {
    report(
      result === "accepted",
      `audit: version ${version} by ${operator}, ${result}`,
    );
  }
}

function clientOf(index: number): CallerClient {
  return new CallerClient({
    baseUrl: fleet.hosts[index].callerUrl,
    key: ALLOWED.key,
  });
}

function expected(prompt: string, maxTokens: number): string {
  return expectedAnswer({
    model: DEMO_MODEL,
    version: DEMO_VERSION,
    layerCount: LAYER_COUNT,
    prompt,
    maxTokens,
  }).text;
}

function report(passed: boolean, line: string): void {
  if (!passed) failureCount++;
  console.log(`${passed ? "ok    " : "FAILED"}  ${line}`);
}

function failAndExit(reason: string): void {
  console.log(`FAILED  ${reason}`);
  void fleet.stop().then(() => process.exit(1));
}
