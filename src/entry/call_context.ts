/**
 * What the calls of a host share, put together from the host's parts.
 *
 * @module
 */

import type { CallContext } from "../forward/context.ts";
import { DelegateChooser } from "../forward/delegate_chooser.ts";
import { LossDetector } from "../forward/loss_detector.ts";
import { StageChecker } from "../paths/stage_checker.ts";
import type { HostSettings } from "../ports/types.ts";
import type { PeerExchange } from "./peer_exchange.ts";
import type { ServiceLimits } from "./service_limits.ts";

export interface CallContextOptions extends
  Omit<
    CallContext,
    | "checker"
    | "delegates"
    | "lossDetector"
    | "domain"
    | "outgoingIp"
    | "budgetOf"
    | "queueOf"
  > {
  readonly settings: Pick<HostSettings, "domain" | "outgoingIp">;
  readonly serviceLimits: ServiceLimits;
  readonly peers: Pick<PeerExchange, "delegates" | "domainHostCount">;
}

export function createCallContext(options: CallContextOptions): CallContext {
  const { settings, serviceLimits, peers, ...shared } = options;
  const { clock, targets, control, reachability } = shared;
  return {
    ...shared,
    checker: new StageChecker({
      targetTable: targets,
      control,
      clock,
      reachability,
    }),
    lossDetector: new LossDetector({
      clock,
      targets,
      confirmCutOff: (service) => reachability.confirmCutOff(service),
      localAddress: settings.outgoingIp,
      metrics: shared.metrics,
    }),
    delegates: new DelegateChooser({
      domain: settings.domain,
      hosts: (service) => peers.delegates(service),
      domainHostCount: () => peers.domainHostCount,
      random: shared.random,
    }),
    domain: settings.domain,
    outgoingIp: settings.outgoingIp,
    budgetOf: (service) => serviceLimits.budgetOf(service),
    queueOf: (service) => serviceLimits.queueOf(service),
  };
}
