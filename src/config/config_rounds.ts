/**
 * Rounds: broadcasts from one host down a tree of all hosts. A round carries
 * new records, tells what is accepted and how fresh the sender is, and brings
 * back how many hosts hold what the sender holds.
 *
 * A round that most hosts answer proves two things without the log: the
 * changes that the sender holds are accepted, and no accepted change is
 * missing, since every accepted change is known to most hosts and two
 * majorities share a host. Which host sends rounds matters for cost only.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import type { LogRecord } from "../clients/types.ts";
import type { ConfigHolder } from "./config_holder.ts";
import {
  type CallPeer,
  type HandlePeer,
  PULL_METHOD,
  type PullReply,
  readPullReply,
  readPullRequest,
  readRoundMessage,
  readRoundReply,
  ROUND_METHOD,
  type RoundMessage,
  type RoundReply,
} from "./peer_messages.ts";
import {
  ALL_NAMES,
  type ConfigPeer,
  type NameRange,
  type RangePart,
  sortPeers,
  splitRange,
} from "./peer_tree.ts";
import { RoundSchedule } from "./round_schedule.ts";

const FAN_OUT = 8;
/** A round's first level answers within this time, each lower one sooner. */
const ROUND_TIMEOUT_MS = 1_200;
const LEVEL_TIMEOUT_STEP_MS = 200;
const MIN_LEVEL_TIMEOUT_MS = 200;
/** Hosts tried for one part of the tree when a call never left. */
const MAX_DELEGATE_ATTEMPTS = 3;
const PULL_TIMEOUT_MS = 500;
const INITIAL_PULL_TIMEOUT_MS = 2_000;
const INITIAL_PULL_PEER_COUNT = 2;
/** Longest run of records that travels in a round; more is fetched. */
const MAX_ROUND_RECORDS = 32;
/** Options of the rounds of one host. */
export interface ConfigRoundsOptions {
  readonly holder: ConfigHolder;
  readonly self: ConfigPeer;
  /**
   * All other hosts, those included that do not answer at present; undefined
   * while they are not known. The same array as long as nothing changed.
   */
  readonly peers: () => readonly ConfigPeer[] | undefined;
  readonly callPeer: CallPeer;
  readonly handlePeer: HandlePeer;
  readonly clock?: Clock;
  readonly random?: Random;
}

/** A round's message without what differs between receivers. */
type RoundPayload = Omit<RoundMessage, "to" | "from" | "until">;

/** What a round brought back. */
export interface RoundResult {
  /** Hosts that hold what this host held when the round began, itself included. */
  readonly holding: number;
  readonly hostCount: number;
  /** False while the other hosts are not known, and nothing can be counted. */
  readonly isHostListKnown: boolean;
  /** True when most hosts hold it and none holds more. */
  readonly isConfirmed: boolean;
}

/** Sends, forwards and answers rounds; see the module. */
export class ConfigRounds implements Disposable {
  readonly #holder: ConfigHolder;
  readonly #self: ConfigPeer;
  readonly #peers: () => readonly ConfigPeer[] | undefined;
  readonly #callPeer: CallPeer;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #schedule: RoundSchedule;
  readonly #owned = new DisposableStore();
  #knownPeers: readonly ConfigPeer[] | undefined;
  #sortedPeers: readonly ConfigPeer[] = [];
  #broadcastOffset = 0;

