/**
 * The load bound: work running at the engine stays within a set multiple of
 * the pool's mean, whatever stale view brought the requests here.
 */

/** Share by which an engine's own count may exceed ours without a meaning. */
const REPORT_TOLERANCE = 0.1;
/** Age given to a router's estimate, which tells none, milliseconds. */
const ROUTER_ESTIMATE_AGE_MS = 1_500;
const MAX_HISTORY = 256;
/**
 * How much of the bound's span above the mean is given out. The mean is a
 * second old, and falls while what was let in still runs: used in full, the
 * engine would stand above the bound by the time that others have finished.
 */
const HEADROOM_SHARE = 0.5;
/** Share by which each run moves the learnt length of a run. */
const RUN_SMOOTHING_FACTOR = 0.1;
/** Time that work let in now goes on weighing on the bound, milliseconds. */
const REACTION_MS = 300;

/** Settings of {@link SidecarAdmission}. */
export interface AdmissionSettings {
  readonly floorTokens: number;
  readonly capacityTokens: number;
  readonly meanFreshMs: number;
  readonly meanTrustMs: number;
}

/** The pool's mean load as control knows it. */
export interface PoolMean {
  readonly meanTokens: number;
  /** Age of the mean when it was received, milliseconds. */
  readonly ageMs: number;
  /** Servers over which the mean is taken. */
  readonly readyServers: number;
  /** What this server had in the mean. */
  readonly ownTokens: number;
}

interface Sample {
  /** Work of the other servers, summed. */
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
 * Before the first mean was heard only the floor may run: taken for a pool of
 * one server, this one would fill up to its capacity.
 */
const NO_SAMPLE: Sample = {
  othersTokens: 0,
  readyServers: Infinity,
  takenAt: -Infinity,
};

/** Decides whether more work may be handed to the engine. */
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
  /** Mean time that a request runs; 0 before any was seen. */
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

  /** @returns tokens that the engine holds at once */
  get capacityTokens(): number {
    return this.#capacityTokens;
  }

  /**
   * What an engine is given beyond its capacity waits inside of it, where no
   * fair queue orders it and nobody can take it over.
   *
   * @param tokens what the engine says it holds; 0 when it doesn't say
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

  /** @returns tokens that this sidecar has handed out and not seen end */
  get ownTokens(): number {
    return this.#ownTokens;
  }

  /**
   * @param mean the pool's mean from control
   * @param now present time
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
   * @param meanTokens a router's estimate; 0 when it has none
   * @param now present time
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
   * Takes the engine's report. It is old when it comes, so only what it shows
   * beyond our own work of that moment counts: work of a former incarnation,
   * or cancelled streams that still run.
   *
   * @param tokens outstanding work as the engine counted it
   * @param lagMs age of the report, milliseconds
   * @param now present time
   */
  setEngineReport(tokens: number, lagMs: number, now: number): void {
    const takenAt = now - lagMs;
    if (takenAt < this.#report.takenAt) return;
    const own = this.#ownTokensAt(takenAt);
    const foreignTokens = Math.max(0, tokens - own * (1 + REPORT_TOLERANCE));
    this.#report = {foreignTokens, takenAt};
  }

  /**
   * @param tokens work handed to the engine
   * @param now present time
   */
  start(tokens: number, now: number): void {
    this.#adjustOwnTokens(tokens, now);
  }

  /**
   * @param tokens work that ended
   * @param now present time
   */
  finish(tokens: number, now: number): void {
    this.#adjustOwnTokens(-tokens, now);
  }

  /**
   * @param runMs how long a request ran at the engine, milliseconds
   */
  recordRunTime(runMs: number): void {
    const former = this.#meanRunMs;
    this.#meanRunMs =
      former === 0 ? runMs : former + RUN_SMOOTHING_FACTOR * (runMs - former);
  }

  /**
   * @param now present time
   * @returns tokens running at the engine
   */
  runningTokens(now: number): number {
    const weight = this.#ageWeight(this.#report.takenAt, now);
    return this.#ownTokens + this.#report.foreignTokens * weight;
  }

  /**
   * The pool's mean now: others' work as last heard, believed less with age,
   * and our own work exactly.
   *
   * @param now present time
   * @returns mean tokens over the pool's ready servers
   */
  poolMeanTokens(now: number): number {
    const {readyServers} = this.#sample(now);
    return (this.#othersTokens(now) + this.runningTokens(now)) / readyServers;
  }

  /**
   * Our own work is a part of the mean, so the mean moves with each request
   * that we let in. This is the load at which `load = multiple * mean` holds
   * with the mean of that very moment, for a multiple safely below the bound.
   *
   * @param now present time
   * @returns tokens that may run here
   */
  limitTokens(now: number): number {
    const {floorTokens} = this.#settings;
    const capacityTokens = this.#capacityTokens;
    const {readyServers} = this.#sample(now);
    // So few servers that one of them can't stand out by this much.
    if (readyServers <= this.#loadBound) return capacityTokens;
    const multiple = 1 + (this.#loadBound - 1) * HEADROOM_SHARE;
    const others = this.#othersTokens(now);
    const bound = (multiple * others) / (readyServers - multiple);
    return Math.min(capacityTokens, Math.max(floorTokens, bound));
  }

  /**
   * A request alone on an idle engine is always let in: no waiting could make
   * it smaller, and it would never be served.
   *
   * @param tokens a request's work
   * @param now present time
   * @returns true when it may be handed to the engine
   */
  admits(tokens: number, now: number): boolean {
    const running = this.runningTokens(now);
    return running <= 0 || running + tokens <= this.limitTokens(now);
  }

  /**
   * @param now present time
   * @returns tokens that fit now
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
   * Work ends while the news of it is on its way. In the tail of a surge of
   * short requests the others finish all they had within the age of the mean:
   * believed whole, it would let this engine run at twice their load.
   */
  #unfinished(takenAt: number, now: number): number {
    if (this.#meanRunMs === 0) return 1;
    const age = now - takenAt;
    return Math.exp(-(age + REACTION_MS) / this.#meanRunMs);
  }

  /**
   * The engine restarted: nothing of the old runs is left in it.
   *
   * @param now present time
   */
  reset(now: number): void {
    this.#report = {foreignTokens: 0, takenAt: now};
  }

  /**
   * Control's mean while it is fresh. After that a router's later estimate
   * may confirm that the pool is still busy, but never raise the mean: it
   * counts queues too, and would let every engine grow with the queues.
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
   * A mean that is not renewed says ever less: servers may have finished their
   * work since. Believed for good, it would let this engine run far above a
   * pool that has become idle.
   */
  #ageWeight(takenAt: number, now: number): number {
    const {meanFreshMs, meanTrustMs} = this.#settings;
    const age = now - takenAt;
    if (age <= meanFreshMs) return 1;
    return Math.max(0, (meanTrustMs - age) / (meanTrustMs - meanFreshMs));
  }

  /**
   * Control's count of servers is soft state: a new leader may hear of them
   * one by one. Believed at once, a pool that is counted as one server would
   * have no bound, so a count that falls by more than half holds only after
   * the former one has aged. A few that leave count at once: too high a count
   * would keep the others from taking over their work.
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
