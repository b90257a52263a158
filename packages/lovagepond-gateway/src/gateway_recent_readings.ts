/**
 * The prompts that this gateway has sent lately, for repeating their reports.
 *
 * A report that is sent while the control plane can't be reached, or has no
 * leader, is lost. The other gateways then never learn which engine holds the
 * prompt, and have it computed again by other engines. A report is repeated
 * twice, after longer than a change of leaders and than a short partition take;
 * control forwards only what it doesn't know yet.
 */
import {type lovagepond} from '@lovagepond/protocol';

type WireReading = lovagepond.v1.PromptReading.$Properties;

/** Times after the first report at which it is repeated, milliseconds. */
const REPEAT_AFTER_MS = [3_000, 12_000] as const;

/** Interval between two reports with repeated readings, milliseconds. */
const REPEAT_INTERVAL_MS = 1_000;

/** Readings kept; the least recently reported ones are dropped. */
const MAX_READINGS = 1_024;

interface RecentReading {
  readonly reading: WireReading;
  readonly reportedAt: number;
  readonly repeats: number;
}

export class RecentReadings {
  /** By server and prefix, the least recently reported first. */
  readonly #readings = new Map<string, RecentReading>();
  #repeatedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param reading a reading that is reported now
   * @param now current time, monotonic milliseconds
   */
  note(reading: WireReading, now: number): void {
    const key = `${reading.backendServer ?? ''}${reading.prefix ?? ''}`;
    this.#readings.delete(key);
    this.#readings.set(key, {reading, reportedAt: now, repeats: 0});
    for (const oldest of this.#readings.keys()) {
      if (this.#readings.size <= MAX_READINGS) return;
      this.#readings.delete(oldest);
    }
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns readings to report again; the tokens are 0, as the prefill has
   *     been reported before
   */
  takeDue(now: number): readonly WireReading[] {
    if (now - this.#repeatedAt < REPEAT_INTERVAL_MS) return [];
    this.#repeatedAt = now;
    const due: WireReading[] = [];
    for (const [key, recent] of this.#readings) {
      const after = REPEAT_AFTER_MS[recent.repeats] ?? Infinity;
      if (now - recent.reportedAt < after) continue;
      due.push({...recent.reading, tokens: 0});
      const repeats = recent.repeats + 1;
      if (repeats < REPEAT_AFTER_MS.length) {
        this.#readings.set(key, {...recent, repeats});
      } else this.#readings.delete(key);
    }
    return due;
  }
}
