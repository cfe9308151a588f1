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

/** A host as listed by the membership. A restarted host has a new name. */
export interface Member {
  readonly name: string;
  readonly url: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly state: "alive" | "suspect" | "leaving";
}

/**
 * Hosts of the fleet. Eventually consistent; correctness must not depend on it.
 */
export interface IMembership {
  readonly self: Member;
  /** Members that may be sent work, this host included. */
  members(): readonly Member[];
  readonly onChange: Event<readonly Member[]>;
  /** Notifies the other members that this host leaves. */
  leave(): Promise<void>;
}
export const IMembership: ServiceIdentifier<IMembership> = Symbol.for(
  "Membership",
);

/** Polls the platform's list once for all services on this host. */
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

/** Calls between hosts: JSON-RPC with a deadline for each call. */
export interface IPeerTransport {
  /** Calls a method of the host at `url`; `not-run` if nothing was sent. */
  call(
    url: string,
    request: { readonly method: string; readonly parameters: unknown },
    options: { readonly deadlineMs: number },
  ): Promise<Outcome<unknown>>;
  /**
   * Registers the handler of a method. Throws if the method already has one.
   */
  handle(method: string, handler: PeerMethod): Disposable;
}
export const IPeerTransport: ServiceIdentifier<IPeerTransport> = Symbol.for(
  "PeerTransport",
);

/** Broadcasts small facts to every host within about a second. */
export interface IDissemination {
  /**
   * Broadcasts a fact; a later fact with the same topic and key replaces it.
   */
  publish(fact: Fact): void;
  /** Fires for facts received from peers, once for each newer value. */
  readonly onFact: Event<Fact>;
}
export const IDissemination: ServiceIdentifier<IDissemination> = Symbol.for(
  "Dissemination",
);

/**
 * A small value. Of two with the same topic and key, the higher sequence wins.
 */
export interface Fact {
  readonly topic: "config" | "leaving" | "strike" | "member" | "target";
  readonly key: string;
  readonly sequence: number;
  readonly data: unknown;
  readonly expiresAtWallMs: number;
}

/**
 * Capacity held by one admitted request; disposing it releases the capacity.
 */
export type Admission = Disposable;

/** Fleet-wide limits of customers. */
export interface ILimitService {
  /** Admits or rejects immediately; a rejection has the time to retry at. */
  admit(customer: string): Outcome<Admission>;
  /**
   * Like `admit`, but if the share of this host is used up and the limit is not
   * known to be scarce, waits briefly for a larger share from the limit owner.
   */
  admitOrWait(
    customer: string,
    options: { readonly deadlineMs: number },
  ): Promise<Outcome<Admission>>;
}
export const ILimitService: ServiceIdentifier<ILimitService> = Symbol.for(
  "LimitService",
);
