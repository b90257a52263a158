/**
 * The largest values of a sliding time window, in a fixed number of slices.
 */

const SLICE_MS = 30_000;
const SLICES = 5;

/** Values count for at least this time, and for one slice more at most, ms. */
export const RECENT_MS = SLICE_MS * (SLICES - 1);

/** No value was noted in the slice. */
const UNUSED = -1;

/** The number of recent notes and the largest recent value of each field. */
export class RecentMaxima {
  readonly #fields: number;
  /** Number of the slice of time that each place holds. */
  readonly #slices = new Float64Array(SLICES).fill(UNUSED);
  readonly #counts = new Float64Array(SLICES);
  readonly #maxima: Float64Array;
  #since = 0;
  #newest = UNUSED;

  /** @param fields number of values of each note */
  constructor(fields: number) {
    this.#fields = fields;
    this.#maxima = new Float64Array(SLICES * fields);
  }

  /**
   * @param values one value for each field, none of them negative
   * @param beganAt start of what was measured, monotonic milliseconds
   * @param now current time, monotonic milliseconds
   */
  note(values: readonly number[], beganAt: number, now: number): void {
    if (this.isEmpty(now)) this.#since = beganAt;
    const slice = Math.floor(now / SLICE_MS);
    const place = slice % SLICES;
    const first = place * this.#fields;
    if (this.#slices[place] !== slice) {
      this.#slices[place] = slice;
      this.#counts[place] = 0;
      this.#maxima.fill(0, first, first + this.#fields);
    }
    this.#newest = slice;
    this.#counts[place] = (this.#counts[place] ?? 0) + 1;
    for (let field = 0; field < this.#fields; field += 1) {
      const largest = this.#maxima[first + field] ?? 0;
      this.#maxima[first + field] = Math.max(largest, values[field] ?? 0);
    }
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns true if there is no recent note
   */
  isEmpty(now: number): boolean {
    return this.#newest === UNUSED || !this.#isRecent(this.#newest, now);
  }

  /** Start of what was measured first without a longer break, monotonic ms. */
  get since(): number {
    return this.#since;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the number of recent notes
   */
  count(now: number): number {
    let count = 0;
    this.#slices.forEach((slice, place) => {
      if (this.#isRecent(slice, now)) count += this.#counts[place] ?? 0;
    });
    return count;
  }

  /**
   * @param field index of a field
   * @param now current time, monotonic milliseconds
   * @returns its largest recent value; 0 without a recent note
   */
  largest(field: number, now: number): number {
    let largest = 0;
    this.#slices.forEach((slice, place) => {
      if (!this.#isRecent(slice, now)) return;
      const value = this.#maxima[place * this.#fields + field] ?? 0;
      largest = Math.max(largest, value);
    });
    return largest;
  }

  #isRecent(slice: number, now: number): boolean {
    return slice > Math.floor(now / SLICE_MS) - SLICES && slice !== UNUSED;
  }
}
