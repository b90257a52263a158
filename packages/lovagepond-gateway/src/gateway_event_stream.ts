/**
 * Cuts a stream of events into whole events and checks their numbers.
 *
 * A server may stop in the middle of an event. Passed on, the half event and
 * the next run's first one would read as one event that nobody made.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:\s*(\d+)\s*$/m;

/** What became of a piece of a stream. */
export type ParsedChunk =
  /** Whole events, as they came; may be empty. */
  | {readonly kind: 'events'; readonly bytes: Buffer}
  /** An event is missing or comes twice. */
  | {readonly kind: 'broken'; readonly reason: string};

/** Follows one answer's stream, over all of its runs. */
export class EventStream {
  #pending: Buffer = Buffer.alloc(0);
  #lastId: number | undefined;

  /** Number of the last whole event; undefined before one. */
  get lastId(): number | undefined {
    return this.#lastId;
  }

  /** True between events. */
  get isAtEventBoundary(): boolean {
    return this.#pending.length === 0;
  }

  /** Forgets the half event of a run that broke off. */
  discardPartialEvent(): void {
    this.#pending = Buffer.alloc(0);
  }

  /**
   * @param chunk bytes as they came
   * @returns the events that are whole by now
   */
  take(chunk: Buffer): ParsedChunk {
    this.#pending =
      this.#pending.length === 0
        ? chunk
        : Buffer.concat([this.#pending, chunk]);
    const whole: Buffer[] = [];
    for (;;) {
      const end = findEventEnd(this.#pending);
      if (end < 0) break;
      const event = this.#pending.subarray(0, end);
      const reason = this.#check(event);
      if (reason) return {kind: 'broken', reason};
      whole.push(event);
      this.#pending = this.#pending.subarray(end);
    }
    return {kind: 'events', bytes: Buffer.concat(whole)};
  }

  #check(event: Buffer): string | undefined {
    const id = ID_LINE.exec(event.toString('latin1'))?.[1];
    if (id === undefined) return undefined;
    const number = Number(id);
    const expected = this.#lastId === undefined ? number : this.#lastId + 1;
    if (number !== expected) return `event ${number} after ${this.#lastId}`;
    this.#lastId = number;
    return undefined;
  }
}

/** @returns the index behind the blank line that ends an event, or -1 */
function findEventEnd(bytes: Buffer): number {
  let at = bytes.indexOf(LINE_FEED);
  while (at >= 0) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) return at + 2;
    const isCrLf = next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED;
    if (isCrLf) return at + 3;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
}
