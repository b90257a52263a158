/**
 * The other servers of the pool: their addresses and loads, and the calls to
 * their sidecars.
 */
import {type BackendServer, decodeLoad, SERVER_STATE} from '@lovagepond/core';
import {lovagepond, readMember, SIDECAR_SERVICE} from '@lovagepond/protocol';
import {ClientPool} from './sidecar_client_pool.js';
import {type PeerLoad} from './sidecar_take.js';

const {v1} = lovagepond;

/** Fields of a pool member that a sidecar needs. */
export type Peer = Pick<
  BackendServer,
  'name' | 'incarnation' | 'address' | 'state' | 'slot'
>;

/** Copies only the needed fields of a member, to save memory in large pools. */
function readPeer(member: BackendServer): Peer {
  const {name, incarnation, address, state, slot} = member;
  return {name, incarnation, address, state, slot};
}

/** Membership and load of the own pool, without this server. */
export class SidecarPeers {
  readonly #ownName: string;
  readonly #pool: string;
  readonly #clients: ClientPool;
  readonly #peers = new Map<string, Peer>();
  #loads: readonly PeerLoad[] = [];

  /**
   * @param ownName name of this backend server
   * @param pool pool of this server
   * @param timeoutMs timeout of a call to a peer, milliseconds
   */
  constructor(ownName: string, pool: string, timeoutMs: number) {
    this.#ownName = ownName;
    this.#pool = pool;
    this.#clients = new ClientPool(timeoutMs);
  }

  /** @returns ready servers of the pool, without this one */
  get ready(): readonly Peer[] {
    const peers = [...this.#peers.values()];
    return peers.filter(peer => peer.state === SERVER_STATE.READY);
  }

  /** @returns load of those servers from the last digest */
  get loads(): readonly PeerLoad[] {
    return this.#loads;
  }

  /** @param update membership of the pool from control */
  updateMembership(update: lovagepond.v1.MembershipUpdate.$Properties): void {
    if (update.whole) this.#peers.clear();
    for (const name of update.gone ?? []) this.#peers.delete(name);
    for (const member of (update.members ?? []).map(readMember)) {
      const own = member.name === this.#ownName || member.pool !== this.#pool;
      if (!own) this.#peers.set(member.name, readPeer(member));
    }
    const addresses = [...this.#peers.values()].map(peer => peer.address);
    this.#clients.keepOnly(new Set(addresses));
  }

  /** @param digest one byte of load for each slot */
  updateLoads(digest: lovagepond.v1.LoadDigest.$Properties): void {
    const bytes = digest.loads ?? new Uint8Array();
    this.#loads = this.ready.map(({name, address, slot}) => ({
      backendServer: name,
      address,
      tokens: decodeLoad(bytes[slot] ?? 0),
    }));
  }

  /**
   * @param victim server to ask
   * @param roomTokens free capacity of this server, tokens
   * @returns the requests that it hands over; undefined when no answer came
   */
  take(
    victim: PeerLoad,
    roomTokens: number,
  ): Promise<lovagepond.v1.TakeResponse.$Properties | undefined> {
    const request = new v1.TakeRequest({
      taker: this.#ownName,
      roomTokens: Math.floor(roomTokens),
    });
    return this.#clients.call(victim.address, SIDECAR_SERVICE.take, request);
  }

  /**
   * Sends the chat's first choice a pointer to this server, which served it.
   *
   * @param address `host:port` of the first choice's sidecar
   * @param workspace the chat's workspace
   * @param chat the chat's name
   * @param tokens tokens of its context
   */
  async point(
    address: string,
    workspace: string,
    chat: string,
    tokens: number,
  ): Promise<void> {
    const request = new v1.PointerRequest({
      workspace,
      chat,
      backendServer: this.#ownName,
      tokens,
    });
    await this.#clients.call(address, SIDECAR_SERVICE.point, request);
  }

  /**
   * @param address `host:port` of the sidecar that will serve the chat
   * @param request the chat's cache
   * @returns true when the cache was imported
   */
  async moveCache(
    address: string,
    request: lovagepond.v1.MoveCacheRequest.$Properties,
  ): Promise<boolean> {
    const message = new v1.MoveCacheRequest(request);
    const method = SIDECAR_SERVICE.moveCache;
    const answer = await this.#clients.call(address, method, message);
    return answer?.accepted ?? false;
  }

  close(): void {
    this.#clients.close();
  }
}
