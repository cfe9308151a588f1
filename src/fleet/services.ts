/**
 * Services shared by the hosts of the fleet.
 *
 * @module
 */

import type { ServiceIdentifier } from "inversify";
import type { Event } from "../common/emitter.ts";
import type { Disposable } from "../common/lifecycle.ts";
import type { Outcome } from "../common/verdict.ts";
import type { ListedHost } from "../clients/types.ts";

/** A host of the system as members know it. A restarted host has a new name. */
export interface Member {
  readonly name: string;
  readonly url: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly state: "alive" | "suspect" | "leaving";
}

/** The hosts that take part. Correctness never depends on it. */
export interface IMembership {
  readonly self: Member;
  /** Members that may be given work, this host included. */
  members(): readonly Member[];
  readonly onChange: Event<readonly Member[]>;
  /** Tells the others that this host leaves. */
  leave(): Promise<void>;
}
export const IMembership: ServiceIdentifier<IMembership> = Symbol.for(
  "Membership",
);

/** Polls the platform's list for everybody on this host who needs it. */
export interface IHostListWatcher {
  /** Fires for each list read, changed or not. */
  readonly onList: Event<readonly ListedHost[]>;
}
export const IHostListWatcher: ServiceIdentifier<IHostListWatcher> = Symbol.for(
  "HostListWatcher",
);

/** Handles one method called by peers. */
export type PeerMethod = (
  parameters: unknown,
  from: string,
) => Promise<unknown> | unknown;

/** Calls between hosts, as JSON-RPC with a deadline on each call. */
export interface IPeerTransport {
  /** Calls a method of the host at `url`. `not-run` when nothing was sent. */
  call(
    url: string,
    request: { readonly method: string; readonly parameters: unknown },
    options: { readonly deadlineMs: number },
  ): Promise<Outcome<unknown>>;
  /** Registers the handler of a method; one handler for each method. */
  handle(method: string, handler: PeerMethod): Disposable;
}
export const IPeerTransport: ServiceIdentifier<IPeerTransport> = Symbol.for(
  "PeerTransport",
);

/** Spreads small facts to every host within about a second. */
export interface IDissemination {
  /** Sends a fact; a later fact of the same topic and key replaces it. */
  publish(fact: Fact): void;
  /** Hears facts from peers, each newer value once. */
  readonly onFact: Event<Fact>;
}
export const IDissemination: ServiceIdentifier<IDissemination> = Symbol.for(
  "Dissemination",
);

/** A small fact. Of two with one topic and key the higher sequence holds. */
export interface Fact {
  readonly topic: "config" | "leaving" | "strike" | "member" | "target";
  readonly key: string;
  readonly sequence: number;
  readonly data: unknown;
  readonly expiresAtWallMs: number;
}

/** Room taken by one admitted request; disposing it gives the room back. */
export type Admission = Disposable;

/** Limits of customers over the whole fleet. */
export interface ILimitService {
  /** Admits or refuses at once; a refusal says when to come back. */
  admit(customer: string): Outcome<Admission>;
  /**
   * As `admit`, but where the share on this host is short and the limit is not
   * known to be used up, waits a moment while the customer's home is asked.
   */
  admitOrWait(
    customer: string,
    options: { readonly deadlineMs: number },
  ): Promise<Outcome<Admission>>;
}
export const ILimitService: ServiceIdentifier<ILimitService> = Symbol.for(
  "LimitService",
);
