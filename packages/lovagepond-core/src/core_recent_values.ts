/**
 * The largest and the usual values of a sliding time window, in a fixed number
 * of slices.
 */

const SLICE_MS = 15_000;
const SLICES = 5;

/** Values count for at least this time, and for one slice more at most, ms. */
export const RECENT_MS = SLICE_MS * (SLICES - 1);

/** Standard deviations between the mean value and what counts as usual. */
const USUAL_DEVIATIONS = 2;

/** No value was noted in the slice. */
const UNUSED = -1;

/** What each slice begins with; then follow its fields. */
const SLICE = Object.freeze({NUMBER: 0, NOTES: 1, FIELDS: 2});

/** What a slice keeps of each field. */
const FIELD = Object.freeze({LARGEST: 0, SUM: 1, SQUARES: 2, SIZE: 3});

/** The recent values of one field. */
export interface RecentField {
  readonly largest: number;
  /** Most recent values don't exceed it; at most the largest. */
  readonly usual: number;
}

/** Notes of recent values. */
export class RecentValues {
  readonly #sliceSize: number;
  readonly #slices: Float64Array;
  #since = 0;
  #newest = UNUSED;

  /** @param fields number of values of each note */
  constructor(fields: number) {
    this.#sliceSize = SLICE.FIELDS + fields * FIELD.SIZE;
    this.#slices = new Float64Array(SLICES * this.#sliceSize);
    for (let place = 0; place < SLICES; place += 1) {
      this.#set(place * this.#sliceSize + SLICE.NUMBER, UNUSED);
    }
  }

  /** Start of what was measured first without a longer break, monotonic ms. */
  get since(): number {
    return this.#since;
  }

  /**
   * @param values one value for each field, none of them negative
   * @param beganAt start of what was measured, monotonic milliseconds
   * @param now current time, monotonic milliseconds
   */
  note(values: readonly number[], beganAt: number, now: number): void {
    if (this.isEmpty(now)) this.#since = beganAt;
    const number = sliceNumber(now);
    const start = (number % SLICES) * this.#sliceSize;
    if (this.#get(start + SLICE.NUMBER) !== number) {
      this.#slices.fill(0, start, start + this.#sliceSize);
      this.#set(start + SLICE.NUMBER, number);
    }
    this.#newest = number;
    this.#add(start + SLICE.NOTES, 1);
    let at = start + SLICE.FIELDS;
    for (const value of values) {
      const largest = this.#get(at + FIELD.LARGEST);
      this.#set(at + FIELD.LARGEST, Math.max(largest, value));
      this.#add(at + FIELD.SUM, value);
      this.#add(at + FIELD.SQUARES, value ** 2);
      at += FIELD.SIZE;
    }
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns true if there is no recent note
   */
  isEmpty(now: number): boolean {
    return !isRecent(this.#newest, now);
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns the number of recent notes
   */
  count(now: number): number {
    let count = 0;
    for (const start of this.#recentSlices(now)) {
      count += this.#get(start + SLICE.NOTES);
    }
    return count;
  }

  /**
   * @param field index of a field
   * @param now current time, monotonic milliseconds
   * @returns its recent values; zeros without a recent note
   */
  field(field: number, now: number): RecentField {
    let notes = 0;
    let largest = 0;
    let sum = 0;
    let squares = 0;
    for (const start of this.#recentSlices(now)) {
      const at = start + SLICE.FIELDS + field * FIELD.SIZE;
      notes += this.#get(start + SLICE.NOTES);
      largest = Math.max(largest, this.#get(at + FIELD.LARGEST));
      sum += this.#get(at + FIELD.SUM);
      squares += this.#get(at + FIELD.SQUARES);
    }
    if (notes === 0) return {largest: 0, usual: 0};
    const mean = sum / notes;
    const deviation = Math.sqrt(Math.max(0, squares / notes - mean ** 2));
    const usual = Math.min(largest, mean + USUAL_DEVIATIONS * deviation);
    return {largest, usual};
  }

  /** Returns where the recent slices begin. */
  #recentSlices(now: number): number[] {
    const starts: number[] = [];
    for (let place = 0; place < SLICES; place += 1) {
      const start = place * this.#sliceSize;
      if (isRecent(this.#get(start + SLICE.NUMBER), now)) starts.push(start);
    }
    return starts;
  }

  #get(at: number): number {
    return this.#slices[at] ?? 0;
  }

  #set(at: number, value: number): void {
    this.#slices[at] = value;
  }

  #add(at: number, value: number): void {
    this.#set(at, this.#get(at) + value);
  }
}

function sliceNumber(now: number): number {
  return Math.floor(now / SLICE_MS);
}

function isRecent(slice: number, now: number): boolean {
  return slice !== UNUSED && slice > sliceNumber(now) - SLICES;
}
