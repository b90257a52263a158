/**
 * A permutation of 16-bit positions, selected by a 64-bit key.
 *
 * It consists of four rounds of XOR with a key, multiplication by an odd number
 * and XOR with a shift. Each step is invertible, so the permutation maps ranks
 * to positions and positions to ranks.
 */
import {type HashKey} from './router_rendezvous_hash.js';

const MASK = 0xffff;
const HALF_BITS = 8;
const MULTIPLIERS = [0x9e35, 0x6a6b, 0xd2a9, 0x85eb] as const;
const INVERSES = MULTIPLIERS.map(invertOdd) as unknown as Words;

type Words = readonly [number, number, number, number];

export const POSITION_COUNT = MASK + 1;

/** The round keys of one permutation. */
export type PermutationKey = Words;

/** Inverse of an odd number modulo 2^16, by Newton's iteration. */
function invertOdd(odd: number): number {
  let inverse = odd;
  for (let step = 0; step < 4; step++) {
    inverse = Math.imul(inverse, 2 - Math.imul(odd, inverse)) & MASK;
  }
  return inverse;
}

/**
 * @param key the hash of a chat
 * @returns the round keys of its permutation
 */
export function makePermutationKey(key: HashKey): PermutationKey {
  return [key.low & MASK, key.low >>> 16, key.high & MASK, key.high >>> 16];
}

function mixForward(x: number, key: number, multiplier: number): number {
  const mixed = Math.imul(x ^ key, multiplier) & MASK;
  return mixed ^ (mixed >>> HALF_BITS);
}

function mixBackward(x: number, key: number, inverse: number): number {
  const shifted = x ^ (x >>> HALF_BITS);
  return (Math.imul(shifted, inverse) & MASK) ^ key;
}

/**
 * @param rank the rank; 0 is the most preferred
 * @param key the round keys of the permutation
 * @returns the position at the rank
 */
export function positionOfRank(rank: number, key: PermutationKey): number {
  let x = mixForward(rank, key[0], MULTIPLIERS[0]);
  x = mixForward(x, key[1], MULTIPLIERS[1]);
  x = mixForward(x, key[2], MULTIPLIERS[2]);
  return mixForward(x, key[3], MULTIPLIERS[3]);
}

/**
 * @param position a position
 * @param key the round keys of the permutation
 * @returns its rank: the inverse of {@link positionOfRank}
 */
export function rankOfPosition(position: number, key: PermutationKey): number {
  let x = mixBackward(position, key[3], INVERSES[3]);
  x = mixBackward(x, key[2], INVERSES[2]);
  x = mixBackward(x, key[1], INVERSES[1]);
  return mixBackward(x, key[0], INVERSES[0]);
}
