/**
 * The function type of a measurement and the tables that it returns.
 */

/** One printed table. */
export interface MeasureSection {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
  /** Seed, command, units and scaling; one line each. */
  readonly notes: readonly string[];
}

/**
 * Runs one measurement.
 *
 * @param args options from the command line, which most measurements ignore
 * @returns its tables in print order
 */
export type MeasureFunction = (
  args: readonly string[],
) => Promise<readonly MeasureSection[]>;
