/**
 * Which requests a draining router may still send to a server: those whose
 * answers end before the process exits. Any other one would be cut, although
 * another router can serve it.
 */
import {
  ResponseDurations,
  type ResponseTimes,
  type ResponseWork,
} from '@lovagepond/core';

/** Time between the expected end of an answer and the process's exit, ms. */
const END_MARGIN_MS = 300;

/** Draining state of a router, and how long answers take. */
export class RouterDrain {
  readonly #durations = new ResponseDurations();
  #endsAt: number | undefined;

  /** @param endsAt when the process exits at the latest, monotonic ms */
  begin(endsAt: number): void {
    this.#endsAt = endsAt;
  }

  /**
   * @param work what is known of the answer's length
   * @param times the measured times of a complete successful answer
   * @param now current time, monotonic milliseconds
   */
  noteAnswered(work: ResponseWork, times: ResponseTimes, now: number): void {
    this.#durations.noteAnswered(work, times, now);
  }

  /**
   * @param work what is known of the answer's length
   * @param deadline the request's deadline, monotonic milliseconds
   * @param now current time, monotonic milliseconds
   * @returns the latest time at which the request may be run; Infinity when its
   *     deadline comes before the exit
   */
  latestRunAt(work: ResponseWork, deadline: number, now: number): number {
    if (this.#endsAt === undefined) return Infinity;
    const answerBy = this.#endsAt - END_MARGIN_MS;
    if (deadline <= answerBy) return Infinity;
    const boundMs = this.#durations.boundMs(work, now) ?? Infinity;
    return answerBy - boundMs;
  }
}
