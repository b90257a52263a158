/**
 * Tells control of crashes until it has recorded them.
 */
import {type Clock, type ServerCrash} from '@lovagepond/core';
import {type CrashReport, type RequestQuarantine} from './router_quarantine.js';

/** What reports are made with. */
export interface CrashReporterParts {
  readonly clock: Clock;
  readonly quarantine: RequestQuarantine;
  /** @returns whether control has recorded the report */
  readonly report: (report: CrashReport) => Promise<boolean>;
}

/** Reports for one router, one report at a time. */
export class CrashReporter {
  readonly #parts: CrashReporterParts;

  /** @param parts what reports are made with */
  constructor(parts: CrashReporterParts) {
    this.#parts = parts;
  }

  /**
   * @param crash a server that ended and this router's requests there
   * @param now present time, monotonic milliseconds
   */
  noteCrash(crash: ServerCrash, now: number): void {
    this.#parts.quarantine.noteCrash(crash, now);
    this.tick(now);
  }

  /** @param now present time, monotonic milliseconds; call it often */
  tick(now: number): void {
    const {quarantine, report, clock} = this.#parts;
    const untold = quarantine.takeReport(now);
    if (!untold) return;
    void report(untold).then(isRecorded => {
      quarantine.endReport(isRecorded);
      if (isRecorded) this.tick(clock.now());
    });
  }
}
