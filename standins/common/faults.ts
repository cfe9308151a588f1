/**
 * Faults that can be injected into a stand-in through `POST /control`.
 *
 * @module
 */

import type { Socket } from "node:net";

/** Body of `POST /control`. */
export interface FaultOrder {
  readonly action:
    | "die"
    | "freeze"
    | "thaw"
    | "delay"
    | "lose-answers"
    | "cut"
    | "down"
    | "up"
    | "leave"
    | "stay";
  /** For `delay`: delay of each answer. */
  readonly delayMs?: number;
  /** For `lose-answers`: how many requests are executed but not answered. */
  readonly count?: number;
  /** For `cut`: tokens before the next stream is cut; absent to cut at once. */
  readonly afterTokens?: number;
}

export interface FaultsOptions {
  /** Ends the process; by default with SIGKILL. */
  readonly exit?: () => void;
}

/** The active faults of one stand-in. */
export class Faults {
  readonly #exit: () => void;
  readonly #sockets = new Set<Socket>();
  #thawed: Promise<void> | undefined;
  #thaw: (() => void) | undefined;
  #lostAnswers = 0;
  #cutsAfterTokens: number[] = [];

  delayMs = 0;
  isDown = false;
  isLeaving = false;

  constructor(options: FaultsOptions = {}) {
    this.#exit = options.exit ?? (() => process.kill(process.pid, "SIGKILL"));
  }

  /** Tracks a connection so that `cut` reaches it. */
  track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once("close", () => this.#sockets.delete(socket));
  }

  /** Returns a promise that resolves on thaw, or undefined if not frozen. */
  untilThawed(): Promise<void> | undefined {
    return this.#thawed;
  }

  die(): void {
    this.#exit();
  }

  /** Returns whether to lose the current answer, and counts it as lost. */
  consumeLostAnswer(): boolean {
    if (this.#lostAnswers === 0) return false;
    this.#lostAnswers--;
    return true;
  }

  /** Token count after which to cut the stream that starts now, if any. */
  nextCutAfterTokens(): number | undefined {
    return this.#cutsAfterTokens.shift();
  }

  /** Applies one order; `cut` spares `except`, the connection that sent the order. */
  apply(order: FaultOrder, except?: Socket): void {
    switch (order.action) {
      case "die":
        return this.die();
      case "freeze":
        return this.#freeze();
      case "thaw":
        return this.#endFreeze();
      case "delay":
        this.delayMs = order.delayMs ?? 0;
        return;
      case "lose-answers":
        this.#lostAnswers = order.count ?? 1;
        return;
      case "cut":
        return this.#cut(order, except);
      case "down":
        this.isDown = true;
        return;
      case "up":
        this.isDown = false;
        return;
      case "leave":
        this.isLeaving = true;
        return;
      case "stay":
        this.isLeaving = false;
        return;
      default:
        throw new Error(`unknown fault action ${JSON.stringify(order.action)}`);
    }
  }

  #freeze(): void {
    if (this.#thawed) return;
    this.#thawed = new Promise((resolve) => this.#thaw = resolve);
  }

  #endFreeze(): void {
    this.#thawed = undefined;
    this.#thaw?.();
  }

  #cut(order: FaultOrder, except?: Socket): void {
    if (order.afterTokens !== undefined) {
      this.#cutsAfterTokens.push(order.afterTokens);
      return;
    }
    for (const socket of this.#sockets) {
      if (socket !== except) socket.destroy();
    }
  }
}
