/**
 * The hardware bound of one pipeline and the weights with which chains reach
 * it. Targets compute at the rate of their accelerator; links between failure
 * domains carry a limited number of tokens a second at each boundary.
 *
 * @module
 */

import type { LinkConfig } from "../config/schema.ts";
import type { SpanEdge } from "./chain_graph.ts";
import { balancedFlow, type FlowEdge } from "./flow.ts";

/** Stands for an unlimited capacity, in tokens a second. */
const UNLIMITED_TOKENS_PER_S = 1e12;

/** The best flow through a pipeline's spans. */
export interface ChainFlow {
  /** Tokens a second that the hardware allows. */
  readonly boundTokensPerS: number;
  /** Tokens a second through each target. */
  readonly targetTokensPerS: ReadonlyMap<string, number>;
  /** Tokens a second through all targets of a domain from a boundary on. */
  domainTokensPerS(boundary: number, domain: string): number;
  /** Tokens a second from one failure domain to another at a boundary. */
  linkTokensPerS(boundary: number, from: string, to: string): number;
  /**
   * Streams that a link carries at the slowest rate that callers are to see,
   * or undefined when the link is unlimited.
   */
  linkStreams(from: string, to: string): number | undefined;
}

/** Computes the flow over `edges`, which all lie on whole chains. */
export function chainFlow(
  edges: readonly SpanEdge[],
  options: {
    readonly layerCount: number;
    readonly links: readonly LinkConfig[];
    /** Time between tokens of a stream at the slowest rate. */
    readonly maxGapMs: number;
  },
): ChainFlow {
  const builder = new GraphBuilder(options.links);
  const targetEdges = edges.map((edge) => builder.addTarget(edge));
  builder.addLinks(options.layerCount);
  const { value, flows } = balancedFlow(builder);
  const targetTokensPerS = new Map(
    edges.map((edge, index) => [edge.target, flows[targetEdges[index]]]),
  );
  const domains = new Map<string, number>();
  for (const { target, first, failureDomain } of edges) {
    const key = `${first}/${failureDomain}`;
    const tokensPerS = targetTokensPerS.get(target) ?? 0;
    domains.set(key, (domains.get(key) ?? 0) + tokensPerS);
  }
  return {
    boundTokensPerS: value,
    targetTokensPerS,
    domainTokensPerS: (boundary, domain) =>
      domains.get(`${boundary}/${domain}`) ?? 0,
    linkStreams: (from, to) => {
      const tokensPerS = builder.linkTokensPerS.get(`${from}/${to}`);
      if (tokensPerS === undefined) return undefined;
      return tokensPerS * options.maxGapMs / 1_000;
    },
    linkTokensPerS: (boundary, from, to) => {
      const index = builder.linkEdges.get(linkKey(boundary, from, to));
      return index === undefined ? 0 : flows[index];
    },
  };
}

function linkKey(boundary: number, from: string, to: string): string {
  return `${boundary}/${from}/${to}`;
}

interface BoundaryNode {
  readonly boundary: number;
  readonly domain: string;
  readonly node: number;
}

class GraphBuilder {
  /** Nodes 0 and 1 are the source and the sink. */
  nodeCount = 2;
  readonly edges: FlowEdge[] = [];
  readonly linkEdges = new Map<string, number>();
  readonly #entries = new Map<string, BoundaryNode>();
  readonly #exits = new Map<string, BoundaryNode>();
  readonly linkTokensPerS: ReadonlyMap<string, number>;

  constructor(links: readonly LinkConfig[]) {
    this.linkTokensPerS = new Map(
      links.map(({ from, to, tokensPerS }) => [`${from}/${to}`, tokensPerS]),
    );
  }

  addTarget(edge: SpanEdge): number {
    const entry = this.#getNode(this.#entries, edge.first, edge.failureDomain);
    const exit = this.#getNode(this.#exits, edge.end, edge.failureDomain);
    return this.#addEdge(entry.node, exit.node, edge.tokensPerS);
  }

  addLinks(layerCount: number): void {
    for (const entry of this.#entries.values()) {
      if (entry.boundary === 0) this.#addEdge(0, entry.node);
    }
    for (const exit of this.#exits.values()) {
      if (exit.boundary === layerCount) this.#addEdge(exit.node, 1);
      for (const entry of this.#entries.values()) {
        if (entry.boundary === exit.boundary) this.#addLink(exit, entry);
      }
    }
  }

  #addLink(exit: BoundaryNode, entry: BoundaryNode): void {
    const capacity = this.linkTokensPerS.get(`${exit.domain}/${entry.domain}`);
    const key = linkKey(exit.boundary, exit.domain, entry.domain);
    this.linkEdges.set(key, this.#addEdge(exit.node, entry.node, capacity));
  }

  #getNode(
    nodes: Map<string, BoundaryNode>,
    boundary: number,
    domain: string,
  ): BoundaryNode {
    const key = `${boundary}/${domain}`;
    let boundaryNode = nodes.get(key);
    if (!boundaryNode) {
      boundaryNode = { boundary, domain, node: this.nodeCount++ };
      nodes.set(key, boundaryNode);
    }
    return boundaryNode;
  }

  #addEdge(from: number, to: number, capacity?: number): number {
    this.edges.push({
      from,
      to,
      capacity: capacity ?? UNLIMITED_TOKENS_PER_S,
      isBalanced: capacity !== undefined,
    });
    return this.edges.length - 1;
  }
}
