import fc from "fast-check";
import { expect, test } from "vitest";
import { balancedFlow, type FlowGraph, maxFlow } from "./flow.ts";

const SEED = 11;

const graphs: fc.Arbitrary<FlowGraph> = fc
  .array(
    fc.record({
      from: fc.integer({ min: 0, max: 6 }),
      to: fc.integer({ min: 1, max: 6 }),
      capacity: fc.integer({ min: 0, max: 20 }),
      isBalanced: fc.boolean(),
    }),
    { minLength: 1, maxLength: 20 },
  )
  .map((edges) => ({
    nodeCount: 7,
    edges: edges.filter(({ from, to }) => from !== to && to !== 0),
  }));

/** Minimum capacity over all cuts between source and sink. */
function minimumCut({ nodeCount, edges }: FlowGraph): number {
  let least = Infinity;
  for (let side = 0; side < 2 ** nodeCount; side++) {
    const isOnSourceSide = (node: number) => (side >> node & 1) === 1;
    if (!isOnSourceSide(0) || isOnSourceSide(1)) continue;
    const cut = edges.filter(({ from, to }) =>
      isOnSourceSide(from) && !isOnSourceSide(to)
    );
    least = Math.min(least, cut.reduce((sum, edge) => sum + edge.capacity, 0));
  }
  return least;
}

test("flows respect capacities, are conserved, and equal the minimum cut", () => {
  fc.assert(
    fc.property(graphs, (graph) => {
      for (const { value, flows } of [maxFlow(graph), balancedFlow(graph)]) {
        expect(value).toBeCloseTo(minimumCut(graph), 5);
        const balance = Array.from({ length: graph.nodeCount }, () => 0);
        graph.edges.forEach(({ from, to, capacity }, index) => {
          expect(flows[index]).toBeGreaterThanOrEqual(-1e-9);
          expect(flows[index]).toBeLessThanOrEqual(capacity + 1e-9);
          balance[from] -= flows[index];
          balance[to] += flows[index];
        });
        for (const left of balance.slice(2)) expect(left).toBeCloseTo(0, 5);
        expect(balance[1]).toBeGreaterThanOrEqual(value * 0.99 - 1e-6);
      }
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test("a stage that is not the bottleneck is utilized evenly", () => {
  const edge = (from: number, to: number, capacity: number) => ({
    from,
    to,
    capacity,
    isBalanced: true,
  });
  const edges = [
    edge(0, 2, 10),
    edge(0, 2, 10),
    edge(0, 2, 20),
    edge(2, 1, 10),
  ];
  const { value, flows } = balancedFlow({ nodeCount: 3, edges });
  expect(value).toBeCloseTo(10, 3);
  expect(flows.slice(0, 3).map((flow) => Math.round(flow * 10) / 10)).toEqual(
    [2.5, 2.5, 5],
  );
});
