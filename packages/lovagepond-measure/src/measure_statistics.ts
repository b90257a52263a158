/**
 * Percentiles of samples, kept in a histogram of bounded size.
 */
import {build, type Histogram} from 'hdr-histogram-js';

const SIGNIFICANT_DIGITS = 3;

/** A distribution of recorded samples. */
export class Distribution {
  readonly #histogram: Histogram;
  readonly #unit: number;
  #max = 0;

  /**
   * @param resolution the smallest difference to distinguish, in the unit of
   *     the values; for example 0.001 for a ratio
   */
  constructor(resolution: number) {
    this.#unit = resolution;
    this.#histogram = build({
      bitBucketSize: 32,
      autoResize: true,
      lowestDiscernibleValue: 1,
      highestTrackableValue: 2,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    });
  }

  /**
   * @param value zero or more
   * @param count weight of the value
   */
  record(value: number, count = 1): void {
    const steps = Math.round(value / this.#unit);
    this.#histogram.recordValueWithCount(steps, count);
    if (value > this.#max) this.#max = value;
  }

  /** @returns the number of recorded values */
  get count(): number {
    return this.#histogram.totalCount;
  }

  /** @returns the exact largest value; 0 without values */
  get max(): number {
    return this.#max;
  }

  /** @returns the mean; 0 without values */
  get mean(): number {
    return this.count === 0 ? 0 : this.#histogram.mean * this.#unit;
  }

  /**
   * @param percent from 0 to 100
   * @returns the percentile; 0 without values
   */
  percentile(percent: number): number {
    if (this.count === 0) return 0;
    const value = this.#histogram.getValueAtPercentile(percent) * this.#unit;
    return Math.min(value, this.#max);
  }
}

/**
 * @param part a count
 * @param whole the total that includes `part`
 * @returns the part in percent; 0 when the total is 0
 */
export function percentOf(part: number, whole: number): number {
  return whole === 0 ? 0 : (100 * part) / whole;
}

/**
 * @param value any number
 * @param digits digits after the decimal point
 * @returns the value rounded for a table
 */
export function roundTo(value: number, digits: number): number {
  const factor = 10 ** digits;
  return Math.round(value * factor) / factor;
}
