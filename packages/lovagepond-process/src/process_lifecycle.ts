/**
 * Decides how a process ends, reloads and dumps: a decider without I/O.
 *
 * A planned stop withdraws readiness first and waits until balancers have
 * seen it; closing the address at once would have callers refused for as
 * long as the balancer still lists this process.
 */
import {EXIT_CODE, type ExitCode} from './exit_codes_constants.js';

/** What happens to a process from outside. */
export const LIFECYCLE_EVENT = {
  TERMINATE: 'terminate',
  RELOAD: 'reload',
  DUMP: 'dump',
  DELAY_OVER: 'delayOver',
  DRAINED: 'drained',
} as const;

/** One of the values of {@link LIFECYCLE_EVENT}. */
export type LifecycleEvent =
  (typeof LIFECYCLE_EVENT)[keyof typeof LIFECYCLE_EVENT];

/** What the process must do now. */
export type LifecycleAction =
  | {readonly kind: 'withdrawReadiness'; readonly delayMs: number}
  | {readonly kind: 'drain'; readonly limitMs: number}
  | {readonly kind: 'end'; readonly exitCode: ExitCode}
  | {readonly kind: 'reload'}
  | {readonly kind: 'dump'};

/** Limits of a planned stop. */
export interface LifecycleSettings {
  /** Time between loss of readiness and the drain, milliseconds. */
  readonly announceDelayMs: number;
  /** Longest time for requests in flight, milliseconds. */
  readonly drainLimitMs: number;
}

type Phase = 'running' | 'announcing' | 'draining' | 'ended';
type Handler = (now: number) => LifecycleAction[];

/** The phases of one process from start to end. */
export class Lifecycle {
  #settings: LifecycleSettings;
  #phase: Phase = 'running';
  #drainStartedAt = 0;
  readonly #handlers: Readonly<Record<LifecycleEvent, Handler>> = {
    terminate: () => this.#onTerminate(),
    reload: () => (this.#phase === 'running' ? [{kind: 'reload'}] : []),
    dump: () => (this.#phase === 'ended' ? [] : [{kind: 'dump'}]),
    delayOver: now => this.#onDelayOver(now),
    drained: now => this.#onDrained(now),
  };

  constructor(settings: LifecycleSettings) {
    this.#settings = settings;
  }

  /** @param settings limits of the next planned stop */
  configure(settings: LifecycleSettings): void {
    this.#settings = settings;
  }

  /** True until the first signal to end. */
  get isRunning(): boolean {
    return this.#phase === 'running';
  }

  /**
   * @param event what happened
   * @param now monotonic milliseconds
   * @returns what to do, in order
   */
  handle(event: LifecycleEvent, now: number): LifecycleAction[] {
    return this.#handlers[event](now);
  }

  #onTerminate(): LifecycleAction[] {
    if (this.#phase === 'ended') return [];
    if (this.#phase !== 'running') return this.#end(EXIT_CODE.FORCED);
    this.#phase = 'announcing';
    const delayMs = this.#settings.announceDelayMs;
    return [{kind: 'withdrawReadiness', delayMs}];
  }

  #onDelayOver(now: number): LifecycleAction[] {
    if (this.#phase !== 'announcing') return [];
    this.#phase = 'draining';
    this.#drainStartedAt = now;
    return [{kind: 'drain', limitMs: this.#settings.drainLimitMs}];
  }

  #onDrained(now: number): LifecycleAction[] {
    if (this.#phase !== 'draining') return [];
    const took = now - this.#drainStartedAt;
    const late = took >= this.#settings.drainLimitMs;
    return this.#end(late ? EXIT_CODE.DRAIN_LIMIT : EXIT_CODE.OK);
  }

  #end(exitCode: ExitCode): LifecycleAction[] {
    this.#phase = 'ended';
    return [{kind: 'end', exitCode}];
  }
}
