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

/** A router's own requests at a server. */
export interface RunningRequests {
  readonly backendServer: string;
  readonly requests: number;
}

/** What one router reported. */
export interface ReadingReport {
  readonly node: string;
  readonly readings: readonly PromptReading[];
  /** Where its number of requests has changed. */
  readonly running: readonly RunningRequests[];
}

interface PostedReport {
  readonly sequence: number;
  readonly report: ReadingReport;
}

/** Reports kept for subscribers that lag or are new. */
const MAX_REPORTS = 1_024;

/** The latest reports, by the order in which they came. */
export class ReadingBoard {
  #posted: PostedReport[] = [];
  #sequence = 0;

  /** Nothing has been heard, by this member or the one it followed. */
  get isEmpty(): boolean {
    return this.#posted.length === 0;
  }

  /** Number of the last report. */
  get sequence(): number {
    return this.#sequence;
  }

  /** @param report what a router said, or the leader passed on */
  post(report: ReadingReport): void {
    this.#sequence += 1;
    this.#posted.push({sequence: this.#sequence, report});
    if (this.#posted.length < 2 * MAX_REPORTS) return;
    this.#posted = this.#posted.slice(-MAX_REPORTS);
  }

  /**
   * @param sequence number of the last report that the subscriber has
   * @returns the later ones
   */
  since(sequence: number): readonly ReadingReport[] {
    if (sequence >= this.#sequence) return [];
    return this.#posted
      .filter(posted => posted.sequence > sequence)
      .map(({report}) => report);
  }

  /** @returns what has been read, for a subscriber that knows nothing yet */
  history(): readonly ReadingReport[] {
    const readings = this.#posted
      .slice(-MAX_REPORTS)
      .flatMap(({report}) => report.readings)
      .map(reading => ({...reading, tokens: 0}));
    return readings.length > 0 ? [{node: '', readings, running: []}] : [];
  }
}
