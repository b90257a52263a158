/**
 * Seeded random numbers, injected into all code that makes random choices.
 */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';

const UINT32_SPAN = 2 ** 32;

/**
 * Spreads a seed over all bits. The generator's first number is the seed's
 * complement, so without mixing, processes seeded from the clock within one
 * second would draw the same first delay and retry or probe at the same time.
 */
function mixSeed(seed: number): number {
  let mixed = seed ^ (seed >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return mixed ^ (mixed >>> 16);
}

/** A generator that yields the same sequence for the same seed. */
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
   * @returns an exponentially distributed number, such as the time between the
   *     arrivals of a Poisson process
   */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }
}
