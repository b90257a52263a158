/**
 * Seeded random numbers, passed to every decider that draws.
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

const UINT32_SPAN = 2 ** 32;

/** A source of random numbers that repeats itself for the same seed. */
export class Random {
  readonly #generator: RandomGenerator;

  /** @param seed any 32-bit integer */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
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
