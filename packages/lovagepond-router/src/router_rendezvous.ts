/**
 * Rendezvous hashing in less than linear time.
 *
 * Every server has a fixed position, the hash of its name; every chat has a
 * permutation of all positions, and wants the servers in the order of their
 * ranks in it. With few servers each one's rank is computed; with many the
 * permutation is walked from rank 0 until enough occupied positions are found,
 * which takes fewer steps the more servers there are. Both ways give the same
 * order, so the way taken never changes a choice. When a server leaves, only
 * the chats that wanted it first move, and two routers whose lists differ
 * disagree only on chats that want a server which stands on one list alone.
 */
import {type HashKey, type KeyHasher} from './router_rendezvous_hash.js';
import {
  makePermutationKey,
  type PermutationKey,
  POSITION_COUNT,
  positionOfRank,
  rankOfPosition,
} from './router_rendezvous_permutation.js';

/** A server that can stand in a table. */
export interface RendezvousServer {
  readonly name: string;
  /** Position of its byte in the load digest. */
  readonly slot: number;
}

const NONE = -1;

/** The servers that a request may go to, ready to be ordered for any chat. */
export class RendezvousTable<Server extends RendezvousServer> {
  /** In the order given. */
  readonly servers: readonly Server[];
  /** The servers' slots in the load digest, in the same order. */
  readonly slots: Int32Array;
  readonly #positions: Uint16Array;
  /** Tells servers that share one position apart. */
  readonly #tieBreakers: Int32Array;
  /** Made at the first walk: a quarter of a megabyte. */
  #occupants: Int32Array | undefined;
  /** Next server at the same position, or NONE; filled with the occupants. */
  readonly #nextAtPosition: Int32Array;

  /**
   * @param servers distinct names, fewer than 65,536
   * @param hasher the hasher that all routers use
   */
  constructor(servers: readonly Server[], hasher: KeyHasher) {
    this.servers = servers;
    this.slots = Int32Array.from(servers, server => server.slot);
    const keys = servers.map(server => hasher.hash(server.name));
    this.#positions = Uint16Array.from(keys, key => key.low % POSITION_COUNT);
    this.#tieBreakers = Int32Array.from(keys, key => key.high);
    this.#nextAtPosition = new Int32Array(servers.length).fill(NONE);
  }

  /**
   * @param chatKey hash of the chat's text
   * @param count how many servers are wanted
   * @returns indices into {@link servers}, the most wanted first
   */
  order(chatKey: HashKey, count: number): number[] {
    const size = this.servers.length;
    const resultCount = Math.min(count, size);
    const key = makePermutationKey(chatKey);
    const walkLength = (resultCount * POSITION_COUNT) / (size + 1);
    return walkLength < size
      ? this.#orderByWalking(key, chatKey, resultCount)
      : this.#orderByRanking(key, chatKey, resultCount);
  }

  /** Few servers: ranks each one and keeps the lowest ranks. */
  #orderByRanking(
    key: PermutationKey,
    chatKey: HashKey,
    resultCount: number,
  ): number[] {
    const best: number[] = [];
    const ranks: number[] = [];
    for (let index = 0; index < this.servers.length; index++) {
      const rank = rankOfPosition(this.#positions[index] as number, key);
      let place = best.length;
      while (
        place > 0 &&
        this.#precedes(rank, index, ranks, best, place, chatKey)
      ) {
        place--;
      }
      if (place >= resultCount) continue;
      best.splice(place, 0, index);
      ranks.splice(place, 0, rank);
      if (best.length > resultCount) {
        best.pop();
        ranks.pop();
      }
    }
    return best;
  }

  /** True when the server goes before the one now at `place - 1`. */
  #precedes(
    rank: number,
    index: number,
    ranks: readonly number[],
    best: readonly number[],
    place: number,
    chatKey: HashKey,
  ): boolean {
    const other = ranks[place - 1] as number;
    if (rank !== other) return rank < other;
    return this.#compareTie(index, best[place - 1] as number, chatKey) < 0;
  }

  /** Many servers: walks the chat's permutation over occupied positions. */
  #orderByWalking(
    key: PermutationKey,
    chatKey: HashKey,
    resultCount: number,
  ): number[] {
    const occupants = (this.#occupants ??= this.#makeOccupants());
    const best: number[] = [];
    for (let rank = 0; best.length < resultCount; rank++) {
      const occupant = occupants[positionOfRank(rank, key)] as number;
      if (occupant === NONE) continue;
      const next = this.#nextAtPosition[occupant] as number;
      if (next === NONE) best.push(occupant);
      else best.push(...this.#orderAtPosition(occupant, chatKey));
    }
    best.length = resultCount;
    return best;
  }

  /** The servers that share a position, in the chat's order. */
  #orderAtPosition(occupant: number, chatKey: HashKey): number[] {
    const atPosition: number[] = [];
    let index = occupant;
    while (index !== NONE) {
      atPosition.push(index);
      index = this.#nextAtPosition[index] as number;
    }
    return atPosition.sort((a, b) => this.#compareTie(a, b, chatKey));
  }

  /** Position to the last server there, or NONE; chains those that share it. */
  #makeOccupants(): Int32Array {
    const occupants = new Int32Array(POSITION_COUNT).fill(NONE);
    this.#positions.forEach((position, index) => {
      this.#nextAtPosition[index] = occupants[position] as number;
      occupants[position] = index;
    });
    return occupants;
  }

  #compareTie(a: number, b: number, chatKey: HashKey): number {
    const keyOfA = ((this.#tieBreakers[a] as number) ^ chatKey.low) >>> 0;
    const keyOfB = ((this.#tieBreakers[b] as number) ^ chatKey.low) >>> 0;
    return keyOfA - keyOfB;
  }
}
