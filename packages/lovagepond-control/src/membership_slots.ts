/**
 * Positions of backend servers in the load digest.
 */
import {invariant} from '@lovagepond/core';

interface FreedSlot {
  readonly slot: number;
  readonly at: number;
}

/**
 * Gives each server a slot for as long as it is in the list. A freed slot
 * rests before it is given again: a router that still holds the older list
 * would read the newcomer's load as that of the server that left.
 */
export class SlotTable {
  readonly #reuseDelayMs: number;
  readonly #slots = new Map<string, number>();
  #freed: FreedSlot[] = [];
  #length = 0;

  /** @param reuseDelayMs time a freed slot rests */
  constructor(reuseDelayMs: number) {
    this.#reuseDelayMs = reuseDelayMs;
  }

  /** Number of slots, and so of bytes in the digest. */
  get length(): number {
    return this.#length;
  }

  /**
   * @param name a server
   * @param now monotonic milliseconds
   * @returns its slot
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
   * Takes over a slot that a former leader gave.
   *
   * @param name a server
   * @param slot its slot
   * @param now monotonic milliseconds
   */
  adopt(name: string, slot: number, now: number): void {
    invariant(!this.#slots.has(name), 203, 'slot of a known server');
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

  /** Lowest first, so that the digest stays short. */
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
