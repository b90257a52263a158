/**
 * What a measure returns and how it is found by name.
 */

/** One printed table. */
export interface MeasureSection {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
  /** Seed, command, units and what was scaled; one line each. */
  readonly notes: readonly string[];
}

/**
 * Runs one measure.
 *
 * @returns its tables, in the order in which they are printed
 */
export type MeasureFunction = () => Promise<readonly MeasureSection[]>;
