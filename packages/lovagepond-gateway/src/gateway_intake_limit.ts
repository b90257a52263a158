/**
 * Decides when a gateway refuses new connections, because those before them wait
 * too long to be accepted.
 *
 * A gateway beyond its capacity that makes all callers wait finishes ever less in
 * time. A connection that is refused can be repeated by any caller at once, and
 * the next one meets another gateway. What was read is finished meanwhile.
 */

/** Wait of a connection at which all that wait are refused, milliseconds. */
export const LONGEST_WAIT_MS = 250;

/** Length of a turn of the event loop that had next to nothing to do, ms. */
const SHORT_TURN_MS = 1;

/** Short turns in a row after which connections are accepted again. */
const SHORT_TURNS = 2;

export class IntakeLimit {
  #isPaused = false;
  #shortTurns = 0;

  /** True while no connection is to be accepted. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /**
   * @param waitMs for how long the connection that waits longest has waited,
   *     milliseconds
   */
  noteWait(waitMs: number): void {
    if (waitMs < LONGEST_WAIT_MS) return;
    this.#isPaused = true;
    this.#shortTurns = 0;
  }

  /**
   * Must be called after each turn of the event loop during a pause.
   *
   * @param turnMs length of the turn, milliseconds
   */
  noteTurn(turnMs: number): void {
    this.#shortTurns = turnMs < SHORT_TURN_MS ? this.#shortTurns + 1 : 0;
    if (this.#shortTurns >= SHORT_TURNS) this.#isPaused = false;
  }
}
