/**
 * Addresses of the gateways that exchange datagrams, and their rendezvous order
 * for a key.
 */
import {type HashKey, type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {type lovagepond} from '@lovagepond/protocol';

type WireUpdate = lovagepond.v1.StreamPeersUpdate.$Properties;

/**
 * Time for which a gateway is kept that control no longer lists, milliseconds.
 * A control member that has just started lists only those that have reported to
 * it; without this, all gateways would look for records in other places.
 */
const RETENTION_MS = 10_000;

/** Stands for this gateway among the addresses of all. */
export const SELF = '';

interface Peer {
  readonly address: string;
  /** Hash of its name. */
  readonly hash: number;
  /** Unset while control lists the gateway; monotonic milliseconds. */
  readonly goneAt: number | undefined;
}

export class PeerAddresses {
  readonly #self: string;
  readonly #hasher: KeyHasher;
  readonly #selfHash: number;
  readonly #peers = new Map<string, Peer>();
  #listedAddress: string | undefined;

  /**
   * @param self this gateway's name
   * @param hasher ranks gateways for rendezvous hashing
   */
  constructor(self: string, hasher: KeyHasher) {
    this.#self = self;
    this.#hasher = hasher;
    this.#selfHash = hasher.hash(self).low;
  }

  /** The address that control lists for this gateway, if any. */
  get listedAddress(): string | undefined {
    return this.#listedAddress;
  }

  /** Number of other gateways. */
  get size(): number {
    return this.#peers.size;
  }

  /**
   * @param node a gateway's name
   * @returns its address, {@link SELF} for this one; undefined if unknown
   */
  addressOf(node: string): string | undefined {
    return node === this.#self ? SELF : this.#peers.get(node)?.address;
  }

  /**
   * @param update the list from control, or its changes
   * @param now current time, monotonic milliseconds
   */
  apply(update: WireUpdate, now: number): void {
    const listed = update.peers ?? [];
    const names = new Set(listed.map(({node}) => node));
    const gone = update.whole
      ? [...this.#peers.keys()].filter(name => !names.has(name))
      : (update.gone ?? []);
    if (update.whole || gone.includes(this.#self)) {
      this.#listedAddress = undefined;
    }
    for (const name of gone) {
      const peer = this.#peers.get(name);
      if (peer) this.#peers.set(name, {...peer, goneAt: peer.goneAt ?? now});
    }
    for (const {node, address} of listed) {
      if (!node || !address) continue;
      if (node === this.#self) this.#listedAddress = address;
      else this.#set(node, address);
    }
  }

  /**
   * Must be called periodically.
   *
   * @param now current time, monotonic milliseconds
   */
  expire(now: number): void {
    for (const [name, {goneAt}] of this.#peers) {
      if (goneAt !== undefined && now - goneAt > RETENTION_MS) {
        this.#peers.delete(name);
      }
    }
  }

  /**
   * @param key any key
   * @param count number of gateways
   * @returns the first addresses of other gateways in the order of the key, which
   *     is the same at each gateway with the same list
   */
  rank(key: HashKey, count: number): string[] {
    return rank([...this.#peers.values()], key, count);
  }

  /**
   * @param key any key
   * @param count number of gateways
   * @returns the first addresses of all gateways in the order of the key, with
   *     {@link SELF} for this one
   */
  rankAll(key: HashKey, count: number): string[] {
    const self = {address: SELF, hash: this.#selfHash};
    return rank([...this.#peers.values(), self], key, count);
  }

  #set(node: string, address: string): void {
    const {low: hash} = this.#hasher.hash(node);
    this.#peers.set(node, {address, hash, goneAt: undefined});
  }
}

/** @returns the first addresses in the rendezvous order of the key */
function rank(
  peers: readonly Pick<Peer, 'address' | 'hash'>[],
  {low}: HashKey,
  count: number,
): string[] {
  const left = peers.map(({address, hash}) => ({
    address,
    rank: mix(low ^ hash),
  }));
  const first: string[] = [];
  while (first.length < count && left.length > 0) {
    let highest = 0;
    for (const [at, one] of left.entries()) {
      if (one.rank > (left[highest]?.rank ?? 0)) highest = at;
    }
    for (const {address} of left.splice(highest, 1)) first.push(address);
  }
  return first;
}

/** @returns the value with all bits mixed, as the last step of MurmurHash3 */
function mix(value: number): number {
  let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
