/**
 * The steps that a walk can take at each boundary of one plan, weighted by the
 * maximum flow. Computed once per plan and shared by all picks.
 *
 * @module
 */

import type { ChainFlow } from "./chain_flow.ts";
import type { SpanEdge } from "./chain_graph.ts";

/** One target that a chain can continue with. */
export interface ChainStep {
  readonly edge: SpanEdge;
  /** Name of the link to the target; undefined for the first stage. */
  readonly link: string | undefined;
  /** Rate of the maximum flow over this step; 0 if it does not use the step. */
  readonly tokensPerS: number;
  /** Rate of the maximum flow over the entire link; 0 for the first stage. */
  readonly linkTokensPerS: number;
  /** Concurrent streams that the link can carry; undefined if it is unlimited. */
  readonly linkStreams: number | undefined;
}

export class ChainSteps {
  readonly #edges: readonly SpanEdge[];
  readonly #flow: ChainFlow;
  readonly #steps = new Map<string, readonly ChainStep[]>();

  constructor(edges: readonly SpanEdge[], flow: ChainFlow) {
    this.#edges = edges;
    this.#flow = flow;
  }

  /** Steps from a boundary. `domain` is the previous stage's; undefined at layer 0. */
  from(boundary: number, domain: string | undefined): readonly ChainStep[] {
    const key = domain === undefined ? `${boundary}` : `${boundary}/${domain}`;
    let steps = this.#steps.get(key);
    if (!steps) {
      steps = this.#edges
        .filter((edge) => edge.first === boundary)
        .map((edge) => this.#step(edge, domain));
      this.#steps.set(key, steps);
    }
    return steps;
  }

  #step(edge: SpanEdge, domain: string | undefined): ChainStep {
    const { target, first, failureDomain } = edge;
    const flow = this.#flow;
    const ownTokensPerS = flow.targetTokensPerS.get(target) ?? 0;
    if (domain === undefined) {
      const noLink = { link: undefined, linkStreams: undefined };
      return { edge, ...noLink, tokensPerS: ownTokensPerS, linkTokensPerS: 0 };
    }
    const linkTokensPerS = flow.linkTokensPerS(first, domain, failureDomain);
    const domainTokensPerS = flow.domainTokensPerS(first, failureDomain);
    return {
      edge,
      link: `${domain}>${failureDomain}`,
      tokensPerS: domainTokensPerS > 0
        ? linkTokensPerS * ownTokensPerS / domainTokensPerS
        : 0,
      linkTokensPerS,
      linkStreams: flow.linkStreams(domain, failureDomain),
    };
  }
}
