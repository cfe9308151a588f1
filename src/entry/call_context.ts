/**
 * What the calls of a host share, put together from the host's parts.
 *
 * @module
 */

import type { CallContext } from "../forward/context.ts";
import { LossDetector } from "../forward/loss_detector.ts";
import { StageChecker } from "../paths/stage_checker.ts";
import type { HostSettings } from "../ports/types.ts";
import type { ServiceLimits } from "./service_limits.ts";

export interface CallContextOptions extends
  Omit<
    CallContext,
    | "checker"
    | "lossDetector"
    | "domain"
    | "outgoingIp"
    | "budgetOf"
    | "queueOf"
  > {
  readonly settings: Pick<HostSettings, "domain" | "outgoingIp">;
  readonly serviceLimits: ServiceLimits;
}

export function createCallContext(options: CallContextOptions): CallContext {
  const { settings, serviceLimits, ...shared } = options;
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
    domain: settings.domain,
    outgoingIp: settings.outgoingIp,
    budgetOf: (service) => serviceLimits.budgetOf(service),
    queueOf: (service) => serviceLimits.queueOf(service),
  };
}
