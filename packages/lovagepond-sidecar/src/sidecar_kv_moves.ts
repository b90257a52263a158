/**
 * Plans which chats' KV caches are moved while draining, and limits the byte
 * rate of the transfers.
 */
import {chatNumber} from './sidecar_cache_index.js';

/** A chat with the names that an export from the engine needs. */
export interface NamedChat {
  readonly workspace: string;
  readonly chat: string;
}

/**
 * The most recently used chats. The cache index holds only numbers, but an
 * export needs names, and only those of chats that are worth moving.
 */
export class RecentChats {
  readonly #maxChats: number;
  readonly #chats = new Map<number, NamedChat>();

  /** @param maxChats maximum number of chats */
  constructor(maxChats: number) {
    this.#maxChats = maxChats;
  }

  /** @returns number of chats kept */
  get size(): number {
    return this.#chats.size;
  }

  /** @param named the chat that was just served */
  note(named: NamedChat): void {
    if (named.chat === '') return;
    const number = chatNumber(named.workspace, named.chat);
    this.#chats.delete(number);
    this.#chats.set(number, named);
    if (this.#chats.size <= this.#maxChats) return;
    const oldest = this.#chats.keys().next().value;
    if (oldest !== undefined) this.#chats.delete(oldest);
  }

  /** @returns the chats, most recently used first */
  latest(): NamedChat[] {
    return [...this.#chats.values()].reverse();
  }
}

/** A chat with its cached tokens and its next server. */
export interface PlannedMove extends NamedChat {
  readonly tokens: number;
  readonly backendServer: string;
  readonly address: string;
}

/** Looks up the state of chats for a plan of moves. */
export interface MoveView {
  /** @returns expected number of cached tokens here */
  warmTokens(named: NamedChat): number;
  /** @returns the chat's next server; undefined if there is none */
  nextServer(
    named: NamedChat,
  ): {readonly name: string; readonly address: string} | undefined;
}

/**
 * @param chats the chats, most recently used first
 * @param view state of the chats
 * @returns the moves in the order of execution: among chats equally likely to
 *     return soon, the one with the longest context comes first, as it saves
 *     most
 */
export function planMoves(
  chats: readonly NamedChat[],
  view: MoveView,
): PlannedMove[] {
  const moves: PlannedMove[] = [];
  for (const named of chats) {
    const tokens = view.warmTokens(named);
    const next = view.nextServer(named);
    if (tokens <= 0 || !next) continue;
    const {name: backendServer, address} = next;
    moves.push({...named, tokens, backendServer, address});
  }
  // Rank by context length divided by the position in the order of last use.
  const worth = new Map(
    moves.map((move, index) => [move, move.tokens / (index + 1)]),
  );
  return moves.sort((a, b) => (worth.get(b) ?? 0) - (worth.get(a) ?? 0));
}

const MS_PER_SECOND = 1_000;

/** Byte-rate limiter; a transfer above the budget delays the next one. */
export class ByteRate {
  readonly #bytesPerSecond: number;
  #freeAt = -Infinity;

  /** @param bytesPerSecond bytes that may be sent per second */
  constructor(bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond;
  }

  /**
   * @param now current time
   * @returns milliseconds until the next transfer may start
   */
  waitMs(now: number): number {
    if (this.#bytesPerSecond <= 0) return Infinity;
    return Math.max(0, this.#freeAt - now);
  }

  /**
   * @param bytes number of bytes sent now
   * @param now current time
   */
  spend(bytes: number, now: number): void {
    const start = Math.max(this.#freeAt, now);
    this.#freeAt = start + (bytes / this.#bytesPerSecond) * MS_PER_SECOND;
  }
}