  constructor(options: ConfigRoundsOptions) {
    this.#holder = options.holder;
    this.#self = options.self;
    this.#peers = options.peers;
    this.#callPeer = options.callPeer;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#schedule = new RoundSchedule(options);
    const { handlePeer } = options;
    this.#owned.add(handlePeer(ROUND_METHOD, (value) => this.#receive(value)));
    this.#owned.add(
      handlePeer(PULL_METHOD, (value) => this.#answerPull(value)),
    );
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** When rounds are due, and this host's place for roles. */
  get schedule(): RoundSchedule {
    this.#refreshPeers();
    return this.#schedule;
  }

  /** Sends rounds when they are due, until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.schedule.waitUntilDue(() => this.#holder.asOfMs, signal);
      if (!signal.aborted) await this.runRound();
    }
  }

  /** Takes the state of a few peers, until one is grounded. */
  async pullInitialState(): Promise<void> {
    this.#refreshPeers();
    const deadlineMs = this.#clock.nowMs() + INITIAL_PULL_TIMEOUT_MS;
    const selected = Array.from(
      { length: Math.min(INITIAL_PULL_PEER_COUNT, this.#sortedPeers.length) },
      () => this.#selectPeer(this.#sortedPeers),
    );
    await Promise.all(selected.map((peer) => this.#pull(peer.url, deadlineMs)));
  }

  /**
   * Sends one round; resolves as soon as it is confirmed or has ended. A second
   * one follows when the first put a change in force.
   */
  async runRound(): Promise<RoundResult> {
    this.#refreshPeers();
    this.#schedule.recordSent();
    const startedMs = this.#clock.nowMs();
    const message = this.#createPayload();
    this.#recordBroadcast(message);
    const reply = await this.#collectReplies(message);
    const result = this.#evaluate(reply, message.nextOffset);
    const hadPending = this.#holder.hasPending;
    if (result.isConfirmed) {
      this.#holder.markStable(message.nextOffset);
      this.#holder.advanceAsOf(startedMs, message.nextOffset);
    }
    // The others wait for the word that the change is accepted.
    if (hadPending && !this.#holder.hasPending) await this.runRound();
    if (reply.newestOffset > message.nextOffset) await this.#catchUp(reply);
    return result;
  }

  #collectReplies(message: RoundPayload): Promise<RoundReply> {
    return new Promise((resolve, reject) => {
      let merged = NO_REPLY;
      const onReply = (reply: RoundReply) => {
        merged = mergeReplies(merged, reply);
        const result = this.#evaluate(merged, message.nextOffset);
        if (result.isConfirmed) resolve(merged);
      };
      this.#forward(message, ALL_NAMES, onReply).then(resolve, reject);
    });
  }

  #evaluate(reply: RoundReply, nextOffset: number): RoundResult {
    const { isGrounded } = this.#holder;
    const holding = reply.holding + (isGrounded ? 1 : 0);
    const hostCount = this.#sortedPeers.length + 1;
    const isHostListKnown = this.#knownPeers !== undefined;
    const isConfirmed = isGrounded && isHostListKnown &&
      reply.newestOffset <= nextOffset && 2 * holding > hostCount;
    return {
      holding,
      hostCount,
      isHostListKnown: isHostListKnown,
      isConfirmed,
    };
  }

  async #catchUp(reply: RoundReply): Promise<void> {
    if (reply.newestUrl === null) return;
    const deadlineMs = this.#clock.nowMs() + PULL_TIMEOUT_MS;
    await this.#pull(reply.newestUrl, deadlineMs);
    if (this.#holder.nextOffset >= reply.newestOffset) {
      this.#schedule.request();
    }
  }

  #createPayload(): RoundPayload {
    const { nextOffset, stableOffset, ageMs, isGrounded } = this.#holder;
    const hasAsOf = isGrounded && Number.isFinite(ageMs);
    return {
      senderUrl: this.#self.url,
      depth: 0,
      nextOffset,
      stableOffset,
      asOfWallMs: hasAsOf ? this.#clock.wallMs() - ageMs : null,
      records: this.#recordsToSend(),
    };
  }

  #recordsToSend(): LogRecord[] {
    const records = this.#holder.ledger.recordsFrom(this.#broadcastOffset) ??
      [];
    return records.length > MAX_ROUND_RECORDS ? [] : [...records];
  }

  #recordBroadcast(
    message: { nextOffset: number; asOfWallMs: number | null },
  ): void {
    this.#broadcastOffset = Math.max(this.#broadcastOffset, message.nextOffset);
    if (message.asOfWallMs === null) return;
    const ageMs = this.#clock.wallMs() - message.asOfWallMs;
    this.#schedule.recordBroadcast(this.#clock.nowMs() - Math.max(0, ageMs));
  }

