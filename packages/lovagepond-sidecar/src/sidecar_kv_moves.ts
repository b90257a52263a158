/**
 * On a planned leave, moves the warmest chats' KV cache to where those chats
 * will land next, within a byte rate.
 */
import {chatNumber} from './sidecar_cache_index.js';

/** A chat by its names, as an engine exports it. */
export interface NamedChat {
  readonly workspace: string;
  readonly chat: string;
}

/**
 * The chats used last. The cache index keeps numbers only; an export needs the
 * names, and only of chats that are worth moving.
 */
export class RecentChats {
  readonly #maxChats: number;
  readonly #chats = new Map<number, NamedChat>();

  /** @param maxChats chats kept at most */
  constructor(maxChats: number) {
    this.#maxChats = maxChats;
  }

  /** @returns number of chats kept */
  get size(): number {
    return this.#chats.size;
  }

  /** @param named a chat that was served now */
  note(named: NamedChat): void {
    if (named.chat === '') return;
    const number = chatNumber(named.workspace, named.chat);
    this.#chats.delete(number);
    this.#chats.set(number, named);
    if (this.#chats.size <= this.#maxChats) return;
    const oldest = this.#chats.keys().next().value;
    if (oldest !== undefined) this.#chats.delete(oldest);
  }

  /** @returns the chats, last used first */
  latest(): NamedChat[] {
    return [...this.#chats.values()].reverse();
  }
}

/** A chat with its context and its next server. */
export interface PlannedMove extends NamedChat {
  readonly tokens: number;
  readonly backendServer: string;
  readonly address: string;
}

/** Finds out about chats when a leave is planned. */
export interface MoveView {
  /** @returns cached tokens to expect here */
  warmTokens(named: NamedChat): number;
  /** @returns where the chat lands next, or undefined when nowhere */
  nextServer(
    named: NamedChat,
  ): {readonly name: string; readonly address: string} | undefined;
}

/**
 * @param chats the chats used last, last first
 * @param view what is known of them
 * @returns moves in the order in which they should be made: among chats likely
 *     to return equally soon, the longest context saves most
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
  // Rank by context over place in the order of last use.
  const worth = new Map(
    moves.map((move, index) => [move, move.tokens / (index + 1)]),
  );
  return moves.sort((a, b) => (worth.get(b) ?? 0) - (worth.get(a) ?? 0));
}

const MS_PER_SECOND = 1_000;

/** A budget of bytes that fills with time; it may be overdrawn once. */
export class ByteRate {
  readonly #bytesPerSecond: number;
  #freeAt = -Infinity;

  /** @param bytesPerSecond bytes that may be sent in a second */
  constructor(bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond;
  }

  /**
   * @param now present time
   * @returns milliseconds until the next transfer may start
   */
  waitMs(now: number): number {
    if (this.#bytesPerSecond <= 0) return Infinity;
    return Math.max(0, this.#freeAt - now);
  }

  /**
   * @param bytes what is sent now
   * @param now present time
   */
  spend(bytes: number, now: number): void {
    const start = Math.max(this.#freeAt, now);
    this.#freeAt = start + (bytes / this.#bytesPerSecond) * MS_PER_SECOND;
  }
}
