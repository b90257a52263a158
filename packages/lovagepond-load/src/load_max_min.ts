/**
 * Weighted max-min fairness.
 */

/** Demand of one party, or of several equal ones with their total weight. */
export interface WeightedDemand {
  /** At least 0, in the unit of the capacity. */
  readonly offered: number;
  /** Above 0. */
  readonly weight: number;
}

/**
 * Divides a capacity so that each party gets the smaller of its demand and the
 * level times its weight, and nothing is left while a demand isn't satisfied.
 *
 * @param demands demand of each party
 * @param capacity capacity in the unit of the demands
 * @returns the level per weight; Infinity when all demands fit
 */
export function maxMinLevel(
  demands: readonly WeightedDemand[],
  capacity: number,
): number {
  const ascending = demands
    .filter(({offered}) => offered > 0)
    .sort((a, b) => a.offered / a.weight - b.offered / b.weight);
  const weightsLeft = sumsToEnd(ascending.map(({weight}) => weight));
  let capacityLeft = capacity;
  for (const [at, {offered, weight}] of ascending.entries()) {
    const level = capacityLeft / (weightsLeft[at] ?? weight);
    if (offered > level * weight) return Math.max(0, level);
    capacityLeft -= offered;
  }
  return Infinity;
}

/**
 * Subtracting a very large weight from the total would leave 0 of the others.
 *
 * @returns for each position, the sum of the values from there to the end
 */
function sumsToEnd(values: readonly number[]): readonly number[] {
  let sum = 0;
  const fromEnd = values.toReversed().map(value => (sum += value));
  return fromEnd.reverse();
}
