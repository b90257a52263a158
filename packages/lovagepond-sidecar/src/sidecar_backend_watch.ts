/**
 * Watches the backend server: whether it answers, whether it restarted, and
 * what it reports of its load and cache.
 */
import {type CacheEvent} from '@lovagepond/backend';
import {type Clock, type Logger, type Unregister} from '@lovagepond/core';
import {type Backend} from './sidecar_backend.js';
import {type SidecarGate} from './sidecar_gate.js';

/** Looks in a row without an answer, after which it counts as down. */
const FAILURES_UNTIL_DOWN = 2;

/** What the watch needs. */
export interface WatchDependencies {
  readonly backend: Backend;
  readonly gate: SidecarGate;
  readonly clock: Clock;
  readonly log: Logger;
}

type CacheHandlers = {
  readonly [Kind in CacheEvent['kind']]: (
    event: Extract<CacheEvent, {kind: Kind}>,
    gate: SidecarGate,
  ) => void;
};

const CACHE_HANDLERS: CacheHandlers = {
  stored: ({sequence, key, tokens}, gate) => {
    gate.cache.apply(sequence, key.workspace, key.chat, tokens);
  },
  evicted: ({sequence, key}, gate) => {
    gate.cache.apply(sequence, key.workspace, key.chat, 0);
  },
  gap: ({sequence}, gate) => gate.cache.noteGap(sequence),
};

/** Keeps the gate's knowledge of its backend server up to date. */
export class SidecarBackendWatch {
  readonly #deps: WatchDependencies;
  #failures = FAILURES_UNTIL_DOWN;
  #incarnation: string | undefined;
  #models: readonly string[] = [];
  #unregister: Unregister = () => {};
  #probing: Promise<void> | undefined;
  /** Lives of the backend server that have ended. */
  #endedInstances = 0;
  /** None runs now, as far as is known. */
  #isInstanceOver = true;

  constructor(deps: WatchDependencies) {
    this.#deps = deps;
  }

  /** @returns true while the backend server answers */
  get up(): boolean {
    return this.#failures < FAILURES_UNTIL_DOWN;
  }

  /** @returns models it has loaded */
  get models(): readonly string[] {
    return this.#models;
  }

  /** Starts to listen to cache events. */
  start(): void {
    const {backend, gate} = this.#deps;
    if (backend.kind !== 'engine') return;
    this.#unregister = backend.engine.subscribeCache(event => {
      CACHE_HANDLERS[event.kind](event as never, gate);
    });
  }

  /** Ends it. */
  stop(): void {
    this.#unregister();
  }

  /**
   * A request could not be sent. Seen by the next look alone, a dead server
   * would fail requests for a while, and look idle and take others' meanwhile.
   */
  noteUnreachable(): void {
    this.#failures += 1;
  }

  /** The life that runs now, counted from 0. */
  get instance(): number {
    return this.#endedInstances;
  }

  /**
   * To be asked when a run broke off.
   *
   * @param instance of the backend server when the run began
   * @returns true when that life has ended
   */
  async hasEnded(instance: number): Promise<boolean> {
    // A look that is under way may have been answered before the run broke off.
    for (
      let probes = 0;
      probes < 2 && instance === this.#endedInstances;
      probes += 1
    ) {
      await this.probe();
    }
    return instance < this.#endedInstances;
  }

  /** Looks once; a look that still goes on is not doubled. */
  probe(): Promise<void> {
    this.#probing ??= this.#probeOnce().finally(() => {
      this.#probing = undefined;
    });
    return this.#probing;
  }

  async #probeOnce(): Promise<void> {
    const wasUp = this.up;
    const answered = await this.#checkBackend();
    if (answered) this.#isInstanceOver = false;
    else this.#endInstance();
    this.#failures = answered ? 0 : this.#failures + 1;
    if (wasUp === this.up) return;
    this.#deps.log.info('backend server', {up: this.up});
  }

  #endInstance(): void {
    if (!this.#isInstanceOver) this.#endedInstances += 1;
    this.#isInstanceOver = true;
  }

  async #checkBackend(): Promise<boolean> {
    const {backend, gate, clock} = this.#deps;
    if (backend.kind === 'service') return backend.service.probe();
    const report = await backend.engine.loadReport(clock.now());
    if (!report.ok) return false;
    const {incarnation, runningTokens, waitingTokens} = report.value;
    const now = clock.now();
    if (this.#incarnation !== undefined && this.#incarnation !== incarnation) {
      // Its cache is empty now: kept as warm, chats would be held for it.
      gate.backendRestarted(now);
      this.#endInstance();
      this.#deps.log.warn('backend server restarted', {incarnation});
    }
    this.#incarnation = incarnation;
    this.#models = report.value.models;
    gate.admission.setEngineCapacity(report.value.capacityTokens);
    const lagMs = now - report.value.measuredAt;
    gate.admission.setEngineReport(runningTokens + waitingTokens, lagMs, now);
    return true;
  }
}
