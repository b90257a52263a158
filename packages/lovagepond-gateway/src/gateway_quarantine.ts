/**
 * Keeps requests that crash servers from running: detects crashed servers,
 * reports them to control, and applies the quarantines that control decides on.
 */
import {type Clock, type Logger, type ServerCrash} from '@lovagepond/core';
import {type ControlUpdate} from '@lovagepond/router/control_link';
import {CrashReporter} from '@lovagepond/router/crash_reporter';
import {
  type CrashReport,
  RequestQuarantine,
  SUSPECT_CRASHES,
} from '@lovagepond/router/quarantine';
import {type AttemptFailure} from './gateway_attempt.js';
import {
  GatewayCrashDetector,
  type Reachability,
} from './gateway_crash_detector.js';
import {type ServerState} from './gateway_server_state.js';

type QuarantineUpdate = NonNullable<ControlUpdate['quarantine']>;

export interface QuarantineDependencies {
  readonly clock: Clock;
  readonly log: Logger;
  /** @param address `host:port` of a server that may have crashed */
  readonly probe: (address: string) => Promise<Reachability>;
  /** @returns true once control has recorded the report */
  readonly report: (report: CrashReport) => Promise<boolean>;
  /** Aborts the requests in flight with the fingerprint. */
  readonly abortQuarantined: (fingerprint: string) => void;
}

export class GatewayQuarantine {
  readonly #deps: QuarantineDependencies;
  readonly #requests = new RequestQuarantine();
  readonly #reporter: CrashReporter;
  readonly #detector = new GatewayCrashDetector((crash, now) => {
    this.#noteCrash(crash, now);
  });

  constructor(deps: QuarantineDependencies) {
    this.#deps = deps;
    const {clock, report} = deps;
    const quarantine = this.#requests;
    this.#reporter = new CrashReporter({clock, quarantine, report});
  }

  /** Number of servers that crashed while they ran this gateway's requests. */
  get crashedServers(): number {
    return this.#detector.crashes;
  }

  /** Number of suspected requests that control lists. */
  get size(): number {
    return this.#requests.size;
  }

  /**
   * Must be called periodically.
   *
   * @param now current time, monotonic milliseconds
   */
  tick(now: number): void {
    this.#probe(now);
    this.#reporter.tick(now);
  }

  /**
   * @param update the complete list of suspected requests
   * @param now current time, monotonic milliseconds
   */
  useUpdate(update: QuarantineUpdate, now: number): void {
    for (const fingerprint of this.#requests.apply(update, now)) {
      this.#deps.log.warn('request quarantined', {fingerprint});
      this.#deps.abortQuarantined(fingerprint);
    }
  }

  /**
   * @param listed names of the servers that control lists
   * @param now current time, monotonic milliseconds
   */
  useListed(listed: ReadonlySet<string>, now: number): void {
    this.#detector.noteListed(listed, now);
  }

  /**
   * @param fingerprint of a request
   * @param now current time, monotonic milliseconds
   * @returns time until the request may run, milliseconds; undefined if it may
   *     run now
   */
  quarantinedForMs(fingerprint: string, now: number): number | undefined {
    return this.#requests.quarantinedForMs(fingerprint, now);
  }

  /**
   * @param fingerprint of a request
   * @param now current time, monotonic milliseconds
   * @returns true when enough servers crashed, or may have, while they ran the
   *     request: a retry might crash another one
   */
  isSuspect(fingerprint: string, now: number): boolean {
    const crashes = this.#requests.find(fingerprint, now)?.crashes ?? 0;
    return crashes + this.#detector.undecided(fingerprint) >= SUSPECT_CRASHES;
  }

  /**
   * Records a failed attempt, which may be the sign of a crash.
   *
   * @param state a server
   * @param fingerprint of the request that failed there
   * @param failure how the attempt failed
   * @param now current time, monotonic milliseconds
   */
  noteFailure(
    state: ServerState,
    fingerprint: string,
    failure: AttemptFailure,
    now: number,
  ): void {
    if (failure.kind === 'broken' && failure.isLost) {
      this.#detector.noteConnectionLost(state, fingerprint, now);
      this.#probe(now);
    } else if (failure.kind === 'unsent' && failure.isRefused) {
      this.#detector.noteExited(state.server.name, now);
    } else if (state.isReplaced) {
      this.#detector.noteExited(state.server.name, now);
    }
  }

  /**
   * @param fingerprint of a request that got a complete response
   * @param now current time, monotonic milliseconds
   */
  noteAnswered(fingerprint: string, now: number): void {
    this.#requests.noteAnswered(fingerprint, now);
  }

  #probe(now: number): void {
    for (const {server} of this.#detector.takeDueProbes(now)) {
      void this.#deps.probe(server.address).then(reachability => {
        const probedAt = this.#deps.clock.now();
        this.#detector.noteProbe(server.name, reachability, probedAt);
      });
    }
  }

  #noteCrash(crash: ServerCrash, now: number): void {
    const {server, requests, crashedAt} = crash;
    this.#deps.log.warn('backend server crashed', {
      backendServer: server,
      requests: requests.join(' '),
      brokeMsAgo: Math.round(now - crashedAt),
    });
    this.#reporter.noteCrash(crash, now);
    for (const fingerprint of requests) {
      const leftMs = this.quarantinedForMs(fingerprint, now);
      if (leftMs !== undefined) this.#deps.abortQuarantined(fingerprint);
    }
  }
}
