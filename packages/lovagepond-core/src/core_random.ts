/**
 * Seeded random numbers, passed to every decider that draws.
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

const UINT32_SPAN = 2 ** 32;

/**
 * Spreads a seed over all bits. The generator's first number is the seed's
 * complement: processes seeded from the clock in the same second would all
 * draw the same first delay, and come back or probe together.
 */
function mixSeed(seed: number): number {
  let mixed = seed ^ (seed >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return mixed ^ (mixed >>> 16);
}

/** A source of random numbers that repeats itself for the same seed. */
export class Random {
  readonly #generator: RandomGenerator;

  /** @param seed any 32-bit integer */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(mixSeed(seed));
  }

  /** @returns a number in [0, 1) */
  next(): number {
    return (this.#generator.next() >>> 0) / UINT32_SPAN;
  }

  /**
   * @param limit a positive integer
   * @returns an integer in [0, limit)
   */
  below(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  /**
   * @param items a non-empty list
   * @returns one of the items
   */
  pick<Item>(items: readonly Item[]): Item {
    return items[this.below(items.length)] as Item;
  }

  /**
   * @param mean the mean of the distribution, in any unit
   * @returns an exponentially distributed number, as between random arrivals
   */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }
}
