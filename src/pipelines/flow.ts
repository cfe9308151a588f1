/**
 * Maximum flow through a capacitated graph (Dinic's algorithm), and the
 * maximum flow that also spreads its load: among all flows of the greatest
 * value it lowers the highest utilization first, then the next highest.
 *
 * @module
 */

/** A directed edge; capacities and flows are in tokens a second. */
export interface FlowEdge {
  readonly from: number;
  readonly to: number;
  readonly capacity: number;
  /** False for an edge whose utilization need not be lowered. */
  readonly isBalanced: boolean;
}

/** Flow through each edge, in the order of the edges given. */
export interface FlowResult {
  readonly value: number;
  readonly flows: readonly number[];
}

/** A graph with node 0 as the source and node 1 as the sink. */
export interface FlowGraph {
  readonly nodeCount: number;
  readonly edges: readonly FlowEdge[];
}

const SOURCE = 0;
const SINK = 1;
/** Flow below this share of the value counts as none. */
const FLOW_EPSILON = 1e-9;
const MAX_BALANCE_ROUNDS = 8;
const BISECTION_STEPS = 12;
/** Share of the value that a balanced flow may lose to rounding. */
const BALANCE_TOLERANCE = 1e-4;

/** Finds a maximum flow. */
export function maxFlow(
  graph: FlowGraph,
  capacities = graph.edges.map((edge) => edge.capacity),
): FlowResult {
  const network = new ResidualNetwork(graph, capacities);
  const value = network.augmentAll();
  return { value, flows: network.flows() };
}

/**
 * Finds a maximum flow of even utilization. Each round bisects for the lowest
 * utilization at which the balanced edges still carry the whole value, fixes
 * the edges of the minimum cut there, and goes on with the others.
 */
export function balancedFlow(graph: FlowGraph): FlowResult {
  const { value } = maxFlow(graph);
  if (value <= 0) return { value: 0, flows: graph.edges.map(() => 0) };
  const capacities = graph.edges.map((edge) => edge.capacity);
  const isAdjustable = graph.edges.map((edge) => edge.isBalanced);
  const requiredValue = value * (1 - BALANCE_TOLERANCE);
  for (let round = 0; round < MAX_BALANCE_ROUNDS; round++) {
    if (!isAdjustable.includes(true)) break;
    const tight = lowerUtilization(graph, {
      capacities,
      isAdjustable: isAdjustable,
      requiredValue: requiredValue,
    });
    if (tight.length === 0) break;
    for (const index of tight) isAdjustable[index] = false;
  }
  return { value, flows: maxFlow(graph, capacities).flows };
}

interface BalanceState {
  /** Capacities allowed so far; lowered in place. */
  readonly capacities: number[];
  readonly isAdjustable: readonly boolean[];
  readonly requiredValue: number;
}

function lowerUtilization(graph: FlowGraph, state: BalanceState): number[] {
  const { capacities, isAdjustable: isOpen, requiredValue: wanted } = state;
  let low = 0;
  let high = 1;
  let tight: number[] = [];
  for (let step = 0; step < BISECTION_STEPS; step++) {
    const middle = (low + high) / 2;
    const network = new ResidualNetwork(graph, scaled(middle));
    if (network.augmentAll() >= wanted) {
      high = middle;
    } else {
      low = middle;
      tight = network.cutEdges().filter((index) => isOpen[index]);
    }
  }
  const lowered = scaled(high);
  lowered.forEach((capacity, index) => capacities[index] = capacity);
  return tight;

  function scaled(utilization: number): number[] {
    return capacities.map((capacity, index) =>
      isOpen[index]
        ? Math.min(capacity, graph.edges[index].capacity * utilization)
        : capacity
    );
  }
}

/** Residual capacities; arc 2i is edge i and arc 2i + 1 its reverse. */
class ResidualNetwork {
  readonly #graph: FlowGraph;
  readonly #heads: number[] = [];
  readonly #residual: number[] = [];
  readonly #arcsOf: number[][];
  #level: number[] = [];
  #nextArc: number[] = [];

  constructor(graph: FlowGraph, capacities: readonly number[]) {
    this.#graph = graph;
    this.#arcsOf = Array.from({ length: graph.nodeCount }, () => []);
    graph.edges.forEach((edge, index) => {
      this.#arcsOf[edge.from].push(2 * index);
      this.#arcsOf[edge.to].push(2 * index + 1);
      this.#heads.push(edge.to, edge.from);
      this.#residual.push(capacities[index], 0);
    });
  }

  augmentAll(): number {
    let value = 0;
    while (this.#assignLevels()) {
      this.#nextArc = this.#arcsOf.map(() => 0);
      for (;;) {
        const pushed = this.#push(SOURCE, Infinity);
        if (pushed <= FLOW_EPSILON) break;
        value += pushed;
      }
    }
    return value;
  }

  flows(): number[] {
    return this.#graph.edges.map((_, index) => this.#residual[2 * index + 1]);
  }

  /** Edges from the part that the source still reaches to the rest. */
  cutEdges(): number[] {
    this.#assignLevels();
    const isReached = this.#level.map((level) => level >= 0);
    const cut: number[] = [];
    this.#graph.edges.forEach(({ from, to }, index) => {
      if (isReached[from] && !isReached[to]) cut.push(index);
    });
    return cut;
  }

  #assignLevels(): boolean {
    this.#level = this.#arcsOf.map(() => -1);
    this.#level[SOURCE] = 0;
    const queue = [SOURCE];
    for (const node of queue) {
      for (const arc of this.#arcsOf[node]) {
        const head = this.#heads[arc];
        if (this.#residual[arc] <= FLOW_EPSILON) continue;
        if (this.#level[head] >= 0) continue;
        this.#level[head] = this.#level[node] + 1;
        queue.push(head);
      }
    }
    return this.#level[SINK] >= 0;
  }

  #push(node: number, limit: number): number {
    if (node === SINK) return limit;
    const arcs = this.#arcsOf[node];
    for (; this.#nextArc[node] < arcs.length; this.#nextArc[node]++) {
      const arc = arcs[this.#nextArc[node]];
      const head = this.#heads[arc];
      if (this.#level[head] !== this.#level[node] + 1) continue;
      if (this.#residual[arc] <= FLOW_EPSILON) continue;
      const pushed = this.#push(head, Math.min(limit, this.#residual[arc]));
      if (pushed <= FLOW_EPSILON) continue;
      this.#residual[arc] -= pushed;
      this.#residual[arc ^ 1] += pushed;
      return pushed;
    }
    return 0;
  }
}
