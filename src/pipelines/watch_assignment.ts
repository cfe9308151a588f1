/**
 * Which engines this host polls. Each engine is polled by two hosts, chosen by
 * rendezvous hashing among the members, its own region first; what they hear
 * spreads as facts. So a host polls the same few engines however many there
 * are, as long as hosts grow with them.
 *
 * @module
 */

import { hash32 } from "../common/hash.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { IConfigService } from "../config/services.ts";
import type { IMembership, Member } from "../fleet/services.ts";

/** Hosts that poll one engine. */
const WATCHERS_PER_ENGINE = 2;
/** Polls a second that one host makes at most, if that keeps the interval. */
const POLL_BUDGET_PER_S = 3;
const MIN_INTERVAL_MS = 1_000;
/** No engine is polled less often than this by each of its watchers. */
const MAX_INTERVAL_MS = 2_400;
const ALL_REGIONS = "";

/** Collaborators of a `WatchAssignment`. */
export interface WatchAssignmentOptions {
  readonly config: IConfigService;
  readonly membership: IMembership;
}

interface Watcher {
  readonly host: string;
  readonly score: number;
}

/** Keeps the watchers of each engine up to date as hosts come and go. */
export class WatchAssignment implements Disposable {
  readonly #options: WatchAssignmentOptions;
  readonly #store = new DisposableStore();
  /** Hosts by region, and all of them under `EVERYWHERE`. */
  #hosts = new Map<string, Set<string>>();
  #regionOfHost = new Map<string, string>();
  readonly #watchers = new Map<string, Watcher[]>();
  #ownEngineCount = 0;

  constructor(options: WatchAssignmentOptions) {
    this.#options = options;
    this.#store.add(options.config.onChange(() => this.#assignAll()));
    this.#store.add(
      options.membership.onChange((members) => this.#handleMembers(members)),
    );
    this.#readMembers(options.membership.members());
    this.#assignAll();
  }

  /** True when this host is one of the engine's watchers. */
  watches(target: string): boolean {
    const self = this.#options.membership.self.name;
    const watchers = this.#watchers.get(target) ?? [];
    return watchers.some(({ host }) => host === self);
  }

  /** Time between two polls of one engine by this host. */
  intervalMs(): number {
    const budgetedMs = this.#ownEngineCount * 1_000 / POLL_BUDGET_PER_S;
    return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, budgetedMs));
  }

  dispose(): void {
    this.#store.dispose();
  }

  #handleMembers(members: readonly Member[]): void {
    const before = this.#regionOfHost;
    this.#readMembers(members);
    const left = [...before.keys()]
      .filter((host) => this.#regionOfHost.get(host) !== before.get(host));
    const joined = [...this.#regionOfHost.keys()]
      .filter((host) => this.#regionOfHost.get(host) !== before.get(host));
    if (left.length + joined.length === 0) return;
    if (left.length + joined.length > this.#regionOfHost.size / 8) {
      return this.#assignAll();
    }
    const leftHosts = new Set(left);
    for (const [target, watchers] of this.#watchers) {
      const lost = watchers.some(({ host }) => leftHosts.has(host));
      if (lost || this.#usesAllRegions(target)) this.#assign(target);
      else this.#addCandidates(target, joined);
    }
    this.#countOwnEngines();
  }

  #readMembers(members: readonly Member[]): void {
    this.#hosts = new Map([[ALL_REGIONS, new Set<string>()]]);
    this.#regionOfHost = new Map();
    for (const { name, region, state } of members) {
      if (state === "leaving") continue;
      if (!this.#hosts.has(region)) this.#hosts.set(region, new Set());
      this.#hosts.get(region)!.add(name);
      this.#hosts.get(ALL_REGIONS)!.add(name);
      this.#regionOfHost.set(name, region);
    }
  }

  #assignAll(): void {
    this.#watchers.clear();
    const { targets } = this.#options.config.state.config;
    for (const [target, { kind }] of Object.entries(targets)) {
      if (kind === "engine") this.#assign(target);
    }
    this.#countOwnEngines();
  }

  #assign(target: string): void {
    this.#watchers.set(target, []);
    this.#addCandidates(target, this.#hosts.get(this.#regionFor(target))!);
  }

  #addCandidates(target: string, hosts: Iterable<string>): void {
    const eligible = this.#hosts.get(this.#regionFor(target))!;
    const watchers = this.#watchers.get(target)!;
    const seed = hash32(target);
    for (const host of hosts) {
      if (!eligible.has(host)) continue;
      if (watchers.some((watcher) => watcher.host === host)) continue;
      const score = hash32(host, seed);
      if (watchers.length === WATCHERS_PER_ENGINE) {
        if (!isBefore({ host, score }, watchers[WATCHERS_PER_ENGINE - 1])) {
          continue;
        }
        watchers.pop();
      }
      watchers.push({ host, score });
      watchers.sort((a, b) => isBefore(a, b) ? -1 : 1);
    }
  }

  /** The region of the target, or everywhere when it has too few hosts. */
  #regionFor(target: string): string {
    const { region } = this.#options.config.state.config.targets[target];
    return this.#hasTooFewHosts(region) ? ALL_REGIONS : region;
  }

  #usesAllRegions(target: string): boolean {
    return this.#regionFor(target) === ALL_REGIONS;
  }

  #hasTooFewHosts(region: string): boolean {
    return (this.#hosts.get(region)?.size ?? 0) < WATCHERS_PER_ENGINE;
  }

  #countOwnEngines(): void {
    this.#ownEngineCount = 0;
    for (const target of this.#watchers.keys()) {
      if (this.watches(target)) this.#ownEngineCount++;
    }
  }
}

function isBefore(a: Watcher, b: Watcher): boolean {
  return a.score > b.score || (a.score === b.score && a.host < b.host);
}
