/**
 * Which chats' contexts the engine holds, as far as its events tell.
 *
 * Events come late and with gaps. An entry older than the last gap is unknown:
 * counted as warm it would send chats to a rebuild, counted as cold it would
 * send them away from their context.
 */
import {type ChatWarmth, WARMTH} from './sidecar_types.js';

/** Room for 2^32 tokens below the epoch in one packed number. */
const EPOCH_UNIT = 2 ** 32;
const UNKNOWN: ChatWarmth = Object.freeze({
  warmth: WARMTH.UNKNOWN,
  tokens: 0,
});
const COLD: ChatWarmth = Object.freeze({warmth: WARMTH.COLD, tokens: 0});
/** Number of an engine's first event: nothing was cached before it. */
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
 * A chat as a number of 52 bits, so that an index entry needs no string. Two
 * chats of one sidecar share a number once in some 10^7 sidecars with 16,384
 * chats each; the result is one rebuild, never a wrong answer.
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

/** Bounded index of the engine's cached chats, least recently used last. */
export class SidecarCacheIndex {
  readonly #maxChats: number;
  /** Chat number to `epoch * 2^32 + tokens`; oldest use first. */
  readonly #entries = new Map<number, number>();
  /** Rises with each gap; an entry of a former one is unknown. */
  #epoch = 1;
  #nextSequence: number | undefined;
  /** Absent chats are cold: every event since the engine's start was seen. */
  #complete = false;

  /** @param maxChats entries kept at most */
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
   * @returns what is known of its context
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
   * @param sequence the event's number; a jump is a gap, an old one a copy
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
   * Events were lost, or the engine restarted and counts from its beginning.
   *
   * @param sequence the number up to which nothing is known
   */
  noteGap(sequence: number): void {
    this.#nextSequence = sequence + 1;
    this.#invalidate();
  }

  /**
   * A chat was served here; its context may be cached until an event says so.
   *
   * @param workspace the chat's workspace
   * @param chat the chat's name
   * @param tokens its context
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

  /** The engine restarted: what it held is gone; what it holds is unknown. */
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
    // What was dropped for space may well be warm.
    this.#complete = false;
  }
}
