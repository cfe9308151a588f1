/**
 * Bindings of the services that carry requests.
 *
 * @module
 */

import { bindDisposable } from "./bind_disposable.ts";
import { Container } from "inversify";
import { type Clock } from "../../common/clock.ts";
import { IConfigService } from "../../config/services.ts";
import {
  IDissemination,
  IMembership,
  IPeerTransport,
} from "../../fleet/services.ts";
import { IChainPicker, ITargetDirectory } from "../../pipelines/services.ts";
import {
  IEngineClient,
  ILogClient,
  IServiceClient,
} from "../../clients/services.ts";
import { CallService } from "../../requests/call_service.ts";
import { ClaimService } from "../../requests/claim_service.ts";
import { CompletionService } from "../../requests/completion_service.ts";
import { QuarantineService } from "../../requests/quarantine_service.ts";
import { RequestJournal } from "../../requests/request_journal.ts";
import {
  ICallService,
  IClaimService,
  ICompletionService,
  IQuarantineService,
  IRequestJournal,
} from "../../requests/services.ts";

/** Binds the services of requests. */
export function bindRequests(container: Container, clock: Clock): void {
  container.bind(IRequestJournal).toDynamicValue(() =>
    new RequestJournal({ clock })
  );
  bindDisposable(container, QuarantineService, (context) => {
    return new QuarantineService({
      membership: context.get(IMembership),
      transport: context.get(IPeerTransport),
      dissemination: context.get(IDissemination),
      clock,
    });
  });
  container.bind(IQuarantineService).toService(QuarantineService);
  bindDisposable(container, ClaimService, (context) => {
    return new ClaimService({
      log: context.get(ILogClient),
      membership: context.get(IMembership),
      transport: context.get(IPeerTransport),
      clock,
    });
  });
  container.bind(IClaimService).toService(ClaimService);
  container.bind(ICompletionService).toDynamicValue((context) => {
    return new CompletionService({
      config: context.get(IConfigService),
      picker: context.get(IChainPicker),
      engines: context.get(IEngineClient),
      journal: context.get(IRequestJournal),
      quarantine: context.get(IQuarantineService),
      clock,
    });
  });
  container.bind(ICallService).toDynamicValue((context) => {
    return new CallService({
      config: context.get(IConfigService),
      directory: context.get(ITargetDirectory),
      services: context.get(IServiceClient),
      claims: context.get(IClaimService),
      journal: context.get(IRequestJournal),
      clock,
    });
  });
}
