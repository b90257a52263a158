/**
 * Reports crashes to the control plane until they are recorded there.
 */
import {type Clock, type ServerCrash} from '@lovagepond/core';
import {type CrashReport, type RequestQuarantine} from './router_quarantine.js';

export interface CrashReporterDependencies {
  readonly clock: Clock;
  readonly quarantine: RequestQuarantine;
  /** @returns true when the control plane has recorded the report */
  readonly report: (report: CrashReport) => Promise<boolean>;
}

/** Sends the crash reports of one node, one at a time. */
export class CrashReporter {
  readonly #deps: CrashReporterDependencies;

  constructor(deps: CrashReporterDependencies) {
    this.#deps = deps;
  }

  /**
   * @param crash the crashed server and this node's requests at it
   * @param now current time, monotonic milliseconds
   */
  noteCrash(crash: ServerCrash, now: number): void {
    this.#deps.quarantine.noteCrash(crash, now);
    this.tick(now);
  }

  /** @param now current time, monotonic ms; must be called periodically */
  tick(now: number): void {
    const {quarantine, report, clock} = this.#deps;
    const pendingReport = quarantine.takeReport(now);
    if (!pendingReport) return;
    void report(pendingReport).then(isRecorded => {
      quarantine.endReport(isRecorded);
      if (isRecorded) this.tick(clock.now());
    });
  }
}
