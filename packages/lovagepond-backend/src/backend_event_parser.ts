/**
 * Streaming parser for server-sent events with a size limit.
 */

/** One event: its raw bytes and its parsed fields. */
export interface ServerSentEvent {
  /** Raw bytes, including the blank line at the end. */
  readonly bytes: Buffer;
  /** The `event` field, empty for a plain message. */
  readonly name: string;
  /** The `data` lines joined by line feeds; empty for a comment. */
  readonly data: string;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY = Buffer.alloc(0);

function readEvent(bytes: Buffer): ServerSentEvent {
  let name = '';
  const data: string[] = [];
  for (const line of bytes.toString('utf8').split(/\r?\n/)) {
    if (line.startsWith('data:')) data.push(line.slice(5).replace(/^ /, ''));
    else if (line.startsWith('event:')) name = line.slice(6).trim();
  }
  return {bytes, name, data: data.join('\n')};
}

/** @returns position after the first blank line, -1 when there is none */
function findEventEnd(bytes: Buffer): number {
  let at = bytes.indexOf(LINE_FEED);
  while (at >= 0) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) return at + 2;
    if (next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return -1;
}

/** Buffers chunks and returns complete events. */
export class EventParser {
  readonly #maxEventBytes: number;
  #rest: Buffer = EMPTY;

  /** @param maxEventBytes limit for the buffered part of an event */
  constructor(maxEventBytes: number) {
    this.#maxEventBytes = maxEventBytes;
  }

  /**
   * @param chunk the next bytes of the stream
   * @returns the events that are now complete, or undefined when the buffered
   *     part of an incomplete event exceeds the limit
   */
  push(chunk: Buffer): ServerSentEvent[] | undefined {
    let bytes =
      this.#rest.length > 0 ? Buffer.concat([this.#rest, chunk]) : chunk;
    const events: ServerSentEvent[] = [];
    for (let end = findEventEnd(bytes); end >= 0; end = findEventEnd(bytes)) {
      events.push(readEvent(bytes.subarray(0, end)));
      bytes = bytes.subarray(end);
    }
    if (bytes.length > this.#maxEventBytes) return undefined;
    this.#rest = bytes;
    return events;
  }

  /** Discards an incomplete event before a new connection. */
  reset(): void {
    this.#rest = EMPTY;
  }
}
