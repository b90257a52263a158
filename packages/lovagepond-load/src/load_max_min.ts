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
  let weightLeft = ascending.reduce((sum, {weight}) => sum + weight, 0);
  let capacityLeft = capacity;
  for (const {offered, weight} of ascending) {
    const level = capacityLeft / weightLeft;
    if (offered > level * weight) return Math.max(0, level);
    capacityLeft -= offered;
    weightLeft -= weight;
  }
  return Infinity;
}
