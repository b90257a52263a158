/**
 * Assigns backend servers their positions in the load digest.
 */
import {invariant} from '@lovagepond/core';

interface FreedSlot {
  readonly slot: number;
  readonly at: number;
}

/**
 * Assigns each server a slot while it is in the list. A released slot is reused
 * only after a delay, as a router that still holds the older list would take
 * the new server's load for that of the server that left.
 */
export class SlotTable {
  readonly #reuseDelayMs: number;
  readonly #slots = new Map<string, number>();
  #freed: FreedSlot[] = [];
  #length = 0;

  /** @param reuseDelayMs time before a released slot is reused */
  constructor(reuseDelayMs: number) {
    this.#reuseDelayMs = reuseDelayMs;
  }

  /** Number of slots, which is the number of bytes in the digest. */
  get length(): number {
    return this.#length;
  }

  /**
   * @param name a server
   * @param now monotonic milliseconds
   * @returns the server's slot
   */
  assign(name: string, now: number): number {
    const known = this.#slots.get(name);
    if (known !== undefined) return known;
    const slot = this.#claimReusable(now) ?? this.#length;
    this.#length = Math.max(this.#length, slot + 1);
    this.#slots.set(name, slot);
    return slot;
  }

  /**
   * Adopts a slot that a previous leader assigned.
   *
   * @param name a server
   * @param slot the server's slot
   * @param now monotonic milliseconds
   */
  adopt(name: string, slot: number, now: number): void {
    invariant(!this.#slots.has(name), 203, 'the server has a slot already');
    for (let gap = this.#length; gap < slot; gap += 1) {
      this.#freed.push({slot: gap, at: now});
    }
    this.#freed = this.#freed.filter(freed => freed.slot !== slot);
    this.#length = Math.max(this.#length, slot + 1);
    this.#slots.set(name, slot);
  }

  /**
   * @param name the server that left
   * @param now monotonic milliseconds
   */
  release(name: string, now: number): void {
    const slot = this.#slots.get(name);
    if (slot === undefined) return;
    this.#slots.delete(name);
    this.#freed.push({slot, at: now});
  }

  /** Claims the lowest reusable slot, to keep the digest short. */
  #claimReusable(now: number): number | undefined {
    let best: FreedSlot | undefined;
    for (const freed of this.#freed) {
      if (now - freed.at < this.#reuseDelayMs) continue;
      if (!best || freed.slot < best.slot) best = freed;
    }
    if (!best) return undefined;
    this.#freed = this.#freed.filter(freed => freed !== best);
    return best.slot;
  }
}
