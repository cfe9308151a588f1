/**
 * Faults that a stand-in can be told to show, through `POST /control`.
 *
 * @module
 */

import type { Socket } from "node:net";

/** A fault as posted to `/control`. */
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
  /** For `delay`: how long each answer waits. */
  readonly delayMs?: number;
  /** For `lose-answers`: how many answers are lost after the act. */
  readonly count?: number;
  /** For `cut`: cuts the next stream after so many tokens instead of at once. */
  readonly afterTokens?: number;
}

export interface FaultsOptions {
  /** Ends the process at once. */
  readonly exit?: () => void;
}

/** The faults in force in one stand-in. */
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

  /** Resolves at once, or when the stand-in thaws. */
  untilThawed(): Promise<void> | undefined {
    return this.#thawed;
  }

  /** Dies at once. */
  die(): void {
    this.#exit();
  }

  /** True when the answer at hand is to be lost. */
  consumeLostAnswer(): boolean {
    if (this.#lostAnswers === 0) return false;
    this.#lostAnswers--;
    return true;
  }

  /** Tokens after which the stream that starts now is cut, if it is. */
  nextCutAfterTokens(): number | undefined {
    return this.#cutsAfterTokens.shift();
  }

  /** Applies one order; `except` is the connection that brought it. */
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
        throw new Error(`unknown action ${JSON.stringify(order.action)}`);
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
