/**
 * The hosts that a round of the configuration counts. Hosts that do not
 * answer at present count too, since a side of a cut must not take itself for
 * most of the fleet; so the platform's list is joined to the members. A host
 * that said it leaves no longer counts, though the list may name it for long.
 *
 * @module
 */

import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { ConfigPeer } from "../config/peer_tree.ts";
import type { IHostListWatcher, IMembership } from "../fleet/services.ts";
import type { ListedHost } from "../clients/types.ts";

/** Where the hosts are learned from. */
export interface ConfigPeersOptions {
  readonly membership: IMembership;
  readonly hostList: IHostListWatcher;
}

/** Keeps the other hosts; the array is the same until one comes or goes. */
export class ConfigPeers implements Disposable {
  readonly #membership: IMembership;
  readonly #owned = new DisposableStore();
  #listed: readonly ConfigPeer[] | undefined;
  /** Hosts that left; a host has a new name at each start. */
  #left = new Set<string>();
  #peers: readonly ConfigPeer[] | undefined;

  constructor(options: ConfigPeersOptions) {
    this.#membership = options.membership;
    this.#owned.add(options.membership.onChange(() => this.#mergePeers()));
    this.#owned.add(options.hostList.onList((list) => this.#applyList(list)));
  }

  /** The other hosts, or undefined while the platform's list was never read. */
  get current(): readonly ConfigPeer[] | undefined {
    return this.#peers;
  }

  dispose(): void {
    this.#owned.dispose();
  }

  #applyList(list: readonly ListedHost[]): void {
    this.#listed = list
      .filter((host) => host.role === "entry" && host.state === "live")
      .map(({ name, url }) => ({ name, url }));
    const listed = new Set(list.map(({ name }) => name));
    this.#left = new Set([...this.#left].filter((name) => listed.has(name)));
    this.#mergePeers();
  }

  #mergePeers(): void {
    if (this.#listed === undefined) return;
    const own = this.#membership.self.name;
    const byName = new Map(this.#listed.map((peer) => [peer.name, peer]));
    for (const { name, url, state } of this.#membership.members()) {
      if (state === "leaving") this.#left.add(name);
      else byName.set(name, { name, url });
    }
    const peers = [...byName.values()]
      .filter(({ name }) => name !== own && !this.#left.has(name))
      .sort((a, b) => a.name < b.name ? -1 : 1);
    if (!isSame(peers, this.#peers)) this.#peers = peers;
  }
}

function isSame(
  left: readonly ConfigPeer[],
  right: readonly ConfigPeer[] | undefined,
): boolean {
  return left.length === right?.length &&
    left.every((peer, index) => {
      return peer.name === right[index].name && peer.url === right[index].url;
    });
}
