/**
 * One attempt's way to its router: the answer is kept until it was sent, sent
 * as fast as the router reads, and sent again over a new stream when the old
 * one went silent.
 */
import {type Failure, makeFailure} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {AnswerBuffer, type AnswerPiece} from './sidecar_answer_buffer.js';
import {
  type AnswerHead,
  type FrameBody,
  HEARTBEAT_FRAME,
  makeChunk,
  makeEnd,
  makeFailed,
} from './sidecar_frames.js';

/** The stream of frames to a router, as the gRPC server gives it. */
export interface FrameStream {
  /** @returns false when the router reads too slowly; `onDrain` follows */
  write(body: FrameBody): boolean;
  end(): void;
}

const NO_HEAD: AnswerHead = Object.freeze({status: 200, contentType: ''});

/** An attempt from its arrival until its answer is no longer asked for. */
export class SidecarSession {
  readonly request: lovagepond.v1.AttemptRequest;
  /** When the caller's deadline passes. */
  readonly deadlineAt: number;
  readonly #buffer: AnswerBuffer;
  #stream: FrameStream | undefined;
  #detachedAt: number | undefined;
  #head = NO_HEAD;
  /** Offset behind the last byte sent over the present stream. */
  #sentEnd = 0;
  #blocked = false;
  #nextHeartbeatAt = 0;
  #started: FrameBody | undefined;
  /** The last frame: end or failure. */
  #finalFrame: FrameBody | undefined;
  #closedAt: number | undefined;
  #onRoom: (() => void) | undefined;

  /**
   * @param request the attempt
   * @param now present time
   * @param maxAnswerBytes answer bytes kept for a router that comes back
   */
  constructor(
    request: lovagepond.v1.AttemptRequest,
    now: number,
    maxAnswerBytes: number,
  ) {
    this.request = request;
    this.deadlineAt = now + request.deadlineLeftMs;
    this.#buffer = new AnswerBuffer(maxAnswerBytes);
  }

  /** @returns length of the answer so far */
  get answerBytes(): number {
    return this.#buffer.end;
  }

  /** @returns status and content type of the answer */
  get head(): AnswerHead {
    return this.#head;
  }

  /** @returns true while a router's stream waits for something */
  get attached(): boolean {
    return this.#stream !== undefined;
  }

  /** @returns when the last router went away; undefined while one is there */
  get detachedAt(): number | undefined {
    return this.#detachedAt;
  }

  /** @returns when the last frame was due; undefined while it goes on */
  get closedAt(): number | undefined {
    return this.#closedAt;
  }

  /**
   * A new stream takes the place of any former one.
   *
   * @param stream the router's stream
   * @param resumeFrom bytes of the answer that the router has
   * @param now present time
   */
  attach(stream: FrameStream, resumeFrom: number, now: number): void {
    const former = this.#stream;
    this.#stream = stream;
    this.#detachedAt = undefined;
    this.#blocked = false;
    former?.end();
    if (resumeFrom < this.#buffer.base || resumeFrom > this.#buffer.end) {
      this.#write(makeFailed(makeFailure('answerTruncated')));
      this.#endStream();
      this.#detachedAt = now;
      return;
    }
    this.#sentEnd = resumeFrom;
    if (this.#started) this.#write(this.#started);
    this.#flush();
  }

  /**
   * @param stream the stream that is gone; a former one changes nothing
   * @param now present time
   */
  detach(stream: FrameStream, now: number): void {
    if (this.#stream !== stream) return;
    this.#stream = undefined;
    this.#detachedAt = now;
    this.#blocked = false;
  }

  /** @param stream the stream that takes frames again */
  onDrain(stream: FrameStream): void {
    if (this.#stream !== stream) return;
    this.#blocked = false;
    this.#flush();
  }

  /** @param body a frame that stands outside of the answer's bytes */
  send(body: FrameBody): void {
    this.#write(body);
  }

  /** @param body the frame that tells of the dispatch; sent once a stream */
  start(body: FrameBody): void {
    if (this.#started) return;
    this.#started = body;
    this.#write(body);
  }

  /** @returns the answer, or undefined when its beginning is not kept */
  wholeAnswer(): Uint8Array | undefined {
    return this.#buffer.whole();
  }

  /** @param head status and content type of the answer */
  setHead(head: AnswerHead): void {
    this.#head = head;
  }

  /**
   * @param piece the next bytes
   * @returns false when they don't follow the former ones
   */
  append(piece: AnswerPiece): boolean {
    if (!this.#buffer.append(piece)) return false;
    this.#flush();
    return true;
  }

  /**
   * The answer is whole.
   *
   * @param now present time
   */
  finish(now: number): void {
    this.#close(makeEnd(this.#buffer.end, this.#head), now);
  }

  /**
   * @param failure why the attempt failed after its dispatch
   * @param now present time
   * @param crashedLife life of the backend server that ended meanwhile, if any
   */
  fail(failure: Failure, now: number, crashedLife?: string): void {
    this.#close(makeFailed(failure, crashedLife), now);
  }

  /**
   * @param body the refusal
   * @param now present time
   */
  refuse(body: FrameBody, now: number): void {
    this.#close(body, now);
  }

  /**
   * @param now present time
   * @param intervalMs longest time without a frame
   */
  sendHeartbeat(now: number, intervalMs: number): void {
    if (now < this.#nextHeartbeatAt || this.#blocked) return;
    this.#nextHeartbeatAt = now + intervalMs;
    if (this.#stream && this.#closedAt === undefined) {
      this.#write(HEARTBEAT_FRAME);
    }
  }

  /**
   * Backpressure towards the backend server: its answer is not read while the
   * router doesn't read ours, so that memory stays within the limit.
   *
   * @param maxUnsentBytes unsent bytes up to which reading goes on
   * @returns resolves when the next piece may be read
   */
  async waitForRoom(maxUnsentBytes: number): Promise<void> {
    while (this.#buffer.end - this.#sentEnd > maxUnsentBytes) {
      await new Promise<void>(resolve => {
        this.#onRoom = resolve;
      });
    }
  }

  /** The run is given up: whoever waits for room goes on. */
  abandon(): void {
    this.#sentEnd = this.#buffer.end;
    this.#notifyRoom();
  }

  #flush(): void {
    while (this.#stream && !this.#blocked) {
      const piece = this.#buffer.read(this.#sentEnd);
      if (!piece) break;
      this.#sentEnd = piece.offset + piece.bytes.length;
      this.#write(makeChunk(piece, this.#head));
    }
    this.#buffer.trim(this.#sentEnd);
    this.#notifyRoom();
    const sent = this.#sentEnd >= this.#buffer.end;
    if (!this.#finalFrame || !this.#stream || !sent) return;
    this.#write(this.#finalFrame);
    this.#endStream();
  }

  #close(body: FrameBody, now: number): void {
    if (this.#closedAt !== undefined) return;
    this.#finalFrame = body;
    this.#closedAt = now;
    this.#flush();
  }

  #write(body: FrameBody): void {
    if (!this.#stream) return;
    if (!this.#stream.write(body)) this.#blocked = true;
  }

  #endStream(): void {
    const stream = this.#stream;
    this.#stream = undefined;
    stream?.end();
  }

  #notifyRoom(): void {
    const onRoom = this.#onRoom;
    this.#onRoom = undefined;
    onRoom?.();
  }
}
