/**
 * Datagram exchange between router hosts: the state of each host and the digests
 * of failure domains. Each state is complete, so a lost one is replaced by the
 * next; a lost query times out.
 *
 * @module
 */

import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { ILog } from "../common/logging.ts";
import type { HostRecord } from "../ports/types.ts";
import { decodeDatagram } from "./datagram.ts";
import { type DomainDigest, packDigests } from "./domain_digest.ts";
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
/** A host of which nothing was heard for this long is removed. */
const PEER_RETENTION_MS = 60_000;
/** At most one line in this time tells of malformed datagrams. */
const MALFORMED_LOG_INTERVAL_MS = 1_000;
/** Digests that share a datagram; larger ones go alone. */
const MAX_DATAGRAM_BYTES = 8_000;

/** Another host with its last received state. */
export interface Peer {
  readonly host: HostRecord;
  readonly state: PeerState | undefined;
  /** When that state arrived. */
  readonly lastReceivedMs: number;
  /** When the host was last heard of, also from others. */
  readonly lastKnownMs: number;
}

/** A received state, and the one of the same process before it. */
export interface PeerUpdate {
  readonly peer: Peer;
  readonly previous: PeerState | undefined;
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
  readonly createSocket?: () => Socket;
}

/** Sends to other hosts and keeps the last state of each. */
export class PeerLink {
  readonly #options: PeerLinkOptions;
  readonly #peers = new Map<string, Peer>();
  readonly #onState = new Emitter<PeerUpdate>();
  readonly #onDigest = new Emitter<DomainDigest>();
  readonly #onQuery = new Emitter<IncomingLogQuery>();
  readonly #pending = new Map<number, (answer: LogAnswer) => void>();
  #lastQueryId = 0;
  #malformed = 0;
  #malformedLoggedMs = -Infinity;
  #socket: Socket | undefined;
  #host: HostRecord;

  /** Fires for each received state that is newer than the last one of its host. */
  readonly onState: Event<PeerUpdate> = this.#onState.event;

  /** Fires for each received digest, also for outdated and repeated ones. */
  readonly onDigest: Event<DomainDigest> = this.#onDigest.event;

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

  /** Binds the socket; rejects if the address is in use, and may be retried. */
  open(port = this.#options.host.port): Promise<void> {
    const { host, log } = this.#options;
    const socket = this.#options.createSocket?.() ?? createSocket("udp4");
    socket.on("message", (message, sender) => this.#receive(message, sender));
    return new Promise((resolve, reject) => {
      const onBindError = (error: Error): void => {
        socket.close();
        reject(error);
      };
      socket.once("error", onBindError);
      socket.bind(port, host.ip, () => {
        socket.off("error", onBindError);
        this.#socket = socket;
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
   * Adds hosts from the registry, which also lists hosts that are down. A known
   * host is replaced only by a later start of its process, and not while it is
   * heard.
   */
  addHosts(hosts: readonly HostRecord[]): void {
    const lastKnownMs = this.#options.clock.nowMs();
    for (const host of hosts) {
      const known = this.#peers.get(host.id);
      if (host.id === this.#options.host.id) continue;
      const isReplaced = known === undefined ||
        (known.host.bornMs < host.bornMs && !this.#isHeard(known));
      if (!isReplaced) continue;
      this.#peers.set(host.id, {
        host,
        state: undefined,
        lastReceivedMs: -Infinity,
        lastKnownMs,
      });
    }
  }

  /** Adds hosts that a digest lists as live, or renews what is known of them. */
  addLiveHosts(hosts: readonly HostRecord[]): void {
    this.addHosts(hosts);
    const lastKnownMs = this.#options.clock.nowMs();
    for (const { id, bornMs } of hosts) {
      const known = this.#peers.get(id);
      if (known?.host.bornMs !== bornMs) continue;
      this.#peers.set(id, { ...known, lastKnownMs });
    }
  }

  /** Hosts from which a state arrived within the timeout. */
  live(): Peer[] {
    return [...this.#peers.values()].filter((peer) => this.#isHeard(peer));
  }

  #isHeard({ state, lastReceivedMs }: Peer): boolean {
    return state !== undefined &&
      lastReceivedMs >= this.#options.clock.nowMs() - PEER_TIMEOUT_MS;
  }

  /** Number of known hosts, live or not. */
  get knownCount(): number {
    return this.#peers.size;
  }

  /** Known hosts, live or not. */
  known(): HostRecord[] {
    const forgetMs = this.#options.clock.nowMs() - PEER_RETENTION_MS;
    for (const [id, peer] of this.#peers) {
      if (peer.lastKnownMs < forgetMs) this.#peers.delete(id);
    }
    return [...this.#peers.values()].map(({ host }) => host);
  }

  sendState(state: PeerState, hosts: readonly HostRecord[]): void {
    const datagram = encodePeerState(this.#host, state);
    for (const host of hosts) this.#sendTo(host, datagram);
  }

  sendDigests(
    digests: readonly DomainDigest[],
    hosts: readonly HostRecord[],
  ): void {
    for (const datagram of packDigests(digests, MAX_DATAGRAM_BYTES)) {
      for (const host of hosts) this.#sendTo(host, datagram);
    }
  }

  /**
   * Resolves to undefined if the host cannot answer the query or does not
   * answer within `timeoutMs`, and to "large" if the records are to be fetched.
   */
  async queryLog(
    host: HostRecord,
    query: Omit<LogQuery, "id">,
    timeoutMs: number,
  ): Promise<LogAnswerRead | "large" | undefined> {
    const id = ++this.#lastQueryId;
    const timer = new AbortController();
    const answered = new Promise<LogAnswerRead | "large" | undefined>((
      resolve,
    ) => {
      this.#pending.set(
        id,
        ({ read, isLarge }) => resolve(isLarge === true ? "large" : read),
      );
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
      case "digests":
        for (const digest of datagram.digests) this.#onDigest.fire(digest);
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
        this.#discardMalformed(message, sender);
    }
  }

  #discardMalformed({ length }: Buffer, { address }: RemoteInfo): void {
    const { clock, log } = this.#options;
    const nowMs = clock.nowMs();
    this.#malformed++;
    if (nowMs - this.#malformedLoggedMs < MALFORMED_LOG_INTERVAL_MS) return;
    this.#malformedLoggedMs = nowMs;
    log.warn("malformed peer datagram discarded", {
      bytes: length,
      from: address,
      count: this.#malformed,
    });
  }

  #handleState({ host, state }: ReceivedState): void {
    const known = this.#peers.get(host.id);
    if (host.id === this.#options.host.id) return;
    // The clock of a later process may have gone back before its start.
    const isOutdated = known !== undefined &&
      known.host.bornMs > host.bornMs && this.#isHeard(known);
    if (isOutdated) return;
    if (
      known?.state !== undefined && known.host.bornMs === host.bornMs &&
      known.state.sequenceNumber >= state.sequenceNumber
    ) return;
    const wasLive = known?.state !== undefined;
    const nowMs = this.#options.clock.nowMs();
    const peer: Peer = {
      host,
      state,
      lastReceivedMs: nowMs,
      lastKnownMs: nowMs,
    };
    this.#peers.set(host.id, peer);
    if (!wasLive) {
      this.#options.log.info("peer discovered", {
        peer: host.id,
        ip: host.ip,
        bornMs: host.bornMs,
      });
    }
    const isSameProcess = known?.host.bornMs === host.bornMs;
    this.#onState.fire({
      peer,
      previous: isSameProcess ? known.state : undefined,
    });
  }
}
