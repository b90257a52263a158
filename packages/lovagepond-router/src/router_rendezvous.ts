/**
 * Rendezvous hashing in sublinear time.
 *
 * Every server has a fixed position, the hash of its name. Every chat has a
 * permutation of all positions; its servers are ordered by their rank in this
 * permutation. With few servers, the rank of each one is computed. With many,
 * the permutation is walked from rank 0 until enough occupied positions are
 * found, which takes fewer steps the more servers there are. Both methods give
 * the same order, so the method never changes a choice.
 *
 * When a server leaves, only the chats that had it as first choice move. Two
 * routers with different lists disagree only on chats that prefer a server
 * which is missing from one of the lists.
 */
import {type HashKey, type KeyHasher} from './router_rendezvous_hash.js';
import {
  makePermutationKey,
  type PermutationKey,
  POSITION_COUNT,
  positionOfRank,
  rankOfPosition,
} from './router_rendezvous_permutation.js';

/** A server of a {@link RendezvousTable}. */
export interface RendezvousServer {
  readonly name: string;
  /** Position of the server's byte in the load digest. */
  readonly slot: number;
}

const NONE = -1;

/** The eligible servers, prepared for ordering them by chat. */
export class RendezvousTable<Server extends RendezvousServer> {
  /** The servers in the order given to the constructor. */
  readonly servers: readonly Server[];
  /** The servers' slots in the load digest, in the same order. */
  readonly slots: Int32Array;
  readonly #positions: Uint16Array;
  /** Orders servers that share a position. */
  readonly #tieBreakers: Int32Array;
  /** Created at the first walk, as it takes a quarter of a megabyte. */
  #occupants: Int32Array | undefined;
  /** Next server at the same position, or NONE; set with the occupants. */
  readonly #nextAtPosition: Int32Array;

  /**
   * @param servers servers with distinct names, fewer than 65,536
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
   * @param count how many servers to return at most
   * @returns indices into {@link servers}, the most preferred first
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

  /** True when the server precedes the one at `place - 1`. */
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

  /** Orders the servers that share a position for the chat. */
  #orderAtPosition(occupant: number, chatKey: HashKey): number[] {
    const atPosition: number[] = [];
    let index = occupant;
    while (index !== NONE) {
      atPosition.push(index);
      index = this.#nextAtPosition[index] as number;
    }
    return atPosition.sort((a, b) => this.#compareTie(a, b, chatKey));
  }

  /** Maps positions to their last server, or NONE, and links the others. */
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
