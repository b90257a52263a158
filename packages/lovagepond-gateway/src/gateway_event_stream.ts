/**
 * Splits a server-sent event stream into complete events and checks that their
 * ids are consecutive.
 *
 * A server may stop in the middle of an event. If the partial event were
 * forwarded, the caller would read it and the first event of the resumed stream
 * as one corrupt event.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:\s*(\d+)\s*$/m;

export type ParsedChunk =
  /** The bytes of the events completed by the chunk; may be empty. */
  | {readonly kind: 'events'; readonly bytes: Buffer}
  /** An event is missing or repeated. */
  | {readonly kind: 'broken'; readonly reason: string};

/** Parses the event stream of one response across all of its attempts. */
export class EventStream {
  #pending: Buffer = Buffer.alloc(0);
  #lastId: number | undefined;
  #count = 0;

  /** @param lastId id of the last event that the caller has, if any */
  constructor(lastId?: number) {
    this.#lastId = lastId;
  }

  /** Id of the last complete event with an id; undefined before the first. */
  get lastId(): number | undefined {
    return this.#lastId;
  }

  /** Complete events so far. */
  get count(): number {
    return this.#count;
  }

  /** True when no partial event is pending. */
  get isAtEventBoundary(): boolean {
    return this.#pending.length === 0;
  }

  /** Drops the partial event of a failed attempt. */
  discardPartialEvent(): void {
    this.#pending = Buffer.alloc(0);
  }

  /**
   * @param chunk bytes as received
   * @returns the events that the chunk completes, or why the stream is broken
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
      this.#count += 1;
      this.#pending = this.#pending.subarray(end);
    }
    return {kind: 'events', bytes: Buffer.concat(whole)};
  }

  #check(event: Buffer): string | undefined {
    const id = ID_LINE.exec(event.toString('latin1'))?.[1];
    if (id === undefined) return undefined;
    const number = Number(id);
    const expected = this.#lastId === undefined ? number : this.#lastId + 1;
    if (number !== expected) return `event ${number} follows ${this.#lastId}`;
    this.#lastId = number;
    return undefined;
  }
}

/** @returns the index after the blank line that ends an event, or -1 */
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
