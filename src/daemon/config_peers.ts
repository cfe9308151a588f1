/**
 * The hosts that configuration rounds count: the platform's list merged with
 * the members. Unresponsive hosts count too, since otherwise a minority
 * partition would take itself for a majority. A host that has announced that it
 * leaves does not count, though the list may contain it for some time.
 *
 * @module
 */

import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { ConfigPeer } from "../config/peer_tree.ts";
import type { IHostListWatcher, IMembership } from "../fleet/services.ts";
import type { ListedHost } from "../clients/types.ts";

/** Sources of the hosts. */
export interface ConfigPeersOptions {
  readonly membership: IMembership;
  readonly hostList: IHostListWatcher;
}

/** Maintains the other hosts; the array stays the same until one is added or removed. */
export class ConfigPeers implements Disposable {
  readonly #membership: IMembership;
  readonly #owned = new DisposableStore();
  #listed: readonly ConfigPeer[] | undefined;
  /** Hosts that left. They don't return under the same name, since it changes at each start. */
  #left = new Set<string>();
  #peers: readonly ConfigPeer[] | undefined;

  constructor(options: ConfigPeersOptions) {
    this.#membership = options.membership;
    this.#owned.add(options.membership.onChange(() => this.#mergePeers()));
    this.#owned.add(options.hostList.onList((list) => this.#applyList(list)));
  }

  /** The other hosts, or undefined until the platform's list has been read. */
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
