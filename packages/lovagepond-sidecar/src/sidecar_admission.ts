/**
 * Load bound: limits the work running at the engine to a configured multiple of
 * the pool's mean, even when routers send requests based on stale loads.
 */

/**
 * Share by which the engine's token count may exceed the sidecar's own before
 * the excess counts as foreign work.
 */
const REPORT_TOLERANCE = 0.1;
/** Assumed age of a router's estimate, which states none, milliseconds. */
const ROUTER_ESTIMATE_AGE_MS = 1_500;
const MAX_HISTORY = 256;
/**
 * Share of the span between the mean and the bound that is admitted. The mean
 * is a second old and falls while admitted work still runs: with the full span,
 * the engine would exceed the bound once other servers have finished their
 * work.
 */
const HEADROOM_SHARE = 0.5;
/** Smoothing factor of the mean run time. */
const RUN_SMOOTHING_FACTOR = 0.1;
/**
 * Time for which newly admitted work counts towards the bound, milliseconds. It
 * is added to the age of the mean when the unfinished share is estimated.
 */
const REACTION_MS = 300;

export interface AdmissionSettings {
  readonly floorTokens: number;
  readonly capacityTokens: number;
  readonly meanFreshMs: number;
  readonly meanTrustMs: number;
}

/** Mean load of the pool as control reports it. */
export interface PoolMean {
  readonly meanTokens: number;
  /** Age of the mean when it was received, milliseconds. */
  readonly ageMs: number;
  /** Ready servers that the mean covers. */
  readonly readyServers: number;
  /** This server's tokens that the mean includes. */
  readonly ownTokens: number;
}

interface Sample {
  /** Total tokens of the other servers. */
  readonly othersTokens: number;
  readonly readyServers: number;
  readonly takenAt: number;
}

interface ReadyServers {
  readonly count: number;
  readonly updatedAt: number;
}

interface OwnLoad {
  readonly at: number;
  readonly tokens: number;
}

interface EngineReport {
  readonly foreignTokens: number;
  readonly takenAt: number;
}

/**
 * Used before the first mean arrives, so that only the floor may run. With a
 * count of one server, work would be admitted up to the capacity.
 */
const NO_SAMPLE: Sample = {
  othersTokens: 0,
  readyServers: Infinity,
  takenAt: -Infinity,
};

/** Decides whether more work may be dispatched to the engine. */
export class SidecarAdmission {
  readonly #settings: AdmissionSettings;
  #loadBound: number;
  #ownTokens = 0;
  #control = NO_SAMPLE;
  #routers = NO_SAMPLE;
  #ready: ReadyServers = {count: 1, updatedAt: -Infinity};
  #report: EngineReport = {foreignTokens: 0, takenAt: -Infinity};
  readonly #history: OwnLoad[] = [];
  #capacityTokens: number;
  /** Mean run time of a request, milliseconds; 0 before the first run. */
  #meanRunMs = 0;

  /**
   * @param settings fixed settings
   * @param loadBound multiple of the pool's mean
   */
  constructor(settings: AdmissionSettings, loadBound: number) {
    this.#settings = settings;
    this.#loadBound = loadBound;
    this.#capacityTokens = settings.capacityTokens;
  }

  /** @returns tokens that the engine can hold at once */
  get capacityTokens(): number {
    return this.#capacityTokens;
  }

  /**
   * Work beyond the capacity would wait inside the engine, where the fair queue
   * does not order it and no other server can take it over.
   *
   * @param tokens capacity that the engine reports; 0 when it reports none
   */
  setEngineCapacity(tokens: number): void {
    const {capacityTokens} = this.#settings;
    this.#capacityTokens =
      tokens > 0 ? Math.min(tokens, capacityTokens) : capacityTokens;
  }

  /** @param loadBound multiple of the pool's mean, from the configuration */
  configure(loadBound: number): void {
    this.#loadBound = loadBound;
  }

  /** @returns tokens that this sidecar has dispatched and that still run */
  get ownTokens(): number {
    return this.#ownTokens;
  }

