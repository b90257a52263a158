/**
 * Measures the answers to a router's requests, from their placement on.
 */
import {
  POOL_KIND,
  type ResponseTimes,
  type ResponseWork,
} from '@lovagepond/core';
import {type Eligible} from './router_eligibility.js';
import {type FrameBody} from './router_frames.js';
import {type RequestRunner} from './router_request_runner.js';

const FIRST_ERROR_STATUS = 400;

interface Times {
  readonly work: ResponseWork;
  readonly placedAt: number;
  firstAt: number | undefined;
}

/** A complete successful answer. */
export interface MeasuredAnswer {
  readonly work: ResponseWork;
  readonly times: ResponseTimes;
}

/**
 * @param runner a request's runner
 * @param eligible the servers that may serve the request
 * @returns what is known of the length of its answer
 */
export function workOf(
  {request}: RequestRunner,
  {set}: Eligible,
): ResponseWork {
  const [pool] = set.pools;
  // The time that an engine needs grows with the tokens, streamed or not.
  const isStream = request.stream || pool?.kind === POOL_KIND.ENGINE;
  const outputTokens = request.estimatedTokens;
  return {pool: pool?.name ?? '', isStream, outputTokens};
}

/** The times of the open attempts, by runner. */
export class AnswerTimes {
  readonly #times = new WeakMap<RequestRunner, Times>();

  /**
   * @param runner a request that is about to be sent to a server
   * @param work what is known of the length of its answer
   * @param now current time, monotonic milliseconds
   */
  notePlaced(runner: RequestRunner, work: ResponseWork, now: number): void {
    this.#times.set(runner, {work, placedAt: now, firstAt: undefined});
  }

  /**
   * @param runner the runner that received a frame
   * @param body the frame's body
   * @param now current time, monotonic milliseconds
   * @returns the answer if the frame completes a successful one, unless its
   *     caller delayed it by reading slowly
   */
  noteFrame(
    runner: RequestRunner,
    body: FrameBody,
    now: number,
  ): MeasuredAnswer | undefined {
    const times = this.#times.get(runner);
    if (!times) return undefined;
    if (body.kind === 'chunk') times.firstAt ??= now;
    if (body.kind !== 'end') return undefined;
    this.#times.delete(runner);
    if (body.status >= FIRST_ERROR_STATUS) return undefined;
    if (runner.wasBlocked) return undefined;
    const {work, placedAt, firstAt = now} = times;
    const firstMs = firstAt - placedAt;
    const totalMs = now - placedAt;
    return {work, times: {firstMs, totalMs, events: undefined}};
  }
}
