/**
 * Tells a target that ended while it ran a request from a connection that
 * merely broke: the port of an ended process refuses connections.
 *
 * @module
 */

import { connect } from "node:net";
import type { Endpoint } from "../ports/types.ts";
import { parseAddress } from "./address.ts";

/** A connection is accepted or refused within a few milliseconds. */
const CONNECT_TIMEOUT_MS = 50;

/** The part of a path's stage that the detector needs. */
export interface LostTarget {
  readonly targetId: string;
  readonly address: string;
}

/** Checks of the same target at the same time share one connection. */
export class LossDetector {
  readonly #pending = new Map<string, Promise<boolean>>();

  /**
   * Resolves to true if the target's port refuses connections. A target that
   * does not answer at all may be cut off, so it does not count as ended.
   */
  hasEnded({ targetId, address }: LostTarget): Promise<boolean> {
    let pending = this.#pending.get(targetId);
    if (pending === undefined) {
      pending = refusesConnections(parseAddress(address)).finally(() =>
        this.#pending.delete(targetId)
      );
      this.#pending.set(targetId, pending);
    }
    return pending;
  }
}

function refusesConnections({ ip, port }: Endpoint): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: ip, port });
    const finish = (isRefused: boolean): void => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish(false));
    socket.on("connect", () => finish(false));
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED"),
    );
  });
}
