/**
 * What the HTTP front hands to its handler, and what the handler answers with.
 */
import {type Failure, type Unregister} from '@lovagepond/core';

/** A caller's request after all checks of its form. */
export interface CallerRequest {
  /** Made by this process: unique, and never taken from the caller. */
  readonly requestId: string;
  readonly workspace: string;
  /** Empty when a plain service's call belongs to no chat. */
  readonly chat: string;
  readonly requestKind: string;
  readonly idempotencyKey?: string;
  /** SHA-256 of the path, a zero byte and the body. */
  readonly bodyDigest: Uint8Array;
  /** Monotonic milliseconds by which the answer must be whole. */
  readonly deadline: number;
  /** Path with its query, as the caller wrote it. */
  readonly path: string;
  readonly body: Uint8Array;
  readonly contentType: string;
  /** The answer goes out as server-sent events while it is made. */
  readonly stream: boolean;
  /** Prompt and answer together, a rough upper estimate. */
  readonly estimatedTokens: number;
}

/** Further answer headers, lower-case names to values. */
export type ResponseHeaders = Readonly<Record<string, string>>;

/**
 * Takes one request's answer.
 *
 * A streamed answer goes out as it comes; `end` adds the `[DONE]` event, which
 * the chunks must not hold. An answer that is not streamed goes out only once
 * `end` has made it whole. After `end` or `fail` further calls have no effect.
 */
export interface ResponseSink {
  /**
   * @param status HTTP status of the answer
   * @param contentType its media type
   * @param headers further headers
   */
  begin(status: number, contentType: string, headers?: ResponseHeaders): void;
  /**
   * @param chunk next bytes of the answer
   * @returns resolves when the caller can take more, or has gone; never
   *     rejects. Await it: it is the backpressure.
   */
  write(chunk: Uint8Array): Promise<void>;
  /** The answer is whole. */
  end(): void;
  /** @param failure the final answer in place of, or amid, the whole one */
  fail(failure: Failure): void;
  /**
   * @param listener called once, when the caller goes away or is ended before
   *     the answer is whole; at once when that has already happened
   * @returns a function that takes the registration back
   */
  onCancel(listener: (failure: Failure) => void): Unregister;
  /** True once the answer has ended in any way; more work on it is wasted. */
  readonly closed: boolean;
  /** True once the caller may have seen any of the answer's bytes. */
  readonly begun: boolean;
}

/** Answers requests; the router implements it. */
export interface CallerHandler {
  /**
   * @param request the request
   * @param sink where its answer goes; may be used after this returns
   * @param now present time, monotonic milliseconds
   */
  handle(
    request: CallerRequest,
    sink: ResponseSink,
    now: number,
  ): void | Promise<void>;
}

/** Limits of the HTTP front. Bytes, milliseconds and counts as named. */
export interface CallerSettings {
  readonly host: string;
  /** 0 takes a free port. */
  readonly port: number;
  readonly maxConnections: number;
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Bytes of all request bodies held at once. */
  readonly maxHeldBodyBytes: number;
  /** Largest answer that is not streamed. */
  readonly maxWholeAnswerBytes: number;
  /** Answer bytes kept for one caller who reads slower than we write. */
  readonly maxBufferedBytes: number;
  /** Longest time for a request's head, and again for its body, to arrive. */
  readonly senderTimeoutMs: number;
  /** Longest time a full buffer may stay full before the caller is ended. */
  readonly readerTimeoutMs: number;
  /** Longest idle time of a connection between requests. */
  readonly keepAliveMs: number;
  /** Deadline of a request that names none. */
  readonly defaultDeadlineMs: number;
  readonly maxDeadlineMs: number;
  /** While draining, how long new connections are still taken. */
  readonly drainGraceMs: number;
}

/** Counts since the start, for metrics and the dump. */
export interface CallerCounters {
  readonly connections: number;
  readonly inFlight: number;
  readonly requests: number;
  readonly heldBodyBytes: number;
  readonly refusedConnections: number;
  readonly malformed: number;
  /** Requests refused before the handler, by kind. */
  readonly refusedByKind: Readonly<Record<string, number>>;
  readonly slowReadersEnded: number;
  readonly callersGone: number;
}
