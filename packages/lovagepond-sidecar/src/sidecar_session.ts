/**
 * Delivers the answer of one attempt to its router. The answer is buffered
 * until it is sent, sent as fast as the router reads, and resumed over a new
 * stream when the old one is lost.
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

/** Stream of frames to a router, as provided by the gRPC server. */
export interface FrameStream {
  /**
   * @returns false when the stream is congested; {@link SidecarSession.onDrain}
   *     is called once it accepts frames again
   */
  write(body: FrameBody): boolean;
  end(): void;
}

const NO_HEAD: AnswerHead = Object.freeze({status: 200, contentType: ''});

/** An attempt from its arrival until its answer is no longer kept. */
export class SidecarSession {
  readonly request: lovagepond.v1.AttemptRequest;
  /** Time of the caller's deadline, monotonic milliseconds. */
  readonly deadlineAt: number;
  readonly #buffer: AnswerBuffer;
  #stream: FrameStream | undefined;
  #detachedAt: number | undefined;
  #head = NO_HEAD;
  /** Offset after the last byte sent over the current stream. */
  #sentEnd = 0;
  #blocked = false;
  #nextHeartbeatAt = 0;
  #started: FrameBody | undefined;
  /** Final frame: end, failure or refusal. */
  #finalFrame: FrameBody | undefined;
  #closedAt: number | undefined;
  #onRoom: (() => void) | undefined;
  #wasReadSlowly = false;

  /**
   * @param request the attempt
   * @param now current time
   * @param maxAnswerBytes answer bytes kept for a router that reconnects
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

  /** @returns true while a router's stream is attached */
  get attached(): boolean {
    return this.#stream !== undefined;
  }

  /** @returns true once reading from the backend server has paused */
  get wasReadSlowly(): boolean {
    return this.#wasReadSlowly;
  }

  /** @returns when the last stream was lost; undefined while one is attached */
  get detachedAt(): number | undefined {
    return this.#detachedAt;
  }

  /** @returns when the final frame was queued; undefined before */
  get closedAt(): number | undefined {
    return this.#closedAt;
  }

  /**
   * Attaches a stream, which replaces any former one.
   *
   * @param stream the router's stream
   * @param resumeFrom number of answer bytes that the router already has
   * @param now current time
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
   * @param stream the closed stream; a former stream is ignored
   * @param now current time
   */
  detach(stream: FrameStream, now: number): void {
    if (this.#stream !== stream) return;
    this.#stream = undefined;
    this.#detachedAt = now;
    this.#blocked = false;
  }

  /** @param stream the stream that accepts frames again */
  onDrain(stream: FrameStream): void {
    if (this.#stream !== stream) return;
    this.#blocked = false;
    this.#flush();
  }

  /** @param body a frame that carries no answer bytes */
  send(body: FrameBody): void {
    this.#write(body);
  }

  /** @param body the frame that reports the dispatch; sent once per stream */
  start(body: FrameBody): void {
    if (this.#started) return;
    this.#started = body;
    this.#write(body);
  }

  /** @returns the complete answer; undefined when its beginning was dropped */
  wholeAnswer(): Uint8Array | undefined {
    return this.#buffer.whole();
  }

  /** @param head status and content type of the answer */
  setHead(head: AnswerHead): void {
    this.#head = head;
  }

  /**
   * @param piece the next bytes of the answer
   * @returns false when they do not continue the answer
   */
  append(piece: AnswerPiece): boolean {
    if (!this.#buffer.append(piece)) return false;
    this.#flush();
    return true;
  }

  /**
   * Queues the end frame of a complete answer.
   *
   * @param now current time
   */
  finish(now: number): void {
    this.#close(makeEnd(this.#buffer.end, this.#head), now);
  }

  /**
   * @param failure why the attempt failed after its dispatch
   * @param now current time
   * @param crashedInstance backend instance that ended during the run, if any
   */
  fail(failure: Failure, now: number, crashedInstance?: string): void {
    this.#close(makeFailed(failure, crashedInstance), now);
  }

  /**
   * @param body the refusal
   * @param now current time
   */
  refuse(body: FrameBody, now: number): void {
    this.#close(body, now);
  }

  /**
   * @param now current time
   * @param intervalMs longest time without a frame, milliseconds
   */
  sendHeartbeat(now: number, intervalMs: number): void {
    if (now < this.#nextHeartbeatAt || this.#blocked) return;
    this.#nextHeartbeatAt = now + intervalMs;
    if (this.#stream && this.#closedAt === undefined) {
      this.#write(HEARTBEAT_FRAME);
    }
  }

  /**
   * Applies backpressure to the backend server: its answer is not read while
   * too many bytes are unsent, which bounds the memory of slow readers.
   *
   * @param maxUnsentBytes number of unsent bytes up to which reading continues
   * @returns resolves when the next piece may be read
   */
  async waitForRoom(maxUnsentBytes: number): Promise<void> {
    while (this.#buffer.end - this.#sentEnd > maxUnsentBytes) {
      this.#wasReadSlowly = true;
      await new Promise<void>(resolve => {
        this.#onRoom = resolve;
      });
    }
  }

  /** Stops applying backpressure to a cancelled run, so that it can end. */
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
