/**
 * The work of stand-in servers: a plain service with slots, and an engine that
 * computes one prompt after the other and then streams events.
 *
 * A job starts when the one before it should have ended, not when its timer
 * fired, so that late timers on a busy machine don't reduce the capacity.
 */
import {type PromptPart} from '@lovagepond/gateway/deciders';
import {type BackendSpec, STREAM} from './overload_types.js';

/** One request at a stand-in server. */
export interface Job {
  readonly id: string;
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  readonly deadlineAt: number;
  /** 0 (most urgent) to 9; engines only. */
  readonly priority: number;
  /** Engines only; the last part is the request's own. */
  readonly parts: readonly PromptPart[];
  onRefused(): void;
  /** Called for each event; for a call once, with `isLast`. */
  onEvent(number: number, isLast: boolean): void;
}

/** Counters that `BackendCounts` sums over all servers. */
export class WorkCounts {
  busyMs = 0;
  started = 0;
  inVain = 0;
  readonly startedIds: string[] = [];

  noteStarted(job: Job): void {
    this.started += 1;
    this.startedIds.push(job.id);
  }
}

interface Running {
  readonly startedAt: number;
  readonly endsAt: number;
  readonly timer: NodeJS.Timeout;
}

function tokensOf(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, {tokens}) => sum + tokens, 0);
}

/**
 * The work of one server. A service runs a call in each slot; an engine
 * computes one prompt at a time, high priority first, and holds a slot and
 * memory until the end of the stream.
 */
export class BackendWork {
  /** Multiple of the usual durations. */
  factor = 1;
  /** A crashed server starts no more work. */
  isStopped = false;
  readonly #spec: BackendSpec;
  readonly #counts: WorkCounts;
  /** Calls or prefills that can run at once. */
  readonly #lanes: number;
  /** Most urgent first, then in order of arrival. */
  readonly #waiting: Job[] = [];
  readonly #running = new Map<Job, Running>();
  readonly #streaming = new Map<Job, NodeJS.Timeout>();
  /** Tokens of the cached shared parts, least recently used first. */
  readonly #cached = new Map<string, number>();

  constructor(spec: BackendSpec, counts: WorkCounts) {
    this.#spec = spec;
    this.#counts = counts;
    this.#lanes = spec.kind === 'service' ? spec.slots : 1;
  }

  get load(): {readonly running: number; readonly waiting: number} {
    const running = this.#running.size + this.#streaming.size;
    return {running, waiting: this.#waiting.length};
  }

  arrive(job: Job, now: number): void {
    const at = this.#waiting.findIndex(one => one.priority > job.priority);
    this.#waiting.splice(at < 0 ? this.#waiting.length : at, 0, job);
    this.#beginNext(now, now);
    if (this.#waiting.length <= this.#spec.queue) return;
    if (this.#removeWaiting(job)) job.onRefused();
  }

  /** The caller has closed the connection. */
  cancel(job: Job, now: number): void {
    if (this.#removeWaiting(job)) return;
    const run = this.#running.get(job);
    const timer = run?.timer ?? this.#streaming.get(job);
    if (!timer) return;
    clearTimeout(timer);
    if (run) this.#counts.busyMs += Math.max(0, now - run.startedAt);
    this.#counts.inVain += 1;
    this.#running.delete(job);
    this.#streaming.delete(job);
    this.#beginNext(now, now);
  }

  #removeWaiting(job: Job): boolean {
    const at = this.#waiting.indexOf(job);
    return at >= 0 && this.#waiting.splice(at, 1).length > 0;
  }

  #beginNext(freeAt: number, now: number): void {
    while (!this.isStopped && this.#hasRoom()) {
      const job = this.#waiting.shift();
      if (!job) return;
      if (now > job.deadlineAt) job.onRefused();
      else this.#begin(job, Math.max(freeAt, job.arrivedAt), now);
    }
  }

  #hasRoom(): boolean {
    const {kind, slots, cacheTokens} = this.#spec;
    const {running} = this.load;
    if (this.#running.size >= this.#lanes || running >= slots) return false;
    if (kind === 'service' || running === 0) return true;
    const needed = tokensOf(this.#waiting[0]?.parts ?? []);
    return this.#runningTokens() + needed <= cacheTokens;
  }

  #begin(job: Job, startedAt: number, now: number): void {
    const {kind, workMs, prefillRate} = this.#spec;
    const usualMs =
      kind === 'service' ? workMs : this.#coldTokens(job.parts) / prefillRate;
    const endsAt = startedAt + usualMs * this.factor;
    const timer = setTimeout(() => {
      this.#endWork(job);
    }, endsAt - now);
    this.#running.set(job, {startedAt, endsAt, timer});
    this.#counts.noteStarted(job);
  }

  /** Ends a call, or the prefill of a stream. */
  #endWork(job: Job): void {
    const run = this.#running.get(job);
    if (!run) return;
    this.#running.delete(job);
    this.#counts.busyMs += run.endsAt - run.startedAt;
    if (this.#spec.kind === 'engine') this.#storeParts(job.parts);
    this.#sendEvent(job, 1, run.endsAt);
  }

  /** @param at when the event was due */
  #sendEvent(job: Job, number: number, at: number): void {
    const isLast = this.#spec.kind === 'service' || number >= STREAM.events;
    const now = performance.now();
    this.#streaming.delete(job);
    if (!isLast) {
      const timer = setTimeout(() => {
        this.#sendEvent(job, number + 1, performance.now());
      }, STREAM.eventMs * this.factor);
      this.#streaming.set(job, timer);
    } else if (now > job.deadlineAt) this.#counts.inVain += 1;
    this.#beginNext(at, now);
    job.onEvent(number, isLast);
  }

  #runningTokens(): number {
    const jobs = [...this.#running.keys(), ...this.#streaming.keys()];
    return jobs.reduce((sum, {parts}) => sum + tokensOf(parts), 0);
  }

  /** A cached part is usable only if all parts before it are cached. */
  #coldTokens(parts: readonly PromptPart[]): number {
    const firstCold = parts.findIndex(({id}) => !this.#cached.has(id));
    return firstCold < 0 ? 0 : tokensOf(parts.slice(firstCold));
  }

  /** Caches the shared parts and evicts the least recently used ones. */
  #storeParts(parts: readonly PromptPart[]): void {
    for (const {id, tokens} of parts.slice(0, -1)) {
      this.#cached.delete(id);
      this.#cached.set(id, tokens);
    }
    const cached = [...this.#cached.values()];
    let used =
      this.#runningTokens() + cached.reduce((sum, one) => sum + one, 0);
    for (const [id, tokens] of this.#cached) {
      if (used <= this.#spec.cacheTokens) return;
      this.#cached.delete(id);
      used -= tokens;
    }
  }
}
