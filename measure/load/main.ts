#!/usr/bin/env node
/**
 * The load tool. It starts a local fleet of real processes, sends an open-loop
 * load, checks every answer, and compares the verdicts of service calls with the
 * executions that the service counted.
 *
 * @module
 */

import process from "node:process";
import { Cli, Command, Option } from "clipanion";
import {
  DEMO_MODEL,
  DEMO_VERSION,
  LocalFleet,
} from "../../test/local_fleet.ts";
import { loadDocument, readExecutions, startLoadFleet } from "./load_fleet.ts";
import { LoadRun } from "./load_run.ts";
import { renderReport } from "./report.ts";
import type { LoadCustomer } from "./types.ts";

const LAYER_COUNT = 24;
const LARGE_CUSTOMER_WEIGHT = 10;

class LoadCommand extends Command {
  static override paths = [Command.Default];
  static override usage = Command.Usage({
    description: "Sends an open-loop load to a local fleet of real processes.",
  });

  hosts = Option.String("--hosts", "3", { description: "Number of hosts" });
  customers = Option.String("--customers", "10", {
    description: "Number of customers",
  });
  rate = Option.String("--requests-per-s", "50", {
    description: "Request arrivals per second",
  });
  duration = Option.String("--duration-s", "10", {
    description: "Duration of the load, in seconds",
  });
  tokens = Option.String("--tokens", "32", {
    description: "Tokens per answer",
  });
  tokenMs = Option.String("--token-ms", "2", {
    description: "Time per token at each stage, ms",
  });
  streamShare = Option.String("--stream-share", "0.8", {
    description: "Share of completions that are streamed, 0 to 1",
  });
  callShare = Option.String("--call-share", "0.2", {
    description: "Share of requests that are service calls, 0 to 1",
  });
  seed = Option.String("--seed", "1", {
    description: "Seed of the arrival times and the request mix",
  });

  override async execute(): Promise<number> {
    const customers = createCustomers(Number(this.customers));
    const fleet = new LocalFleet();
    try {
      await startLoadFleet(fleet, {
        hostCount: Number(this.hosts),
        tokenMs: Number(this.tokenMs),
      });
      await fleet.waitForVersion(
        await fleet.apply(loadDocument(fleet, customers)),
      );
      const result = await new LoadRun({
        callerUrls: fleet.hosts.map((host) => host.callerUrl),
        customers,
        pipeline: {
          name: "escriba",
          model: DEMO_MODEL,
          version: DEMO_VERSION,
          layerCount: LAYER_COUNT,
        },
        service: "mostrador",
        requestsPerS: Number(this.rate),
        durationS: Number(this.duration),
        tokensPerAnswer: Number(this.tokens),
        streamShare: Number(this.streamShare),
        callShare: Number(this.callShare),
        seed: Number(this.seed),
      }).run();
      const faults = checkCalls(
        result.callVerdicts,
        await readExecutions(fleet),
      );
      this.context.stdout.write(`seed ${this.seed}\n${renderReport(result)}\n`);
      for (const fault of faults) this.context.stdout.write(`WRONG ${fault}\n`);
      return faults.length + result.wrongCount > 0 ? 1 : 0;
    } finally {
      await fleet.stop();
    }
  }
}

/** Describes calls whose verdict contradicts the service's execution count. */
function checkCalls(
  verdicts: ReadonlyMap<string, string>,
  executions: ReadonlyMap<string, number>,
): string[] {
  const faults: string[] = [];
  for (const [key, verdict] of verdicts) {
    const count = executions.get(key) ?? 0;
    if (count > 1) {
      faults.push(`${key} was executed ${count} times, at most 1 allowed`);
    }
    if (verdict === "not-run" && count > 0) {
      faults.push(`${key} was executed but reported as not-run`);
    }
    if (verdict === "complete" && count === 0) {
      faults.push(`${key} was answered but never executed`);
    }
  }
  return faults;
}

function createCustomers(count: number): LoadCustomer[] {
  return Array.from({ length: count }, (_unused, index) => ({
    customer: `customer-${index}`,
    key: `load-key-${index}`,
    weight: index === 0 ? LARGE_CUSTOMER_WEIGHT : 1,
  }));
}

const cli = new Cli({ binaryName: "npm run load --" });
cli.register(LoadCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
