/**
 * Random draws of a simulation.
 */
import {type Random} from '@lovagepond/core';
import {type LengthDistribution} from './gateway_simulation_types.js';

/**
 * Log-normal; the sum of twelve uniform draws is approximately normal.
 *
 * @param random draws the length
 * @param distribution its mean, spread and limit
 * @returns a whole number of at least 1
 */
export function drawLength(
  random: Random,
  {mean, spread, max}: LengthDistribution,
): number {
  let normal = -6;
  for (let draw = 0; draw < 12; draw += 1) normal += random.next();
  const drawn = mean * Math.exp(spread * normal - spread ** 2 / 2);
  return Math.max(1, Math.round(Math.min(max, drawn)));
}

/**
 * @param random draws the items
 * @param items what to draw from
 * @param share part of the items, at least one of them
 * @returns different items
 */
export function drawItems<Item>(
  random: Random,
  items: readonly Item[],
  share: number,
): readonly Item[] {
  const left = [...items];
  const drawn: Item[] = [];
  const count = Math.max(1, Math.round(share * items.length));
  while (drawn.length < count && left.length > 0) {
    drawn.push(...left.splice(random.below(left.length), 1));
  }
  return drawn;
}
