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

/** What the HTTP side needs of both kinds of work. */
export interface BackendWork {
  readonly load: {readonly running: number; readonly waiting: number};
  /** Multiple of the usual durations. */
  factor: number;
  /** A crashed server starts no more work. */
  isStopped: boolean;
  arrive(job: Job, now: number): void;
  /** The caller has closed the connection. */
  cancel(job: Job, now: number): void;
}

interface Running {
  readonly startedAt: number;
  readonly endsAt: number;
  readonly timer: NodeJS.Timeout;
}

/** Takes the next job that can still meet its deadline. */
function takeNext(waiting: Job[], now: number): Job | undefined {
  for (;;) {
    const job = waiting.shift();
    if (!job || now <= job.deadlineAt) return job;
    job.onRefused();
  }
}

function removeFrom(waiting: Job[], job: Job): void {
  const at = waiting.indexOf(job);
  if (at >= 0) waiting.splice(at, 1);
}

/** A plain service. */
export class ServiceWork implements BackendWork {
  factor = 1;
  isStopped = false;
  readonly #spec: BackendSpec;
  readonly #counts: WorkCounts;
  readonly #running = new Map<Job, Running>();
  readonly #waiting: Job[] = [];

  constructor(spec: BackendSpec, counts: WorkCounts) {
    this.#spec = spec;
    this.#counts = counts;
  }

  get load(): {readonly running: number; readonly waiting: number} {
    return {running: this.#running.size, waiting: this.#waiting.length};
  }

  arrive(job: Job, now: number): void {
    if (this.#running.size < this.#spec.slots) this.#begin(job, now, now);
    else if (this.#waiting.length < this.#spec.queue) this.#waiting.push(job);
    else job.onRefused();
  }

  cancel(job: Job, now: number): void {
    const run = this.#running.get(job);
    if (!run) {
      removeFrom(this.#waiting, job);
      return;
    }
    clearTimeout(run.timer);
    this.#counts.inVain += 1;
    this.#counts.busyMs += Math.max(0, now - run.startedAt);
    this.#running.delete(job);
    this.#beginNext(now, now);
  }

  #begin(job: Job, startedAt: number, now: number): void {
    const endsAt = startedAt + this.#spec.workMs * this.factor;
    const timer = setTimeout(() => {
      this.#end(job);
    }, endsAt - now);
    this.#running.set(job, {startedAt, endsAt, timer});
    this.#counts.noteStarted(job);
  }

  #end(job: Job): void {
    const run = this.#running.get(job);
    if (!run) return;
    const now = performance.now();
    this.#running.delete(job);
    this.#counts.busyMs += run.endsAt - run.startedAt;
    if (run.endsAt > job.deadlineAt) this.#counts.inVain += 1;
    this.#beginNext(run.endsAt, now);
    job.onEvent(1, true);
  }

  #beginNext(freeAt: number, now: number): void {
    if (this.isStopped) return;
    const job = takeNext(this.#waiting, now);
    if (job) this.#begin(job, Math.max(freeAt, job.arrivedAt), now);
  }
}

function tokensOf(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, {tokens}) => sum + tokens, 0);
}

/** An engine: one prompt at a time, high priority first. */
export class EngineWork implements BackendWork {
  factor = 1;
  isStopped = false;
  readonly #spec: BackendSpec;
  readonly #counts: WorkCounts;
  /** Most urgent first, then in order of arrival. */
  readonly #waiting: Job[] = [];
  readonly #running = new Map<Job, NodeJS.Timeout>();
  #runningTokens = 0;
  /** Tokens of the cached shared parts, least recently used first. */
  readonly #cached = new Map<string, number>();
  #cachedTokens = 0;
  #prefill: (Running & {readonly job: Job}) | undefined;

  constructor(spec: BackendSpec, counts: WorkCounts) {
    this.#spec = spec;
    this.#counts = counts;
  }

  get load(): {readonly running: number; readonly waiting: number} {
    return {running: this.#running.size, waiting: this.#waiting.length};
  }

  arrive(job: Job, now: number): void {
    if (this.#waiting.length >= this.#spec.queue) {
      job.onRefused();
      return;
    }
    const at = this.#waiting.findIndex(one => one.priority > job.priority);
    this.#waiting.splice(at < 0 ? this.#waiting.length : at, 0, job);
    this.#beginNext(now, now);
  }

  cancel(job: Job, now: number): void {
    const timer = this.#running.get(job);
    if (!timer) {
      removeFrom(this.#waiting, job);
      return;
    }
    clearTimeout(timer);
    this.#counts.inVain += 1;
    if (this.#prefill?.job === job) {
      this.#counts.busyMs += Math.max(0, now - this.#prefill.startedAt);
      this.#prefill = undefined;
    }
    this.#remove(job);
    this.#beginNext(now, now);
  }

  #beginNext(freeAt: number, now: number): void {
    const {slots, cacheTokens, prefillRate} = this.#spec;
    if (this.isStopped || this.#prefill) return;
    if (this.#running.size >= slots) return;
    const needed = tokensOf(this.#waiting[0]?.parts ?? []);
    const hasMemory = this.#runningTokens + needed <= cacheTokens;
    if (this.#running.size > 0 && !hasMemory) return;
    const job = takeNext(this.#waiting, now);
    if (!job) return;
    this.#runningTokens += tokensOf(job.parts);
    const startedAt = Math.max(freeAt, job.arrivedAt);
    const cold = this.#coldTokens(job.parts);
    const endsAt = startedAt + (cold / prefillRate) * this.factor;
    const timer = setTimeout(() => {
      this.#endPrefill(job);
    }, endsAt - now);
    this.#prefill = {job, startedAt, endsAt, timer};
    this.#running.set(job, timer);
    this.#counts.noteStarted(job);
  }

  #endPrefill(job: Job): void {
    const prefill = this.#prefill;
    if (prefill?.job !== job) return;
    this.#prefill = undefined;
    this.#counts.busyMs += prefill.endsAt - prefill.startedAt;
    this.#storeParts(job.parts);
    this.#sendEvent(job, 1);
    this.#beginNext(prefill.endsAt, performance.now());
  }

  #sendEvent(job: Job, number: number): void {
    const isLast = number >= STREAM.events;
    if (isLast) this.#end(job);
    else {
      const timer = setTimeout(() => {
        this.#sendEvent(job, number + 1);
      }, STREAM.eventMs * this.factor);
      this.#running.set(job, timer);
    }
    job.onEvent(number, isLast);
  }

  #end(job: Job): void {
    const now = performance.now();
    if (now > job.deadlineAt) this.#counts.inVain += 1;
    this.#remove(job);
    this.#beginNext(now, now);
  }

  #remove(job: Job): void {
    this.#running.delete(job);
    this.#runningTokens -= tokensOf(job.parts);
  }

  /** A cached part is usable only if all parts before it are cached. */
  #coldTokens(parts: readonly PromptPart[]): number {
    const firstCold = parts.findIndex(({id}) => !this.#cached.has(id));
    return firstCold < 0 ? 0 : tokensOf(parts.slice(firstCold));
  }

  /** Caches the shared parts and evicts the least recently used ones. */
  #storeParts(parts: readonly PromptPart[]): void {
    for (const {id, tokens} of parts.slice(0, -1)) {
      if (!this.#cached.delete(id)) this.#cachedTokens += tokens;
      this.#cached.set(id, tokens);
    }
    for (const [id, tokens] of this.#cached) {
      const used = this.#cachedTokens + this.#runningTokens;
      if (used <= this.#spec.cacheTokens) return;
      this.#cached.delete(id);
      this.#cachedTokens -= tokens;
    }
  }
}
