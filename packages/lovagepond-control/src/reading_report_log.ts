/**
 * Routers' reports of their requests at backend servers and of readings. A
 * reading is a prompt that a server processes (prefill).
 *
 * Each router sees only a part of the traffic. Without the other routers'
 * reports it would send prompts to busy servers, or have a server process a
 * prompt that another one has cached. This is soft state: a lost report only
 * means that some prompts are processed again.
 */

/** A prompt that a server processes. */
export interface PromptReading {
  readonly backendServer: string;
  /** Ids of the prompt's parts, each after a slash. */
  readonly prefix: string;
  /** Tokens that the server has to process; 0 when they are cached. */
  readonly tokens: number;
}

/** A router's requests at a server, and the outcomes since its last report. */
export interface RunningRequests {
  readonly backendServer: string;
  readonly requests: number;
  /** Requests that ended, including failed ones. */
  readonly ended: number;
  readonly failed: number;
  /** Prompt tokens that the server has yet to compute for the router. */
  readonly prefillTokens: number;
}

/** Work that is offered to a pool, by workspace; see the protocol's message. */
export interface PoolDemand {
  readonly pool: string;
  /** Work sent to servers, milliseconds of server time per second. */
  readonly served: number;
  readonly workspaces: readonly {
    readonly workspace: string;
    /** Work offered, milliseconds of server time per second. */
    readonly offered: number;
  }[];
}

/** A router's report. */
export interface ReadingReport {
  readonly node: string;
  readonly readings: readonly PromptReading[];
  /** Servers at which the router's number of requests has changed. */
  readonly running: readonly RunningRequests[];
  /** Demand in pools that are congested at the router; absent without one. */
  readonly demand?: readonly PoolDemand[];
  /** `host:port` of its socket for records of streams; absent in most reports. */
  readonly streamAddress?: string;
}

interface NumberedReport {
  readonly sequence: number;
  readonly report: ReadingReport;
}

/** The last result, cached as most subscribers are at the same position. */
interface LaterReports {
  readonly after: number;
  readonly upTo: number;
  readonly reports: readonly ReadingReport[];
  readonly readings: readonly ReadingReport[];
}

/** Reports kept for subscribers that lag behind. */
const MAX_REPORTS = 1_024;

/**
 * Readings kept for new subscribers, apart from the numbers of requests. Nine
 * gateways report these five times a second each: in a common log they would
 * displace all readings within half a minute, and a new gateway would get none.
 */
const MAX_READINGS = 2_048;

/** The latest reports, in the order of their arrival. */
export class ReadingReportLog {
  /** Sequence numbers are consecutive. */
  #reports: NumberedReport[] = [];
  /** One reading for each server and prefix; the latest is last. */
  readonly #readings = new Map<string, PromptReading>();
  #sequence = 0;
  #lastResult: LaterReports | undefined;

  /** True while no router or former leader has sent a reading. */
  get isEmpty(): boolean {
    return this.#readings.size === 0;
  }

  /**
   * @param sequence number of the last report that a subscriber has
   * @returns true while all later reports are kept
   */
  keepsSince(sequence: number): boolean {
    return sequence + 1 >= (this.#reports[0]?.sequence ?? 0);
  }

  /** Sequence number of the last report. */
  get sequence(): number {
    return this.#sequence;
  }

  /** @param report a report from a router or from the leader */
  add(report: ReadingReport): void {
    this.#sequence += 1;
    this.#reports.push({sequence: this.#sequence, report});
    this.#reports = keepNewest(this.#reports, MAX_REPORTS);
    for (const reading of report.readings) this.#keepReading(reading);
  }

  /**
   * @param sequence number of the last report that the subscriber has
   * @returns the later reports; callers with the same position get the same
   *     object, so that it is encoded once
   */
  since(sequence: number): readonly ReadingReport[] {
    return this.#later(sequence).reports;
  }

  /**
   * @param sequence number of the last report that the subscriber has
   * @returns the later reports with readings, without the numbers of requests
   *     and the demand; callers with the same position get the same object
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
      .map(({node, readings}) => ({node, readings, running: []}));
    const upTo = this.#sequence;
    this.#lastResult = {after: sequence, upTo, reports, readings};
    return this.#lastResult;
  }

  /** @returns the kept readings as one report, for a new subscriber */
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

/** Drops the oldest items once there are twice as many as the limit. */
function keepNewest<Item>(items: Item[], limit: number): Item[] {
  return items.length < 2 * limit ? items : items.slice(-limit);
}