  /**
   * @param mean the pool's mean from control
   * @param now current time
   */
  setPoolMean(mean: PoolMean, now: number): void {
    const sum = mean.meanTokens * Math.max(1, mean.readyServers);
    this.#control = {
      othersTokens: Math.max(0, sum - mean.ownTokens),
      readyServers: this.#updateReadyServers(mean.readyServers, now),
      takenAt: now - mean.ageMs,
    };
  }

  /**
   * @param meanTokens a router's estimate of the mean; 0 when it has none
   * @param now current time
   */
  setRouterEstimate(meanTokens: number, now: number): void {
    if (meanTokens <= 0) return;
    const {readyServers} = this.#control;
    if (readyServers === Infinity) return;
    this.#routers = {
      othersTokens: Math.max(
        0,
        meanTokens * readyServers - this.runningTokens(now),
      ),
      readyServers,
      takenAt: now - ROUTER_ESTIMATE_AGE_MS,
    };
  }

  /**
   * Processes a delayed load report of the engine. Only the excess over this
   * sidecar's own work at the time of the report counts: work of a former
   * incarnation, or cancelled streams that still run.
   *
   * @param tokens outstanding tokens that the engine counted
   * @param lagMs age of the report, milliseconds
   * @param now current time
   */
  setEngineReport(tokens: number, lagMs: number, now: number): void {
    const takenAt = now - lagMs;
    if (takenAt < this.#report.takenAt) return;
    const own = this.#ownTokensAt(takenAt);
    const foreignTokens = Math.max(0, tokens - own * (1 + REPORT_TOLERANCE));
    this.#report = {foreignTokens, takenAt};
  }

  /**
   * @param tokens tokens dispatched to the engine
   * @param now current time
   */
  start(tokens: number, now: number): void {
    this.#adjustOwnTokens(tokens, now);
  }

  /**
   * @param tokens tokens whose run has ended
   * @param now current time
   */
  finish(tokens: number, now: number): void {
    this.#adjustOwnTokens(-tokens, now);
  }

  /** @param runMs run time of a request at the engine, milliseconds */
  recordRunTime(runMs: number): void {
    const former = this.#meanRunMs;
    this.#meanRunMs =
      former === 0 ? runMs : former + RUN_SMOOTHING_FACTOR * (runMs - former);
  }

  /**
   * @param now current time
   * @returns tokens running at the engine
   */
  runningTokens(now: number): number {
    const weight = this.#ageWeight(this.#report.takenAt, now);
    return this.#ownTokens + this.#report.foreignTokens * weight;
  }

  /**
   * Current mean load of the pool: the other servers' work as last reported,
   * weighted by its age, plus the exact work of this server.
   *
   * @param now current time
   * @returns mean tokens over the pool's ready servers
   */
  poolMeanTokens(now: number): number {
    const {readyServers} = this.#sample(now);
    return (this.#othersTokens(now) + this.runningTokens(now)) / readyServers;
  }

  /**
   * Computes the load at which `load = multiple * mean` holds, for a multiple
   * below the bound. This server's own work is part of the mean, so the mean
   * changes with each admitted request.
   *
   * @param now current time
   * @returns tokens that may run here
   */
  limitTokens(now: number): number {
    const {floorTokens} = this.#settings;
    const capacityTokens = this.#capacityTokens;
    const {readyServers} = this.#sample(now);
    // No load exceeds the number of servers times their mean.
    if (readyServers <= this.#loadBound) return capacityTokens;
    const multiple = 1 + (this.#loadBound - 1) * HEADROOM_SHARE;
    const others = this.#othersTokens(now);
    const bound = (multiple * others) / (readyServers - multiple);
    return Math.min(capacityTokens, Math.max(floorTokens, bound));
  }

  /**
   * An idle engine always admits one request, as a request larger than the
   * limit could otherwise never run.
   *
   * @param tokens the request's tokens
   * @param now current time
   * @returns true when it may be dispatched to the engine
   */
  admits(tokens: number, now: number): boolean {
    const running = this.runningTokens(now);
    return running <= 0 || running + tokens <= this.limitTokens(now);
  }

  /**
   * @param now current time
   * @returns tokens that can be admitted now
   */
  roomTokens(now: number): number {
    return Math.max(0, this.limitTokens(now) - this.runningTokens(now));
  }

  #othersTokens(now: number): number {
    const sample = this.#sample(now);
    const weight = this.#ageWeight(sample.takenAt, now);
    return sample.othersTokens * weight * this.#unfinished(sample.takenAt, now);
  }

  /**
   * Estimates the share of reported work that still runs. At the end of a surge
   * of short requests, other servers finish all of their work within the age of
   * the mean. Counted in full, the mean would let this engine run at twice
   * their load.
   */
  #unfinished(takenAt: number, now: number): number {
    if (this.#meanRunMs === 0) return 1;
    const age = now - takenAt;
    return Math.exp(-(age + REACTION_MS) / this.#meanRunMs);
  }

  /**
   * Discards the reported foreign work after an engine restart, which ends all
   * former runs.
   *
   * @param now current time
   */
  reset(now: number): void {
    this.#report = {foreignTokens: 0, takenAt: now};
  }

  /**
   * Returns control's mean while it is fresh. After that, a newer estimate of a
   * router may confirm that the pool is still busy but never raises the mean:
   * the estimate includes queues, so it would let every engine's load grow with
   * them.
   */
  #sample(now: number): Sample {
    const control = this.#control;
    const fresh = now - control.takenAt <= this.#settings.meanFreshMs;
    if (fresh || this.#routers.takenAt <= control.takenAt) return control;
    const {othersTokens, takenAt} = this.#routers;
    return {
      othersTokens: Math.min(control.othersTokens, othersTokens),
      readyServers: control.readyServers,
      takenAt,
    };
  }

  /**
   * Servers may have finished their work since an old mean was taken. At full
   * weight, it would let this engine run far above a pool that has become idle.
   */
  #ageWeight(takenAt: number, now: number): number {
    const {meanFreshMs, meanTrustMs} = this.#settings;
    const age = now - takenAt;
    if (age <= meanFreshMs) return 1;
    return Math.max(0, (meanTrustMs - age) / (meanTrustMs - meanFreshMs));
  }

  /**
   * Control's count is soft state: a new leader may register the servers one by
   * one, and a pool counted as one server has no bound. A count that falls by
   * more than half therefore takes effect only after the previous count has
   * aged. A smaller decrease takes effect at once: too high a count would keep
   * the remaining servers from taking over the work of those that left.
   */
  #updateReadyServers(count: number, now: number): number {
    const aged = now - this.#ready.updatedAt > this.#settings.meanTrustMs;
    if (count * 2 >= this.#ready.count || aged) {
      this.#ready = {count: Math.max(1, count), updatedAt: now};
    }
    return this.#ready.count;
  }

  #adjustOwnTokens(delta: number, now: number): void {
    this.#ownTokens = Math.max(0, this.#ownTokens + delta);
    this.#history.push({at: now, tokens: this.#ownTokens});
    if (this.#history.length > MAX_HISTORY) this.#history.shift();
  }

  #ownTokensAt(time: number): number {
    for (let index = this.#history.length - 1; index >= 0; index -= 1) {
      const entry = this.#history[index];
      if (entry && entry.at <= time) return entry.tokens;
    }
    const full = this.#history.length >= MAX_HISTORY;
    return full ? (this.#history[0]?.tokens ?? 0) : 0;
  }
}
