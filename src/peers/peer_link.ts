/**
 * What the hosts of the router tell one another, by datagrams: that they run,
 * the load that they put on targets, and the targets that do not answer. A
 * lost datagram is made good by the next one; nothing depends on all arriving.
 *
 * @module
 */

import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { ILog } from "../common/logging.ts";
import type { HostRecord } from "../ports/types.ts";
import { decodeDatagram } from "./datagram.ts";
import {
  encodeLogAnswer,
  encodeLogQuery,
  type LogAnswer,
  type LogAnswerRead,
  type LogQuery,
} from "./log_messages.ts";
import {
  encodePeerState,
  type PeerState,
  type ReceivedState,
} from "./peer_state.ts";

/** A host that was not heard for this long counts as down. */
const PEER_TIMEOUT_MS = 1_500;
/** A host that was not heard for this long is forgotten. */
const PEER_RETENTION_MS = 60_000;

/** Another host, as last heard. */
export interface Peer {
  readonly host: HostRecord;
  readonly state: PeerState | undefined;
  readonly lastReceivedMs: number;
}

/** A question of another host; `reply` is called once. */
export interface IncomingLogQuery {
  readonly query: LogQuery;
  readonly reply: (answer: LogAnswer) => void;
}

/** Options of the link. */
export interface PeerLinkOptions {
  readonly host: HostRecord;
  readonly clock: Clock;
  readonly log: ILog;
}

/** Sends this host's state to the others and keeps theirs. */
export class PeerLink {
  readonly #options: PeerLinkOptions;
  readonly #peers = new Map<string, Peer>();
  readonly #onState = new Emitter<Peer>();
  readonly #onQuery = new Emitter<IncomingLogQuery>();
  readonly #pending = new Map<number, (answer: LogAnswer) => void>();
  #lastQueryId = 0;
  #socket: Socket | undefined;
  #host: HostRecord;

  /** Fires for each state that arrives. */
  readonly onState: Event<Peer> = this.#onState.event;

  /** Fires for each question about a log. */
  readonly onQuery: Event<IncomingLogQuery> = this.#onQuery.event;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.#host = options.host;
  }

  /** This host, with the port that its socket has. */
  get host(): HostRecord {
    return this.#host;
  }

  /** Binds the socket; rejects where the address is taken. */
  open(): Promise<void> {
    const { host, log } = this.#options;
    const socket = createSocket("udp4");
    this.#socket = socket;
    socket.on("message", (message, sender) => this.#receive(message, sender));
    return new Promise((resolve, reject) => {
      socket.once("error", reject);
      socket.bind(host.port, host.ip, () => {
        socket.off("error", reject);
        this.#host = { ...host, port: socket.address().port };
        socket.on(
          "error",
          (error) => log.warn("peer socket failed", { reason: String(error) }),
        );
        resolve();
      });
    });
  }

  /** Takes hosts from the registry; those that were heard stay as they are. */
  addHosts(hosts: readonly HostRecord[]): void {
    const nowMs = this.#options.clock.nowMs();
    for (const host of hosts) {
      const known = this.#peers.get(host.id);
      if (host.id === this.#options.host.id) continue;
      if (known !== undefined && known.host.bornMs >= host.bornMs) continue;
      this.#peers.set(host.id, {
        host,
        state: undefined,
        lastReceivedMs: nowMs - PEER_TIMEOUT_MS,
      });
    }
  }

  /** Hosts that were heard lately. */
  live(): Peer[] {
    const sinceMs = this.#options.clock.nowMs() - PEER_TIMEOUT_MS;
    return [...this.#peers.values()].filter((peer) =>
      peer.state !== undefined && peer.lastReceivedMs >= sinceMs
    );
  }

  /** Hosts that may exist, heard or not. */
  get knownCount(): number {
    return this.#peers.size;
  }

  broadcast(state: PeerState): void {
    const { clock } = this.#options;
    const datagram = encodePeerState(this.#host, state);
    const forgetMs = clock.nowMs() - PEER_RETENTION_MS;
    for (const [id, peer] of this.#peers) {
      if (peer.lastReceivedMs < forgetMs) {
        this.#peers.delete(id);
        continue;
      }
      this.#sendTo(peer.host, datagram);
    }
  }

  /** Undefined where the host can't tell, or no answer came within `timeoutMs`. */
  async queryLog(
    host: HostRecord,
    question: Omit<LogQuery, "id">,
    timeoutMs: number,
  ): Promise<LogAnswerRead | undefined> {
    const id = ++this.#lastQueryId;
    const timer = new AbortController();
    const answered = new Promise<LogAnswerRead | undefined>((resolve) => {
      this.#pending.set(id, ({ read }) => resolve(read));
      void this.#options.clock.sleep(timeoutMs, timer.signal)
        .then(() => resolve(undefined));
    });
    this.#sendTo(host, encodeLogQuery({ ...question, id }));
    try {
      return await answered;
    } finally {
      timer.abort();
      this.#pending.delete(id);
    }
  }

  dispose(): void {
    this.#socket?.close();
    this.#socket = undefined;
  }

  #sendTo(
    { ip, port }: Pick<HostRecord, "ip" | "port">,
    datagram: Buffer,
  ): void {
    this.#socket?.send(datagram, port, ip, (error) => {
      if (error) {
        this.#options.log.debug("peer send failed", { reason: String(error) });
      }
    });
  }

  #receive(message: Buffer, sender: RemoteInfo): void {
    const datagram = decodeDatagram(message);
    switch (datagram?.kind) {
      case "state":
        this.#handleState(datagram.received);
        break;
      case "question":
        this.#onQuery.fire({
          query: datagram.query,
          reply: (answer) =>
            this.#sendTo(
              { ip: sender.address, port: sender.port },
              encodeLogAnswer(answer),
            ),
        });
        break;
      case "answer":
        this.#pending.get(datagram.answer.id)?.(datagram.answer);
        break;
      default:
        this.#options.log.warn("peer datagram unreadable", {
          bytes: message.length,
        });
    }
  }

  #handleState({ host, state }: ReceivedState): void {
    const known = this.#peers.get(host.id);
    if (host.id === this.#options.host.id) return;
    if (known !== undefined && known.host.bornMs > host.bornMs) return;
    if (
      known?.state !== undefined && known.host.bornMs === host.bornMs &&
      known.state.sequenceNumber >= state.sequenceNumber
    ) return;
    const wasLive = known?.state !== undefined;
    const peer: Peer = {
      host,
      state,
      lastReceivedMs: this.#options.clock.nowMs(),
    };
    this.#peers.set(host.id, peer);
    if (!wasLive) {
      this.#options.log.info("peer known", {
        peer: host.id,
        ip: host.ip,
        bornMs: host.bornMs,
      });
    }
    this.#onState.fire(peer);
  }
}
