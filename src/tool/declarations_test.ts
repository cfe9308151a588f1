import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import { readDeclarations } from "./declarations.ts";

const EXAMPLES = [
  { name: "ferias", engines: 30, services: 3, customers: 10 },
  { name: "atlas-sonore", engines: 30, services: 3, customers: 10 },
  { name: "demo", engines: 4, services: 1, customers: 2 },
];

test.each(EXAMPLES)("examples/$name is valid", async (expected) => {
  const config = (await readDeclarations(`examples/${expected.name}`)).unwrap();
  const kinds = Object.values(config.targets).map((target) => target.kind);
  expect(kinds.filter((kind) => kind === "engine")).toHaveLength(
    expected.engines,
  );
  expect(kinds.filter((kind) => kind === "service")).toHaveLength(
    expected.services,
  );
  expect(Object.keys(config.customers)).toHaveLength(expected.customers);
});

test("a name defined in two files is refused", async () => {
  const directory = await mkdtemp(join(tmpdir(), "declarations-"));
  const customer = { keyDigests: [], requestsPerS: 1, concurrentRequests: 1 };
  for (const file of ["a.json", "b.json"]) {
    const part = JSON.stringify({ customers: { twice: customer } });
    await writeFile(join(directory, file), part);
  }
  const rejected = await readDeclarations(directory);
  await rm(directory, { recursive: true });
  expect(rejected.unwrapErr().faults).toEqual([{
    path: "/customers/twice",
    message: `defined in "a.json" and "b.json"`,
  }]);
});
