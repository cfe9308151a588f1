/**
 * The steps that a walk can take at each boundary of one plan, with the shares
 * of the best flow; worked out once and kept for all picks.
 *
 * @module
 */

import type { ChainFlow } from "./chain_flow.ts";
import type { SpanEdge } from "./chain_graph.ts";

/** One target that a chain may go on to. */
export interface ChainStep {
  readonly edge: SpanEdge;
  /** Name of the link to it; undefined for the first stage. */
  readonly link: string | undefined;
  /** Tokens a second that the best flow sends this way; 0 if it goes elsewhere. */
  readonly tokensPerS: number;
  /** Tokens a second of the best flow over the whole link; 0 for the first stage. */
  readonly linkTokensPerS: number;
  /** Streams that the link has room for; undefined when it is unlimited. */
  readonly linkStreams: number | undefined;
}

/** Steps of one plan. */
export class ChainSteps {
  readonly #edges: readonly SpanEdge[];
  readonly #flow: ChainFlow;
  readonly #steps = new Map<string, readonly ChainStep[]>();

  constructor(edges: readonly SpanEdge[], flow: ChainFlow) {
    this.#edges = edges;
    this.#flow = flow;
  }

  /** Steps from a boundary, coming from a failure domain; none before layer 0. */
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
