/**
 * Measures the control overhead of a host without requests: real processes on
 * loopback, at several fleet sizes, with a fixed number of engines.
 *
 * @module
 */

import { systemClock } from "../src/common/clock.ts";
import { LocalFleet } from "../test/local_fleet.ts";
import { describeFit, fitLine, type Point } from "./tables/linear_fit.ts";
import {
  type ProcessUsage,
  readProcessUsage,
} from "./streams/process_usage.ts";
import { sourceDocument, startTokenSources } from "./streams/source_fleet.ts";

const HOST_COUNTS = [3, 9, 18, 36];
const ENGINE_COUNT = 6;
const GAP_MS = 1_000;
const SETTLE_MS = 10_000;
const WINDOW_MS = 20_000;

export async function run(): Promise<void> {
  console.log(
    `${ENGINE_COUNT} engines, window of ${WINDOW_MS / 1_000} s, no requests\n`,
  );
  console.log(
    "| hosts | CPU % of a core a host | sent B/s a host | read B/s a host | MB a host |",
  );
  console.log("| ---: | ---: | ---: | ---: | ---: |");
  const cpu: Point[] = [];
  const bytes: Point[] = [];
  for (const count of HOST_COUNTS) {
    const usage = await measureFleet(count);
    cpu.push({ x: count, y: 100 * usage.cpuS });
    bytes.push({ x: count, y: usage.writtenBytes + usage.readBytes });
    const cells = [
      count,
      (100 * usage.cpuS).toFixed(2),
      usage.writtenBytes.toFixed(0),
      usage.readBytes.toFixed(0),
      (usage.residentBytes / 1e6).toFixed(0),
    ];
    console.log(`| ${cells.join(" | ")} |`);
  }
  console.log();
  console.log(describeFit("CPU % against hosts", fitLine(cpu)));
  console.log(
    describeFit("bytes a second, both ways, against hosts", fitLine(bytes)),
  );
}

/** Mean usage of one host per second of the window. */
async function measureFleet(hostCount: number): Promise<ProcessUsage> {
  const fleet = new LocalFleet();
  try {
    await fleet.startPlatform();
    await startTokenSources(fleet, { count: ENGINE_COUNT, gapMs: GAP_MS });
    await Promise.all(
      Array.from({ length: hostCount }, () => fleet.startHost()),
    );
    await fleet.waitForVersion(0, 60_000);
    await fleet.waitForVersion(
      await fleet.apply(sourceDocument(fleet, { key: "k" })),
      30_000,
    );
    await systemClock.sleep(SETTLE_MS);
    const before = readAll(fleet);
    await systemClock.sleep(WINDOW_MS);
    return meanRate(before, readAll(fleet));
  } finally {
    await fleet.stop();
  }
}

function readAll(fleet: LocalFleet): ProcessUsage[] {
  return fleet.hosts.map((host) => readProcessUsage(host.program.pid));
}

function meanRate(
  before: readonly ProcessUsage[],
  after: readonly ProcessUsage[],
): ProcessUsage {
  const mean = (read: (usage: ProcessUsage) => number) => {
    const total = after.reduce(
      (sum, usage, index) => sum + read(usage) - read(before[index]),
      0,
    );
    return total / after.length / (WINDOW_MS / 1_000);
  };
  return {
    cpuS: mean((usage) => usage.cpuS),
    readBytes: mean((usage) => usage.readBytes),
    writtenBytes: mean((usage) => usage.writtenBytes),
    residentBytes: after.reduce((sum, usage) => sum + usage.residentBytes, 0) /
      after.length,
  };
}
