/**
 * Tells control of crashes until it has recorded them.
 */
import {type Clock, type ServerCrash} from '@lovagepond/core';
import {type CrashReport, type RequestQuarantine} from './router_quarantine.js';

/** What reports are made with. */
export interface CrashReporterDependencies {
  readonly clock: Clock;
  readonly quarantine: RequestQuarantine;
  /** @returns whether control has recorded the report */
  readonly report: (report: CrashReport) => Promise<boolean>;
}

/** Reports for one router, one report at a time. */
export class CrashReporter {
  readonly #dependencies: CrashReporterDependencies;

  /** @param dependencies what reports are made with */
  constructor(dependencies: CrashReporterDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * @param crash a server that ended and this router's requests there
   * @param now present time, monotonic milliseconds
   */
  noteCrash(crash: ServerCrash, now: number): void {
    this.#dependencies.quarantine.noteCrash(crash, now);
    this.tick(now);
  }

  /** @param now present time, monotonic milliseconds; call it often */
  tick(now: number): void {
    const {quarantine, report, clock} = this.#dependencies;
    const pendingReport = quarantine.takeReport(now);
    if (!pendingReport) return;
    void report(pendingReport).then(isRecorded => {
      quarantine.endReport(isRecorded);
      if (isRecorded) this.tick(clock.now());
    });
  }
}
