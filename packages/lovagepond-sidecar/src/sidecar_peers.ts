/**
 * The other servers of the pool: where they are, how loaded they are, and the
 * calls to their sidecars.
 */
import {type BackendServer, decodeLoad, SERVER_STATE} from '@lovagepond/core';
import {lovagepond, readMember, SIDECAR_SERVICE} from '@lovagepond/protocol';
import {ClientPool} from './sidecar_client_pool.js';
import {type PeerLoad} from './sidecar_take.js';

const {v1} = lovagepond;

/** One server of the pool, as far as a sidecar needs it. */
export type Peer = Pick<
  BackendServer,
  'name' | 'incarnation' | 'address' | 'state' | 'slot'
>;

/** Keeps no more of a member than a peer needs: pools are large. */
function readPeer(member: BackendServer): Peer {
  const {name, incarnation, address, state, slot} = member;
  return {name, incarnation, address, state, slot};
}

/** Membership and load of the own pool, without the own server. */
export class SidecarPeers {
  readonly #ownName: string;
  readonly #pool: string;
  readonly #clients: ClientPool;
  readonly #peers = new Map<string, Peer>();
  #loads: readonly PeerLoad[] = [];

  /**
   * @param ownName the own backend server
   * @param pool the own pool
   * @param timeoutMs time for a call to a peer
   */
  constructor(ownName: string, pool: string, timeoutMs: number) {
    this.#ownName = ownName;
    this.#pool = pool;
    this.#clients = new ClientPool(timeoutMs);
  }

  /** @returns servers of the pool that take work, without the own one */
  get ready(): readonly Peer[] {
    const peers = [...this.#peers.values()];
    return peers.filter(peer => peer.state === SERVER_STATE.READY);
  }

  /** @returns the load of those servers, as the last digest shows it */
  get loads(): readonly PeerLoad[] {
    return this.#loads;
  }

  /** @param update control's membership of the pool */
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
   * @param victim whom to ask
   * @param roomTokens room here
   * @returns what it hands over, or undefined when no answer came
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
   * Tells a chat's first choice that it was served here.
   *
   * @param address its sidecar
   * @param workspace the chat's workspace
   * @param chat the chat's name
   * @param tokens its context
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
   * @param address the sidecar the chat will land at
   * @param request the chat's cache
   * @returns true when it was taken in
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

  /** Closes all connections. */
  close(): void {
    this.#clients.close();
  }
}
