/**
 * Keeps what crashes servers from running: detects crashed servers,
 * reports them to control, and applies the quarantines that control decides on.
 */
import {
  type Clock,
  type Logger,
  partIdOf,
  type RequestSubjects,
  type ServerCrash,
} from '@lovagepond/core';
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
  /** Aborts the requests in flight that are quarantined. */
  readonly abortQuarantined: () => void;
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

  /** Number of suspects that control lists. */
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
   * @param update the complete list of suspects
   * @param now current time, monotonic milliseconds
   */
  useUpdate(update: QuarantineUpdate, now: number): void {
    const added = this.#requests.apply(update, now);
    for (const {subject, companions} of added) {
      const part = partIdOf(subject);
      this.#deps.log.warn(
        'request quarantined',
        part === undefined
          ? {fingerprint: subject}
          : {part, companions: companions.join(' ')},
      );
    }
    if (added.length > 0) this.#deps.abortQuarantined();
  }

  /**
   * @param listed names of the servers that control lists
   * @param now current time, monotonic milliseconds
   */
  useListed(listed: ReadonlySet<string>, now: number): void {
    this.#detector.noteListed(listed, now);
  }

  /**
   * @param request a request's subjects
   * @param now current time, monotonic milliseconds
   * @returns time until the request may run, milliseconds; undefined if it may
   *     run now
   */
  quarantinedForMs(request: RequestSubjects, now: number): number | undefined {
    return this.#requests.quarantinedForMs(request, now);
  }

  /**
   * @param request a request's subjects
   * @param now current time, monotonic milliseconds
   * @returns true when enough servers crashed, or may have, while they ran the
   *     request or others with a part of its prompt: a retry might crash
   *     another one
   */
  isSuspect(request: RequestSubjects, now: number): boolean {
    const undecided = request
      .filter(subject => !this.#requests.wasAnswered(subject, now))
      .map(subject => this.#detector.undecided(subject));
    const crashes = this.#requests.crashesOf(request, now);
    return crashes + Math.max(0, ...undecided) >= SUSPECT_CRASHES;
  }

  /**
   * Records a failed attempt, which may be the sign of a crash.
   *
   * @param state a server
   * @param request subjects of the request that failed there
   * @param failure how the attempt failed
   * @param now current time, monotonic milliseconds
   */
  noteFailure(
    state: ServerState,
    request: RequestSubjects,
    failure: AttemptFailure,
    now: number,
  ): void {
    if (failure.kind === 'broken' && failure.isLost) {
      this.#detector.noteConnectionLost(state, request, now);
      this.#probe(now);
    } else if (failure.kind === 'unsent' && failure.isRefused) {
      this.#detector.noteExited(state.server.name, now);
    } else if (state.isReplaced) {
      this.#detector.noteExited(state.server.name, now);
    }
  }

  /**
   * @param request subjects of a request that got a complete response
   * @param now current time, monotonic milliseconds
   */
  noteAnswered(request: RequestSubjects, now: number): void {
    this.#requests.noteAnswered(request, now);
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
      requests: requests.map(([first]) => first).join(' '),
      brokeMsAgo: Math.round(now - crashedAt),
    });
    this.#reporter.noteCrash(crash, now);
    this.#deps.abortQuarantined();
  }
}
