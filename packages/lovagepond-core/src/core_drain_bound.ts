/**
 * Which requests a draining process may still run: those whose answers end
 * before its exit. Any other one would be cut, although another process can
 * serve it.
 */
import {
  ResponseDurations,
  type ResponseTimes,
  type ResponseWork,
} from './core_response_durations.js';

/** Time between the expected end of an answer and the process's exit, ms. */
const END_MARGIN_MS = 300;

/** Draining state of a process, and how long answers take. */
export class DrainBound {
  readonly #durations = new ResponseDurations();
  #endsAt: number | undefined;

  get isDraining(): boolean {
    return this.#endsAt !== undefined;
  }

  /**
   * @param endsAt when the process exits at the latest, monotonic milliseconds;
   *     an earlier exit that is known already stays in force
   */
  begin(endsAt: number): void {
    this.#endsAt = Math.min(this.#endsAt ?? endsAt, endsAt);
  }

  /** Ends the drain; the process goes on. */
  cancel(): void {
    this.#endsAt = undefined;
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
   * @param guessMs assumed duration of the answer while too few similar ones
   *     were seen, milliseconds; the time until the deadline if undefined
   * @returns the latest time at which the request may be run; Infinity when its
   *     deadline comes before the exit
   */
  latestRunAt(
    work: ResponseWork,
    deadline: number,
    now: number,
    guessMs = Infinity,
  ): number {
    if (this.#endsAt === undefined) return Infinity;
    const answerBy = this.#endsAt - END_MARGIN_MS;
    if (deadline <= answerBy) return Infinity;
    const boundMs = this.#durations.boundMs(work, now) ?? guessMs;
    return answerBy - boundMs;
  }
}
