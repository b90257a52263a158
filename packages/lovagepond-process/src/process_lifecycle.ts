/**
 * State machine for shutdown, reload and dump of a process, without I/O.
 *
 * A graceful shutdown first withdraws readiness, and starts to drain only after
 * a delay in which load balancers notice this. If the address were closed at
 * once, requests would be refused while a balancer still lists this process.
 */
import {EXIT_CODE, type ExitCode} from './exit_codes_constants.js';

/** Signals, and completed steps of a graceful shutdown. */
export const LIFECYCLE_EVENT = {
  TERMINATE: 'terminate',
  INTERRUPT: 'interrupt',
  RELOAD: 'reload',
  DUMP: 'dump',
  DELAY_OVER: 'delayOver',
  /** All work ended within the limit of the drain. */
  DRAINED: 'drained',
  /** Requests were still open at the limit of the drain. */
  DRAIN_LIMIT_REACHED: 'drainLimitReached',
  DRAIN_FAILED: 'drainFailed',
} as const;

export type LifecycleEvent =
  (typeof LIFECYCLE_EVENT)[keyof typeof LIFECYCLE_EVENT];

/** An action for the process runner to perform. */
export type LifecycleAction =
  | {readonly kind: 'withdrawReadiness'; readonly delayMs: number}
  | {readonly kind: 'drain'; readonly limitMs: number}
  | {readonly kind: 'end'; readonly exitCode: ExitCode}
  /** Exits without waiting for anything. */
  | {readonly kind: 'exit'; readonly exitCode: ExitCode}
  | {readonly kind: 'ignore'; readonly event: LifecycleEvent}
  | {readonly kind: 'reload'}
  | {readonly kind: 'dump'};

/** Time limits of a graceful shutdown. */
export interface LifecycleSettings {
  /** Delay between withdrawing readiness and draining, milliseconds. */
  readonly announceDelayMs: number;
  /** Longest time to wait for requests in flight, milliseconds. */
  readonly drainLimitMs: number;
}

/** `announcing`: readiness is withdrawn, and draining starts after the delay. */
type Phase = 'running' | 'announcing' | 'draining' | 'ended';
type Handler = () => LifecycleAction[];

function ignore(event: LifecycleEvent): LifecycleAction[] {
  return [{kind: 'ignore', event}];
}

/** Tracks the phases of one process from start to end. */
export class Lifecycle {
  #settings: LifecycleSettings;
  #phase: Phase = 'running';
  #interrupts = 0;
  readonly #handlers: Readonly<Record<LifecycleEvent, Handler>> = {
    terminate: () => this.#onTerminate(),
    interrupt: () => this.#onInterrupt(),
    reload: () =>
      this.#phase === 'running' ? [{kind: 'reload'}] : ignore('reload'),
    dump: () => (this.#phase === 'ended' ? [] : [{kind: 'dump'}]),
    delayOver: () => this.#onDelayOver(),
    drained: () => this.#onDrainOver(EXIT_CODE.OK),
    drainLimitReached: () => this.#onDrainOver(EXIT_CODE.DRAIN_LIMIT),
    drainFailed: () => this.#onDrainOver(EXIT_CODE.INTERNAL),
  };

  constructor(settings: LifecycleSettings) {
    this.#settings = settings;
  }

  /** @param settings time limits of the next graceful shutdown */
  configure(settings: LifecycleSettings): void {
    this.#settings = settings;
  }

  /** True until the first termination signal. */
  get isRunning(): boolean {
    return this.#phase === 'running';
  }

  /** True once the exit code is decided. */
  get hasEnded(): boolean {
    return this.#phase === 'ended';
  }

  /**
   * @param event the event to process
   * @returns the actions to perform, in order
   */
  handle(event: LifecycleEvent): LifecycleAction[] {
    return this.#handlers[event]();
  }

  /**
   * Supervisors and scripts repeat SIGTERM, and a process gets it both alone
   * and with its group, so a repeated one must not cut requests.
   */
  #onTerminate(): LifecycleAction[] {
    if (this.#phase !== 'running') return ignore('terminate');
    this.#phase = 'announcing';
    const delayMs = this.#settings.announceDelayMs;
    return [{kind: 'withdrawReadiness', delayMs}];
  }

  /** The second interrupt ends the process at once, as a terminal's user expects. */
  #onInterrupt(): LifecycleAction[] {
    this.#interrupts += 1;
    if (this.#phase === 'running') return this.#onTerminate();
    if (this.#interrupts < 2) return ignore('interrupt');
    if (this.#phase !== 'ended') return this.#end(EXIT_CODE.FORCED);
    return [{kind: 'exit', exitCode: EXIT_CODE.FORCED}];
  }

  #onDelayOver(): LifecycleAction[] {
    if (this.#phase !== 'announcing') return [];
    this.#phase = 'draining';
    return [{kind: 'drain', limitMs: this.#settings.drainLimitMs}];
  }

  #onDrainOver(exitCode: ExitCode): LifecycleAction[] {
    return this.#phase === 'draining' ? this.#end(exitCode) : [];
  }

  #end(exitCode: ExitCode): LifecycleAction[] {
    this.#phase = 'ended';
    return [{kind: 'end', exitCode}];
  }
}