  async #receive(parameters: unknown): Promise<RoundReply> {
    const message = readRoundMessage(parameters);
    if (message.to !== this.#self.name) {
      throw new Error(`host ${message.to} is no longer at this address`);
    }
    this.#refreshPeers();
    this.#schedule.recordReceived();
    this.#holder.applyRecords(message.records as LogRecord[]);
    if (this.#holder.nextOffset < message.nextOffset) {
      const deadlineMs = this.#clock.nowMs() + MIN_LEVEL_TIMEOUT_MS;
      await this.#pull(message.senderUrl, deadlineMs);
    }
    const isUpToDate = this.#holder.nextOffset >= message.nextOffset;
    if (isUpToDate) this.#applyFreshness(message);
    const { from, until } = message;
    const subtreeReply = await this.#forward({
      ...message,
      senderUrl: isUpToDate ? this.#self.url : message.senderUrl,
      depth: message.depth + 1,
    }, { from, until });
    return this.#reply(subtreeReply, isUpToDate);
  }

  #applyFreshness(message: RoundMessage): void {
    this.#holder.markStable(message.stableOffset);
    this.#recordBroadcast(message);
    if (message.asOfWallMs === null) return;
    this.#holder.markGrounded();
    const ageMs = Math.max(0, this.#clock.wallMs() - message.asOfWallMs);
    this.#holder.advanceAsOf(this.#clock.nowMs() - ageMs, message.stableOffset);
  }

  #reply(subtreeReply: RoundReply, isUpToDate: boolean): RoundReply {
    const { nextOffset, isGrounded } = this.#holder;
    const isCounted = isUpToDate && isGrounded;
    const isNewest = isGrounded && nextOffset >= subtreeReply.newestOffset;
    return {
      holding: subtreeReply.holding + (isCounted ? 1 : 0),
      newestOffset: isNewest ? nextOffset : subtreeReply.newestOffset,
      newestUrl: isNewest ? this.#self.url : subtreeReply.newestUrl,
    };
  }

  /** Sends the message to all hosts of `range` but this one. */
  async #forward(
    message: RoundPayload,
    range: NameRange,
    onReply: (reply: RoundReply) => void = () => {},
  ): Promise<RoundReply> {
    const levelMs = ROUND_TIMEOUT_MS - message.depth * LEVEL_TIMEOUT_STEP_MS;
    const deadlineMs = this.#clock.nowMs() +
      Math.max(MIN_LEVEL_TIMEOUT_MS, levelMs);
    const parts = splitRange(this.#sortedPeers, range, {
      self: this.#self.name,
      partCount: FAN_OUT,
    });
    const replies = await Promise.all(parts.map(async (part) => {
      const reply = await this.#sendToDelegate(part, message, deadlineMs);
      onReply(reply);
      return reply;
    }));
    return replies.reduce(mergeReplies, NO_REPLY);
  }

  async #sendToDelegate(
    part: RangePart,
    message: RoundPayload,
    deadlineMs: number,
  ): Promise<RoundReply> {
    const candidates = [...part.peers];
    for (let attempt = 0; attempt < MAX_DELEGATE_ATTEMPTS; attempt++) {
      if (candidates.length === 0) return NO_REPLY;
      const index = Math.floor(this.#random() * candidates.length);
      const [peer] = candidates.splice(index, 1);
      const parameters = { ...message, ...part.range, to: peer.name };
      const request = { method: ROUND_METHOD, parameters };
      const answer = await this.#callPeer(peer.url, request, { deadlineMs });
      if (answer.isOk()) return readRoundReply(answer.value) ?? NO_REPLY;
      if (answer.error.verdict !== "not-run") return NO_REPLY;
    }
    return NO_REPLY;
  }

  async #pull(url: string, deadlineMs: number): Promise<void> {
    const { nextOffset } = this.#holder;
    const request = { method: PULL_METHOD, parameters: { nextOffset } };
    const answer = await this.#callPeer(url, request, { deadlineMs });
    const reply = answer.isOk() ? readPullReply(answer.value) : undefined;
    if (reply === undefined || !reply.isGrounded) return;
    if (reply.records !== undefined) this.#holder.applyRecords(reply.records);
    if (reply.snapshot !== undefined) this.#holder.install(reply.snapshot);
    this.#holder.markGrounded();
    this.#holder.markStable(reply.stableOffset);
  }

  #answerPull(parameters: unknown): PullReply {
    const { nextOffset } = readPullRequest(parameters);
    const { ledger, isGrounded, stableOffset } = this.#holder;
    if (!isGrounded) return { isGrounded, stableOffset: 0 };
    const records = ledger.recordsFrom(nextOffset);
    if (records !== undefined) return { isGrounded, stableOffset, records };
    const snapshot = this.#holder.createSnapshot();
    return { isGrounded, stableOffset, snapshot };
  }

  #refreshPeers(): void {
    const peers = this.#peers();
    if (peers === this.#knownPeers) return;
    this.#knownPeers = peers;
    const others = (peers ?? []).filter(({ name }) => name !== this.#self.name);
    this.#sortedPeers = sortPeers(others);
    this.#schedule.setHosts(
      this.#self.name,
      others.map(({ name }) => name),
    );
  }

  #selectPeer(peers: readonly ConfigPeer[]): ConfigPeer {
    return peers[Math.floor(this.#random() * peers.length)];
  }
}

const NO_REPLY: RoundReply = { holding: 0, newestOffset: 0, newestUrl: null };

function mergeReplies(left: RoundReply, right: RoundReply): RoundReply {
  const newest = right.newestOffset > left.newestOffset ? right : left;
  return { ...newest, holding: left.holding + right.holding };
}
