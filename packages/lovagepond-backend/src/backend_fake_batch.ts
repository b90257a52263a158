/**
 * Continuous batching of a fake engine. Each step decodes one token for every
 * request whose prefill is done, and prefills prompts of the others.
 */

/** One request to the fake engine. */
export interface FakeJob {
  readonly requestId: string;
  readonly workspace: string;
  readonly chat: string;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** 0 (lowest) to 9. */
  readonly priority: number;
}

/** Speed and size of the batch. */
export interface FakeBatchSettings {
  /** Maximum number of tokens of all contexts in the batch. */
  readonly capacityTokens: number;
  readonly maxRequests: number;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  /** Minimum step, milliseconds: the time between tokens at low load. */
  readonly stepMs: number;
  /** Maximum prompt tokens prefilled in one step, over all requests. */
  readonly prefillTokensPerStep: number;
}

/** A request in the batch. */
export interface FakeRun {
  readonly job: FakeJob;
  readonly cachedTokens: number;
  prefillLeft: number;
  answered: number;
}

/** Result of a step for one request. */
export interface FakeStepResult {
  readonly run: FakeRun;
  /** Answer tokens decoded in this step, 0 or 1. */
  readonly made: number;
  readonly finished: boolean;
}

const MS_PER_SECOND = 1000;

function tokensOf(job: FakeJob): number {
  return job.promptTokens + job.answerTokens;
}

/** The requests in the batch and those waiting for it. */
export class FakeBatch {
  readonly #settings: FakeBatchSettings;
  readonly #running = new Map<string, FakeRun>();
  #waiting: FakeJob[] = [];
  #runningTokens = 0;
  #waitingTokens = 0;

  /** @param settings speed and size of the batch */
  constructor(settings: FakeBatchSettings) {
    this.#settings = settings;
  }

  get runningTokens(): number {
    return this.#runningTokens;
  }

  get waitingTokens(): number {
    return this.#waitingTokens;
  }

  get runningRequests(): number {
    return this.#running.size;
  }

  get waitingRequests(): number {
    return this.#waiting.length;
  }

  /** @param job queued after jobs of the same or a higher priority */
  add(job: FakeJob): void {
    const behind = this.#waiting.findIndex(
      other => other.priority < job.priority,
    );
    this.#waiting.splice(behind < 0 ? this.#waiting.length : behind, 0, job);
    this.#waitingTokens += tokensOf(job);
  }

  /**
   * Admits waiting requests to the batch while they fit.
   *
   * @param warmTokens returns how many tokens of a job's prompt are cached
   * @returns the admitted requests
   */
  admit(warmTokens: (job: FakeJob) => number): FakeRun[] {
    const taken: FakeRun[] = [];
    for (let job = this.#waiting[0]; job; job = this.#waiting[0]) {
      if (!this.#fits(job)) break;
      this.#waiting.shift();
      this.#waitingTokens -= tokensOf(job);
      this.#runningTokens += tokensOf(job);
      const cachedTokens = Math.min(warmTokens(job), job.promptTokens);
      const prefillLeft = job.promptTokens - cachedTokens;
      const run = {job, cachedTokens, prefillLeft, answered: 0};
      this.#running.set(job.requestId, run);
      taken.push(run);
    }
    return taken;
  }

  /** @returns duration of the next step in ms, undefined with an empty batch */
  stepDuration(): number | undefined {
    if (this.#running.size === 0) return undefined;
    let decode = 0;
    let prefill = 0;
    for (const run of this.#running.values()) {
      if (run.prefillLeft > 0) prefill += run.prefillLeft;
      else decode += 1;
    }
    prefill = Math.min(prefill, this.#settings.prefillTokensPerStep);
    const {prefillTokensPerSecond, decodeTokensPerSecond} = this.#settings;
    const seconds =
      prefill / prefillTokensPerSecond + decode / decodeTokensPerSecond;
    return Math.max(this.#settings.stepMs, seconds * MS_PER_SECOND);
  }

  /** @returns the result for each request that got a token */
  step(): FakeStepResult[] {
    let budget = this.#settings.prefillTokensPerStep;
    const results: FakeStepResult[] = [];
    for (const run of [...this.#running.values()]) {
      if (run.prefillLeft > 0) {
        const done = Math.min(run.prefillLeft, budget);
        run.prefillLeft -= done;
        budget -= done;
        continue;
      }
      run.answered += 1;
      const finished = run.answered >= run.job.answerTokens;
      if (finished) this.remove(run.job.requestId);
      results.push({run, made: 1, finished});
    }
    return results;
  }

  /**
   * @param requestId id of a waiting or running request
   * @returns true when there was such a request
   */
  remove(requestId: string): boolean {
    const run = this.#running.get(requestId);
    if (run) {
      this.#running.delete(requestId);
      this.#runningTokens -= tokensOf(run.job);
      return true;
    }
    const index = this.#waiting.findIndex(job => job.requestId === requestId);
    const [job] = index < 0 ? [] : this.#waiting.splice(index, 1);
    if (!job) return false;
    this.#waitingTokens -= tokensOf(job);
    return true;
  }

  #fits(job: FakeJob): boolean {
    const {capacityTokens, maxRequests} = this.#settings;
    if (this.#running.size === 0) return true;
    if (this.#running.size >= maxRequests) return false;
    return this.#runningTokens + tokensOf(job) <= capacityTokens;
  }
}
