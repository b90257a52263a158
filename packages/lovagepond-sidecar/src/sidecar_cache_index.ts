/**
 * Index of the chats whose contexts the engine caches, based on the engine's
 * events.
 *
 * Events arrive late and with gaps, so entries older than the last gap are
 * unknown. If they counted as warm, chats would be sent here for a rebuild; if
 * they counted as cold, chats would be sent away from their context.
 */
import {type ChatWarmth, WARMTH} from './sidecar_types.js';

/** Factor of the epoch in a packed number; leaves room for 2^32 tokens. */
const EPOCH_UNIT = 2 ** 32;
const UNKNOWN: ChatWarmth = Object.freeze({
  warmth: WARMTH.UNKNOWN,
  tokens: 0,
});
const COLD: ChatWarmth = Object.freeze({warmth: WARMTH.COLD, tokens: 0});
/** Sequence number of an engine's first event: nothing was cached before it. */
const FIRST_SEQUENCE = 1;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const SECOND_SEED = 0x9747b28c;
const HIGH_BITS = 20;

function hashText(text: string, seed: number): number {
  let hash = seed;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash ^= hash >>> 15;
  hash = Math.imul(hash, 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}

/**
 * Hashes a chat to a number of 52 bits, so that an index entry needs no string.
 * About one sidecar in 10^7, with 16,384 chats each, has two chats with the
 * same number. A collision costs one rebuild and never causes a wrong answer.
 *
 * @param workspace the chat's workspace
 * @param chat the chat's name
 * @returns its number
 */
export function chatNumber(workspace: string, chat: string): number {
  const text = `${workspace}\n${chat}`;
  const high = hashText(text, SECOND_SEED) >>> (32 - HIGH_BITS);
  return high * EPOCH_UNIT + hashText(text, FNV_OFFSET);
}

/** Bounded index of cached chats; evicts the least recently used first. */
export class SidecarCacheIndex {
  readonly #maxChats: number;
  /** Chat number to `epoch * 2^32 + tokens`; least recently used first. */
  readonly #entries = new Map<number, number>();
  /** Incremented at each gap; entries of former epochs are unknown. */
  #epoch = 1;
  #nextSequence: number | undefined;
  /**
   * No event since the engine's start was missed and no entry was evicted, so
   * chats without an entry are cold.
   */
  #complete = false;

  /** @param maxChats maximum number of entries */
  constructor(maxChats: number) {
    this.#maxChats = maxChats;
  }

  /** @returns number of chats in the index */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * @param workspace the chat's workspace
   * @param chat the chat's name
   * @returns cache state of its context
   */
  read(workspace: string, chat: string): ChatWarmth {
    if (chat === '') return COLD;
    const packed = this.#entries.get(chatNumber(workspace, chat));
    if (packed === undefined) return this.#complete ? COLD : UNKNOWN;
    const tokens = packed % EPOCH_UNIT;
    const current = Math.floor(packed / EPOCH_UNIT) === this.#epoch;
    return {warmth: current ? WARMTH.WARM : WARMTH.UNKNOWN, tokens};
  }

  /**
   * @param sequence the event's sequence number; a jump indicates a gap, an old
   *     number a duplicate
   * @param workspace the chat's workspace
   * @param chat the chat's name
   * @param tokens cached tokens; 0 when it was evicted
   */
  apply(
    sequence: number,
    workspace: string,
    chat: string,
    tokens: number,
  ): void {
    if (!this.#acceptSequence(sequence)) return;
    const number = chatNumber(workspace, chat);
    if (tokens > 0) this.#put(number, this.#epoch, tokens);
    else this.#entries.delete(number);
  }

  /**
   * Handles lost events, or an engine that restarted its sequence numbers.
   *
   * @param sequence the last sequence number that was missed
   */
  noteGap(sequence: number): void {
    this.#nextSequence = sequence + 1;
    this.#invalidate();
  }

  /**
   * Notes that a chat was served here. A chat without an entry becomes unknown
   * until an event confirms its context.
   *
   * @param workspace the chat's workspace
   * @param chat the chat's name
   * @param tokens tokens of its context
   */
  noteServed(workspace: string, chat: string, tokens: number): void {
    if (chat === '') return;
    const number = chatNumber(workspace, chat);
    const known = this.#entries.get(number);
    const epoch =
      known === undefined ? this.#epoch - 1 : Math.floor(known / EPOCH_UNIT);
    const before = known === undefined ? 0 : known % EPOCH_UNIT;
    this.#put(number, epoch, Math.max(before, tokens));
  }

  /** Clears the index after an engine restart, as the new cache is unknown. */
  reset(): void {
    this.#entries.clear();
    this.#invalidate();
  }

  #acceptSequence(sequence: number): boolean {
    const expected = this.#nextSequence;
    if (expected === undefined) this.#complete = sequence === FIRST_SEQUENCE;
    else if (sequence < expected) return false;
    else if (sequence > expected) this.#invalidate();
    this.#nextSequence = sequence + 1;
    return true;
  }

  #invalidate(): void {
    this.#epoch += 1;
    this.#complete = false;
  }

  #put(number: number, epoch: number, tokens: number): void {
    const whole = Math.min(EPOCH_UNIT - 1, Math.max(0, Math.round(tokens)));
    this.#entries.delete(number);
    this.#entries.set(number, epoch * EPOCH_UNIT + whole);
    if (this.#entries.size <= this.#maxChats) return;
    const oldest = this.#entries.keys().next().value;
    if (oldest !== undefined) this.#entries.delete(oldest);
    // An evicted entry's context may still be cached.
    this.#complete = false;
  }
}
