/**
 * Runs one role as a process: platform server, signals, graceful shutdown.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {
  type Clock,
  type LogFields,
  type Logger,
  type Role,
} from '@lovagepond/core';
import {type ExitCode} from './exit_codes_constants.js';
import {
  Lifecycle,
  type LifecycleAction,
  type LifecycleEvent,
  type LifecycleSettings,
} from './process_lifecycle.js';
import {type MetricsRegistry} from './metrics_registry.js';
import {PlatformServer} from './process_server.js';
import {registerSignals} from './process_signals.js';
import {formatHostPort, type HostPort} from './settings_units.js';
import {renderDump} from './state_dump.js';

const MICROSECONDS_PER_MS = 1_000;

export interface ProcessSettings extends LifecycleSettings {
  /** Listen address for health, readiness, metrics and dump. */
  readonly address: HostPort;
  /** Folder for state dumps requested by signal. */
  readonly dataFolder: string;
}

export interface ProcessDependencies {
  readonly role: Role;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: MetricsRegistry;
  /** Registers for signals; by default for those of the operating system. */
  readonly registerSignals?: typeof registerSignals;
  /** Reads the settings again and applies the reloadable ones. */
  readonly reload: (runner: ProcessRunner) => void;
}

type ActionHandlers = {
  readonly [Kind in LifecycleAction['kind']]: (
    action: Extract<LifecycleAction, {kind: Kind}>,
  ) => void;
};

/**
 * Both times count from the start of the process.
 *
 * @param loadedAt when all code was loaded and the settings were read, ms
 * @param startedAt when the role listened on its addresses, ms
 */
function describeStart(loadedAt: number, startedAt: number): LogFields {
  const {user, system} = process.cpuUsage();
  return {
    loadedMs: Math.round(loadedAt),
    startedMs: Math.round(startedAt),
    processorMs: Math.round((user + system) / MICROSECONDS_PER_MS),
  };
}

/** Runs one role from its start until the exit code is known. */
export class ProcessRunner {
  readonly #settings: ProcessSettings;
  readonly #deps: ProcessDependencies;
  readonly #lifecycle: Lifecycle;
  readonly #server: PlatformServer;
  #finish: (exitCode: ExitCode) => void = () => undefined;
  #noteStarted: () => void = () => undefined;
  readonly #started = new Promise<void>(resolve => {
    this.#noteStarted = resolve;
  });
  readonly #handlers: ActionHandlers = {
    withdrawReadiness: ({delayMs}) => {
      this.#deps.log.info('readiness withdrawn', {delayMs});
      setTimeout(() => {
        this.handle('delayOver');
      }, delayMs);
    },
    drain: ({limitMs}) => void this.#drain(limitMs),
    end: ({exitCode}) => {
      this.#finish(exitCode);
    },
    exit: ({exitCode}) => {
      process.exit(exitCode);
    },
    ignore: ({event}) => {
      this.#deps.log.info('signal ignored: the process is stopping', {event});
    },
    reload: () => {
      this.#deps.reload(this);
    },
    dump: () => {
      this.#writeDump();
    },
  };

  constructor(settings: ProcessSettings, deps: ProcessDependencies) {
    this.#settings = settings;
    this.#deps = deps;
    this.#lifecycle = new Lifecycle(settings);
    this.#server = new PlatformServer(settings.address, {
      isReady: () => this.#lifecycle.isRunning && deps.role.isReady(),
      renderDump: () => renderDump(deps.role.dump()),
      metrics: deps.metrics,
    });
  }

  /**
   * Starts the role and runs it until a signal stops it.
   *
   * After a start, the signal handlers stay until the process exits: with its
   * default action, a repeated signal would kill the process while it stops or
   * writes the last lines of its log.
   *
   * @returns the exit code
   * @throws when an address or the data folder can't be opened
   */
  async run(): Promise<ExitCode> {
    const {role, log, clock} = this.#deps;
    const loadedAt = clock.now();
    const ended = new Promise<ExitCode>(resolve => {
      this.#finish = resolve;
    });
    const register = this.#deps.registerSignals ?? registerSignals;
    const unregister = register(event => {
      this.handle(event);
    });
    try {
      const address = await this.#server.start();
      await role.start();
      this.#noteStarted();
      log.info('started', {
        platformAddress: formatHostPort(address),
        ...describeStart(loadedAt, clock.now()),
      });
    } catch (err) {
      unregister();
      await this.#stop();
      throw err;
    }
    const exitCode = await ended;
    await this.#stop();
    log.info('ended', {exitCode});
    return exitCode;
  }

  async #stop(): Promise<void> {
    await this.#deps.role.stop();
    await this.#server.stop();
  }

  /** @param settings reloaded time limits of the next graceful shutdown */
  configure(settings: LifecycleSettings): void {
    this.#lifecycle.configure(settings);
  }

  /** @param event a signal, or a completed step of the graceful shutdown */
  handle(event: LifecycleEvent): void {
    const actions = this.#lifecycle.handle(event);
    for (const action of actions) {
      const handler = this.#handlers[action.kind] as (
        action: LifecycleAction,
      ) => void;
      handler(action);
    }
  }

  /** A role that drained while it starts would listen after its drain. */
  async #drain(limitMs: number): Promise<void> {
    const {role, log, clock} = this.#deps;
    const startedAt = clock.now();
    await this.#started;
    const waitedMs = Math.round(clock.now() - startedAt);
    const remainingMs = Math.max(0, limitMs - waitedMs);
    log.info('draining', {limitMs: remainingMs});
    try {
      const {unfinished} = await role.drain(remainingMs);
      const durationMs = Math.round(clock.now() - startedAt);
      this.#noteDrained(unfinished, durationMs);
    } catch (err) {
      log.error('drain failed', {reason: String(err)});
      this.handle('drainFailed');
    }
  }

  #noteDrained(unfinished: number, durationMs: number): void {
    const {log} = this.#deps;
    // A forced end aborts the requests, so that the drain ends with it.
    if (this.#lifecycle.hasEnded) return;
    if (unfinished === 0) {
      log.info('drained', {unfinished, durationMs});
      this.handle('drained');
      return;
    }
    log.warn('drain limit reached', {unfinished, durationMs});
    this.handle('drainLimitReached');
  }

  #writeDump(): void {
    const {role, clock, log} = this.#deps;
    const dump = role.dump();
    const file = join(
      this.#settings.dataFolder,
      `dump-${dump.role}-${clock.wallTime()}.json`,
    );
    try {
      mkdirSync(this.#settings.dataFolder, {recursive: true});
      writeFileSync(file, renderDump(dump));
      log.info('state dumped', {file});
    } catch (err) {
      log.error('state dump failed', {file, reason: String(err)});
    }
  }
}
