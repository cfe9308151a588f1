/**
 * Datagram exchange between router hosts: liveness, the load that each host
 * puts on targets, and unresponsive targets. Each datagram carries the full
 * state, so a lost one is replaced by the next; a lost query times out.
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

/** A host from which no state arrived for this long counts as down. */
const PEER_TIMEOUT_MS = 1_500;
/** A host from which no state arrived for this long is removed. */
const PEER_RETENTION_MS = 60_000;

/** Another host with its last received state. */
export interface Peer {
  readonly host: HostRecord;
  readonly state: PeerState | undefined;
  readonly lastReceivedMs: number;
}

/** A query from another host; `reply` must be called at most once. */
export interface IncomingLogQuery {
  readonly query: LogQuery;
  readonly reply: (answer: LogAnswer) => void;
}

export interface PeerLinkOptions {
  readonly host: HostRecord;
  readonly clock: Clock;
  readonly log: ILog;
}

/** Broadcasts this host's state and keeps the last state of each other host. */
export class PeerLink {
  readonly #options: PeerLinkOptions;
  readonly #peers = new Map<string, Peer>();
  readonly #onState = new Emitter<Peer>();
  readonly #onQuery = new Emitter<IncomingLogQuery>();
  readonly #pending = new Map<number, (answer: LogAnswer) => void>();
  #lastQueryId = 0;
  #socket: Socket | undefined;
  #host: HostRecord;

  /** Fires for each received state that is newer than the last one of its host. */
  readonly onState: Event<Peer> = this.#onState.event;

  /** Fires for each received query about a log. */
  readonly onQuery: Event<IncomingLogQuery> = this.#onQuery.event;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.#host = options.host;
  }

  /** This host, with the port to which its socket is bound. */
  get host(): HostRecord {
    return this.#host;
  }

  /** Binds the socket; rejects if the address is in use. */
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
          (error) => log.warn("peer socket error", { reason: String(error) }),
        );
        resolve();
      });
    });
  }

  /**
   * Adds hosts from the registry. A known host is replaced only by a later
   * start of its process.
   */
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

  /** Hosts from which a state arrived within the timeout. */
  live(): Peer[] {
    const sinceMs = this.#options.clock.nowMs() - PEER_TIMEOUT_MS;
    return [...this.#peers.values()].filter((peer) =>
      peer.state !== undefined && peer.lastReceivedMs >= sinceMs
    );
  }

  /** Number of known hosts, live or not. */
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

  /**
   * Resolves to undefined if the host cannot answer the query or does not
   * answer within `timeoutMs`.
   */
  async queryLog(
    host: HostRecord,
    query: Omit<LogQuery, "id">,
    timeoutMs: number,
  ): Promise<LogAnswerRead | undefined> {
    const id = ++this.#lastQueryId;
    const timer = new AbortController();
    const answered = new Promise<LogAnswerRead | undefined>((resolve) => {
      this.#pending.set(id, ({ read }) => resolve(read));
      void this.#options.clock.sleep(timeoutMs, timer.signal)
        .then(() => resolve(undefined));
    });
    this.#sendTo(host, encodeLogQuery({ ...query, id }));
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
        this.#options.log.debug("failed to send datagram to peer", {
          reason: String(error),
        });
      }
    });
  }

  #receive(message: Buffer, sender: RemoteInfo): void {
    const datagram = decodeDatagram(message);
    switch (datagram?.kind) {
      case "state":
        this.#handleState(datagram.received);
        break;
      case "query":
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
        this.#options.log.warn("malformed peer datagram discarded", {
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
      this.#options.log.info("peer discovered", {
        peer: host.id,
        ip: host.ip,
        bornMs: host.bornMs,
      });
    }
    this.#onState.fire(peer);
  }
}
