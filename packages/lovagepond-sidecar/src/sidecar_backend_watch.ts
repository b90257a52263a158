/**
 * Watches the backend server: whether it answers, whether it restarted, and
 * what it reports of its load and cache.
 */
import {type CacheEvent} from '@lovagepond/backend';
import {type Clock, type Logger, type Unregister} from '@lovagepond/core';
import {type Backend} from './sidecar_backend.js';
import {type SidecarGate} from './sidecar_gate.js';

/** Looks in a row without an answer, after which it counts as down. */
const DOWN_AFTER = 2;

/** What the watch needs. */
export interface WatchParts {
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
  readonly #parts: WatchParts;
  #failures = DOWN_AFTER;
  #incarnation: string | undefined;
  #models: readonly string[] = [];
  #unregister: Unregister = () => {};
  #looking: Promise<void> | undefined;
  /** Lives of the backend server that have ended. */
  #endedLives = 0;
  /** None runs now, as far as is known. */
  #isLifeOver = true;

  constructor(parts: WatchParts) {
    this.#parts = parts;
  }

  /** @returns true while the backend server answers */
  get up(): boolean {
    return this.#failures < DOWN_AFTER;
  }

  /** @returns models it has loaded */
  get models(): readonly string[] {
    return this.#models;
  }

  /** Starts to listen to cache events. */
  start(): void {
    const {backend, gate} = this.#parts;
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
  get life(): number {
    return this.#endedLives;
  }

  /**
   * To be asked when a run broke off.
   *
   * @param life of the backend server when the run began
   * @returns true when that life has ended
   */
  async hasEnded(life: number): Promise<boolean> {
    // A look that is under way may have been answered before the run broke off.
    for (let looks = 0; looks < 2 && life === this.#endedLives; looks += 1) {
      await this.look();
    }
    return life < this.#endedLives;
  }

  /** Looks once; a look that still goes on is not doubled. */
  look(): Promise<void> {
    this.#looking ??= this.#lookOnce().finally(() => {
      this.#looking = undefined;
    });
    return this.#looking;
  }

  async #lookOnce(): Promise<void> {
    const wasUp = this.up;
    const answered = await this.#ask();
    if (answered) this.#isLifeOver = false;
    else this.#endLife();
    this.#failures = answered ? 0 : this.#failures + 1;
    if (wasUp === this.up) return;
    this.#parts.log.info('backend server', {up: this.up});
  }

  #endLife(): void {
    if (!this.#isLifeOver) this.#endedLives += 1;
    this.#isLifeOver = true;
  }

  async #ask(): Promise<boolean> {
    const {backend, gate, clock} = this.#parts;
    if (backend.kind === 'service') return backend.service.probe();
    const report = await backend.engine.loadReport(clock.now());
    if (!report.ok) return false;
    const {incarnation, runningTokens, waitingTokens} = report.value;
    const now = clock.now();
    if (this.#incarnation !== undefined && this.#incarnation !== incarnation) {
      // Its cache is empty now: kept as warm, chats would be held for it.
      gate.backendRestarted(now);
      this.#endLife();
      this.#parts.log.warn('backend server restarted', {incarnation});
    }
    this.#incarnation = incarnation;
    this.#models = report.value.models;
    gate.admission.setEngineCapacity(report.value.capacityTokens);
    const lagMs = now - report.value.measuredAt;
    gate.admission.setEngineReport(runningTokens + waitingTokens, lagMs, now);
    return true;
  }
}
