/**
 * Where a metric is found in a role's state dump.
 */

/** Path of a value in a state dump: the keys that lead to it. */
export type Path = readonly string[];

/** One metric and its place in the state dump; exactly one place is set. */
export interface DumpMetric {
  readonly kind: 'counter' | 'gauge';
  readonly name: string;
  readonly help: string;
  /** Path of one number or boolean. */
  readonly path?: Path;
  /** Paths of objects of numbers; their keys become values of the label. */
  readonly labelledObjects?: {
    readonly paths: readonly Path[];
    readonly label: string;
  };
  /** Paths of single numbers, by value of the label. */
  readonly parts?: {
    readonly label: string;
    readonly paths: Readonly<Record<string, Path>>;
  };
}
