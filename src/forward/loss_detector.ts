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

/** What the port of a target does with a new connection. */
export type PortState = "refuses" | "accepts" | "silent";

/** Checks of the same target at the same time share one connection. */
export class LossDetector {
  readonly #pending = new Map<string, Promise<PortState>>();

  /**
   * Connects to the target's port. A target that does not answer at all may be
   * cut off.
   */
  checkPort({ targetId, address }: LostTarget): Promise<PortState> {
    let pending = this.#pending.get(targetId);
    if (pending === undefined) {
      pending = connectOnce(parseAddress(address)).finally(() =>
        this.#pending.delete(targetId)
      );
      this.#pending.set(targetId, pending);
    }
    return pending;
  }
}

function connectOnce({ ip, port }: Endpoint): Promise<PortState> {
  return new Promise((resolve) => {
    const socket = connect({ host: ip, port });
    const finish = (state: PortState): void => {
      socket.destroy();
      resolve(state);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish("silent"));
    socket.on("connect", () => finish("accepts"));
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) =>
        finish(error.code === "ECONNREFUSED" ? "refuses" : "silent"),
    );
  });
}
