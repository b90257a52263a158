/**
 * The largest and the usual values of a sliding time window, in a fixed number
 * of slices.
 */

const SLICE_MS = 15_000;
const SLICES = 5;

/** Values count for at least this time, and for one slice more at most, ms. */
export const RECENT_MS = SLICE_MS * (SLICES - 1);

/** No value was noted in the slice. */
const UNUSED = -1;

/** Standard deviations between the mean value and what counts as usual. */
const USUAL_DEVIATIONS = 2;

/** What a slice keeps of each field. */
const KEPT = Object.freeze({LARGEST: 0, SUM: 1, SQUARES: 2, COUNT: 3});

/** The number of recent notes and the recent values of each field. */
export class RecentValues {
  readonly #fields: number;
  /** Number of the slice of time that each place holds. */
  readonly #slices = new Float64Array(SLICES).fill(UNUSED);
  readonly #counts = new Float64Array(SLICES);
  readonly #kept: Float64Array;
  #since = 0;
  #newest = UNUSED;

  /** @param fields number of values of each note */
  constructor(fields: number) {
    this.#fields = fields;
    this.#kept = new Float64Array(SLICES * fields * KEPT.COUNT);
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
    if (this.#slices[place] !== slice) {
      this.#slices[place] = slice;
      this.#counts[place] = 0;
      this.#kept.fill(0, this.#at(place, 0), this.#at(place + 1, 0));
    }
    this.#newest = slice;
    this.#counts[place] = (this.#counts[place] ?? 0) + 1;
    for (let field = 0; field < this.#fields; field += 1) {
      this.#add(this.#at(place, field), values[field] ?? 0);
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
      const at = this.#at(place, field) + KEPT.LARGEST;
      largest = Math.max(largest, this.#kept[at] ?? 0);
    });
    return largest;
  }

  /**
   * @param field index of a field
   * @param now current time, monotonic milliseconds
   * @returns a value that most recent ones don't exceed, and not more than the
   *     largest; 0 without a recent note
   */
  usual(field: number, now: number): number {
    const count = this.count(now);
    if (count === 0) return 0;
    const mean = this.#sum(field, KEPT.SUM, now) / count;
    const squares = this.#sum(field, KEPT.SQUARES, now) / count;
    const deviation = Math.sqrt(Math.max(0, squares - mean ** 2));
    const usual = mean + USUAL_DEVIATIONS * deviation;
    return Math.min(usual, this.largest(field, now));
  }

  #at(place: number, field: number): number {
    return (place * this.#fields + field) * KEPT.COUNT;
  }

  #add(at: number, value: number): void {
    const kept = this.#kept;
    const largest = kept[at + KEPT.LARGEST] ?? 0;
    kept[at + KEPT.LARGEST] = Math.max(largest, value);
    kept[at + KEPT.SUM] = (kept[at + KEPT.SUM] ?? 0) + value;
    kept[at + KEPT.SQUARES] = (kept[at + KEPT.SQUARES] ?? 0) + value ** 2;
  }

  #sum(field: number, kept: number, now: number): number {
    let sum = 0;
    this.#slices.forEach((slice, place) => {
      if (!this.#isRecent(slice, now)) return;
      sum += this.#kept[this.#at(place, field) + kept] ?? 0;
    });
    return sum;
  }

  #isRecent(slice: number, now: number): boolean {
    return slice > Math.floor(now / SLICE_MS) - SLICES && slice !== UNUSED;
  }
}
