/**
 * What routers say of their requests at backend servers and of the prompts that
 * these read for them.
 *
 * Each router sees a sliver of the traffic. Without the others' word it would
 * send a prompt to a server that has already much to do, or have one read anew
 * that another server holds. Soft state: what is lost costs some reading.
 */

/** One prompt that a server reads. */
export interface PromptReading {
  readonly backendServer: string;
  /** Ids of parts of the prompt, each after a slash. */
  readonly prefix: string;
  /** Tokens that the server has to read; 0 when it has read them before. */
  readonly tokens: number;
}

/** A router's own requests at a server, and the outcomes since it last told. */
export interface RunningRequests {
  readonly backendServer: string;
  readonly requests: number;
  /** Failed ones too. */
  readonly ended: number;
  readonly failed: number;
}

/** What one router reported. */
export interface ReadingReport {
  readonly node: string;
  readonly readings: readonly PromptReading[];
  /** Where its number of requests has changed. */
  readonly running: readonly RunningRequests[];
}

interface NumberedReport {
  readonly sequence: number;
  readonly report: ReadingReport;
}

/** The last answer to a subscriber: most others are at the same place. */
interface LaterReports {
  readonly after: number;
  readonly upTo: number;
  readonly reports: readonly ReadingReport[];
  readonly readings: readonly ReadingReport[];
}

/** Reports kept for subscribers that lag. */
const MAX_REPORTS = 1_024;

/**
 * Readings kept for subscribers that are new. Numbers of requests have no place
 * among them: at nine gateways they come five times a second from each, and
 * within half a minute a gateway that starts would hear of no warm prompt.
 */
const MAX_READINGS = 2_048;

/** The latest reports, by the order in which they came. */
export class ReadingReportLog {
  /** Without a gap: each has the number after that of the one before. */
  #reports: NumberedReport[] = [];
  /** One for each server and prefix; the one read last stands last. */
  readonly #readings = new Map<string, PromptReading>();
  #sequence = 0;
  #lastResult: LaterReports | undefined;

  /** No reading has been heard of, by this member or the one it followed. */
  get isEmpty(): boolean {
    return this.#readings.size === 0;
  }

  /** Number of the last report. */
  get sequence(): number {
    return this.#sequence;
  }

  /** @param report what a router said, or the leader passed on */
  add(report: ReadingReport): void {
    this.#sequence += 1;
    this.#reports.push({sequence: this.#sequence, report});
    this.#reports = keepNewest(this.#reports, MAX_REPORTS);
    for (const reading of report.readings) this.#keepReading(reading);
  }

  /**
   * @param sequence number of the last report that the subscriber has
   * @returns the later ones; the same object for all who ask at one time, so that
   *     it is encoded once for them
   */
  since(sequence: number): readonly ReadingReport[] {
    return this.#later(sequence).reports;
  }

  /**
   * @param sequence number of the last report that the subscriber has
   * @returns the later ones that tell of readings, without the numbers of requests;
   *     the same object for all who ask at one time
   */
  readingsSince(sequence: number): readonly ReadingReport[] {
    return this.#later(sequence).readings;
  }

  #later(sequence: number): LaterReports {
    const known = this.#lastResult;
    if (known?.after === sequence && known.upTo === this.#sequence) {
      return known;
    }
    const first = this.#reports[0]?.sequence ?? 0;
    const from = Math.max(0, sequence + 1 - first);
    const reports = this.#reports.slice(from).map(({report}) => report);
    const readings = reports
      .filter(report => report.readings.length > 0)
      .map(report => ({...report, running: []}));
    const upTo = this.#sequence;
    this.#lastResult = {after: sequence, upTo, reports, readings};
    return this.#lastResult;
  }

  /** @returns what has been read, for a subscriber that knows nothing yet */
  history(): readonly ReadingReport[] {
    const readings = [...this.#readings.values()];
    return readings.length > 0 ? [{node: '', readings, running: []}] : [];
  }

  #keepReading(reading: PromptReading): void {
    const key = `${reading.backendServer}${reading.prefix}`;
    this.#readings.delete(key);
    this.#readings.set(key, {...reading, tokens: 0});
    for (const oldest of this.#readings.keys()) {
      if (this.#readings.size <= MAX_READINGS) return;
      this.#readings.delete(oldest);
    }
  }
}

/** Cuts the oldest off, once there are twice as many. */
function keepNewest<Item>(items: Item[], limit: number): Item[] {
  return items.length < 2 * limit ? items : items.slice(-limit);
}
