/**
 * Reads control's history of streams for requests that need it.
 *
 * An answer is valid for requests that arrived before it was asked for: servers of
 * a new version may have begun streams since. Requests that arrive while an answer
 * is pending therefore share the next one.
 */
import {type lovagepond} from '@lovagepond/protocol';

type WireHistory = lovagepond.v1.StreamHistoryResponse.$Properties;

/** Requests that wait at a time; further ones get no answer. */
const MAX_WAITING = 1_024;

/** Time between two questions, milliseconds; limits the load of the leader. */
const INTERVAL_MS = 20;

/** @returns control's answer; undefined if there was none in time */
type AskControl = () => Promise<WireHistory | undefined>;

export class StreamHistoryReader {
  readonly #ask: AskControl;
  #waiting: ((history: WireHistory | undefined) => void)[] = [];
  #isAsking = false;

  /** @param ask asks control, which answers as of a time after the call */
  constructor(ask: AskControl) {
    this.#ask = ask;
  }

  /**
   * @returns what was in service lately, as of a time after the call; undefined
   *     if control did not confirm it in time
   */
  read(): Promise<WireHistory | undefined> {
    if (this.#waiting.length >= MAX_WAITING) return Promise.resolve(undefined);
    return new Promise(resolve => {
      this.#waiting.push(resolve);
      if (!this.#isAsking) void this.#askForAll();
    });
  }

  async #askForAll(): Promise<void> {
    this.#isAsking = true;
    while (this.#waiting.length > 0) {
      const waiting = this.#waiting;
      this.#waiting = [];
      const history = await this.#ask().catch(() => undefined);
      for (const resolve of waiting) resolve(history);
      if (this.#waiting.length > 0) await sleep(INTERVAL_MS);
    }
    this.#isAsking = false;
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms);
  });
}
