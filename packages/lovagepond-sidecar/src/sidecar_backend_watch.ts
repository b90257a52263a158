/**
 * Health checking of the backend server: whether it responds, whether it
 * restarted, and its reported load and cache contents.
 */
import {type CacheEvent, type ServerNotice} from '@lovagepond/backend';
import {
  type Clock,
  type Logger,
  mergeRegister,
  type Unregister,
} from '@lovagepond/core';
import {type Backend, onBackendNotice} from './sidecar_backend.js';
import {type SidecarGate} from './sidecar_gate.js';

/** Number of consecutive failed probes after which the server is down. */
const FAILURES_UNTIL_DOWN = 2;

export interface WatchDependencies {
  readonly backend: Backend;
  readonly gate: SidecarGate;
  readonly clock: Clock;
  readonly log: Logger;
  /** Called when the server asks for a pause or says that it is leaving. */
  readonly onNotice: () => void;
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

/** Probes the backend server and updates the gate. */
export class SidecarBackendWatch {
  readonly #deps: WatchDependencies;
  #failures = FAILURES_UNTIL_DOWN;
  #incarnation: string | undefined;
  #models: readonly string[] = [];
  #unregister: Unregister = () => {};
  #probing: Promise<void> | undefined;
  /** Number of backend instances that have ended. */
  #endedInstances = 0;
  /** End of the pause that the server asked for, monotonic milliseconds. */
  #pausedUntil = Number.NEGATIVE_INFINITY;
  /** The instance that said it is about to exit. */
  #leavingInstance: number | undefined;
  /** True while no instance is known to be running. */
  #isInstanceOver = true;

  constructor(deps: WatchDependencies) {
    this.#deps = deps;
  }

  /** @returns true while the backend server responds */
  get up(): boolean {
    return this.#failures < FAILURES_UNTIL_DOWN;
  }

  /** @returns models that the backend server has loaded */
  get models(): readonly string[] {
    return this.#models;
  }

  /** True once the current instance said that it is about to exit. */
  get isLeaving(): boolean {
    return this.#leavingInstance === this.#endedInstances;
  }

  /**
   * @param now current time, monotonic milliseconds
   * @returns time until the pause that the server asked for ends; 0 for none
   */
  pauseLeftMs(now: number): number {
    return Math.max(0, this.#pausedUntil - now);
  }

  /** Subscribes to cache events and to the server's notices. */
  start(): void {
    const {backend, gate} = this.#deps;
    const unregisterNotices = onBackendNotice(backend, notice => {
      this.#handleNotice(notice);
    });
    if (backend.kind !== 'engine') {
      this.#unregister = unregisterNotices;
      return;
    }
    const unsubscribe = backend.engine.subscribeCache(event => {
      CACHE_HANDLERS[event.kind](event as never, gate);
    });
    this.#unregister = mergeRegister(unregisterNotices, unsubscribe);
  }

  stop(): void {
    this.#unregister();
  }

  /**
   * Counts a request that could not be sent as a failed probe. If only probes
   * counted, a crashed server would fail requests until the next probe, and
   * meanwhile appear idle and take requests from other servers.
   */
  noteUnreachable(): void {
    this.#failures += 1;
  }

  /** Number of the current backend instance, counted from 0. */
  get instance(): number {
    return this.#endedInstances;
  }

  /**
   * Checks after an interrupted run whether the backend server has crashed.
   *
   * @param instance number of the backend instance at the start of the run
   * @returns true when that instance has ended
   */
  async hasEnded(instance: number): Promise<boolean> {
    // A probe in flight may have been answered before the run was interrupted,
    // so a second one follows.
    for (
      let probes = 0;
      probes < 2 && instance === this.#endedInstances;
      probes += 1
    ) {
      await this.probe();
    }
    return instance < this.#endedInstances;
  }

  /**
   * Probes the backend server once, unless it asked for a pause; concurrent
   * calls share one probe.
   */
  probe(): Promise<void> {
    if (this.pauseLeftMs(this.#deps.clock.now()) > 0) return Promise.resolve();
    this.#probing ??= this.#probeOnce().finally(() => {
      this.#probing = undefined;
    });
    return this.#probing;
  }

  #handleNotice({pauseMs, isLeaving}: ServerNotice): void {
    const {clock, log, onNotice} = this.#deps;
    const until = clock.now() + pauseMs;
    this.#pausedUntil = Math.max(this.#pausedUntil, until);
    if (isLeaving) this.#leavingInstance = this.#endedInstances;
    log.info('backend server wants no requests', {pauseMs, leaving: isLeaving});
    onNotice();
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
    if (!this.#isInstanceOver) {
      this.#endedInstances += 1;
      this.#pausedUntil = Number.NEGATIVE_INFINITY;
    }
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
      // The cache of the new instance is empty. If its chats stayed marked as
      // warm, requests would be held for a context that no longer exists.
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
