/**
 * Discrete-event simulation of requests that crash the servers that run them,
 * among harmless ones: gateways with the production quarantine, servers that
 * restart, callers that retry, and control with its delays.
 */
import {
  type BackendServer,
  CrashEvidence,
  type Random,
  SERVER_STATE,
} from '@lovagepond/core';
import {
  GatewayCrashDetector,
  REACHABILITY,
  ServerState,
} from '@lovagepond/gateway/deciders';
import {
  RequestQuarantine,
  SUSPECT_CRASHES,
} from '@lovagepond/router/quarantine';
import {VirtualTime} from './virtual_time.js';

/** Gateways that act on a gateway's crash evidence: none, only it, or all. */
export const EVIDENCE_SCOPE = {
  NONE: 'none',
  GATEWAY: 'gateway',
  FLEET: 'fleet',
} as const;

/** One of the values of {@link EVIDENCE_SCOPE}. */
export type EvidenceScope =
  (typeof EVIDENCE_SCOPE)[keyof typeof EVIDENCE_SCOPE];

/** Disturbances beside the requests that crash servers. */
export interface CrashDisturbances {
  /** Mean time between two crashes that no request causes, ms. */
  readonly crashEveryMs?: number;
  /** Share of answers whose connection breaks although the server is up. */
  readonly lostAnswers?: number;
  /** All servers lose power at this time, ms. */
  readonly powerLossAtMs?: number;
  /** Interval at which one server after the other leaves as planned, ms. */
  readonly leaveEveryMs?: number;
}

/** Settings of one simulation. */
export interface CrashScenario {
  readonly evidenceScope: EvidenceScope;
  /** Number of requests that crash their server. */
  readonly crashingRequests: number;
  readonly disturbances: CrashDisturbances;
}

/** Results of one simulation. */
export interface CrashOutcome {
  /** Servers crashed by requests. */
  readonly crashed: number;
  /** Harmless requests, without their retries. */
  readonly requests: number;
  /** Harmless requests refused or cancelled by the quarantine. */
  readonly refused: number;
  /** Harmless requests without an answer after all retries. */
  readonly lost: number;
}

const GATEWAYS = 12;
const SERVERS = 24;
const END_MS = 60_000;
const CRASHING_FROM_MS = 5_000;
const CRASHING_EVERY_MS = 800;
const REQUEST_EVERY_MS = 8;
const RUN_MS = 1_500;
const CRASH_AFTER_MS = 300;
const RESTART_MS = 3_000;
const DRAIN_MS = 2_000;
const TICK_MS = 100;
const PROBE_MS = 1;
const REPORT_LAG_MS = 20;
const SUSPECTS_LAG_MS = 40;
const REPORT_LOSS = 0.1;
const MAX_RETRIES = 3;
const RETRY_DELAY_MS = 500;
/** Share of requests with one of a few contents, such as status queries. */
const FREQUENT_SHARE = 0.1;
const FREQUENT_CONTENTS = 5;
const SECOND_ATTEMPT_SHARE = 0.5;

interface Request {
  readonly fingerprint: string;
  readonly isCrashing: boolean;
  readonly retries: number;
}

interface Run {
  readonly request: Request;
  readonly gateway: Gateway;
  readonly isSecond: boolean;
  isOver: boolean;
}

interface Server {
  readonly state: ServerState;
  readonly runs: Set<Run>;
  isUp: boolean;
}

interface Gateway {
  readonly quarantine: RequestQuarantine;
  readonly detector: GatewayCrashDetector;
}

export class CrashSimulation {
  readonly #scenario: CrashScenario;
  readonly #random: Random;
  readonly #time = new VirtualTime();
  readonly #control = new CrashEvidence();
  readonly #gateways: Gateway[] = [];
  #servers: Server[] = [];
  #lastServer = 0;
  #lastContent = 0;
  #crashed = 0;
  #requests = 0;
  #refused = 0;
  #lost = 0;

  /**
   * @param scenario settings
   * @param random seeded random source
   */
  constructor(scenario: CrashScenario, random: Random) {
    this.#scenario = scenario;
    this.#random = random;
    for (let n = 0; n < SERVERS; n += 1) this.#startServer();
    for (let n = 0; n < GATEWAYS; n += 1) {
      this.#gateways.push(this.#makeGateway());
    }
  }

  /** @returns the results */
  run(): CrashOutcome {
    const time = this.#time;
    time.every(TICK_MS, TICK_MS, () => {
      this.#tick();
    });
    this.#scheduleRandomly(REQUEST_EVERY_MS, 0, () => {
      this.#send(this.#drawRequest());
    });
    for (let n = 0; n < this.#scenario.crashingRequests; n += 1) {
      const fingerprint = toFingerprint(`crashing-${n}`);
      this.#scheduleRandomly(CRASHING_EVERY_MS, CRASHING_FROM_MS, () => {
        this.#send({fingerprint, isCrashing: true, retries: MAX_RETRIES});
      });
    }
    this.#startDisturbances();
    time.runUntil(END_MS);
    return {
      crashed: this.#crashed,
      requests: this.#requests,
      refused: this.#refused,
      lost: this.#lost,
    };
  }

  #startDisturbances(): void {
    const {crashEveryMs, powerLossAtMs, leaveEveryMs} =
      this.#scenario.disturbances;
    const up = (): Server[] => this.#servers.filter(({isUp}) => isUp);
    if (crashEveryMs !== undefined) {
      this.#scheduleRandomly(crashEveryMs, 0, () => {
        this.#crash(this.#random.pick(up()));
      });
    }
    if (powerLossAtMs !== undefined) {
      this.#time.at(powerLossAtMs, () => {
        for (const server of up()) this.#crash(server);
      });
    }
    if (leaveEveryMs !== undefined) {
      this.#time.every(leaveEveryMs, leaveEveryMs, () => {
        this.#leave(up()[0]);
      });
    }
  }

  #scheduleRandomly(meanMs: number, from: number, run: () => void): void {
    const gap = -Math.log(1 - this.#random.next()) * meanMs;
    this.#time.at(from + gap, () => {
      run();
      this.#scheduleRandomly(meanMs, this.#time.now, run);
    });
  }

  #makeGateway(): Gateway {
    const quarantine = new RequestQuarantine();
    const detector = new GatewayCrashDetector((crash, now) => {
      if (this.#scenario.evidenceScope === EVIDENCE_SCOPE.NONE) return;
      quarantine.noteCrash(crash, now);
      this.#report(quarantine);
    });
    return {quarantine, detector};
  }

  #startServer(): void {
    this.#lastServer += 1;
    const server = makeServer(`s${this.#lastServer}`);
    this.#servers.push({
      state: new ServerState(server),
      runs: new Set(),
      isUp: true,
    });
  }

  #drawRequest(): Request {
    this.#requests += 1;
    const isFrequent = this.#random.next() < FREQUENT_SHARE;
    const content = Math.floor(this.#random.next() * FREQUENT_CONTENTS);
    this.#lastContent += 1;
    const name = isFrequent ? `frequent-${content}` : `${this.#lastContent}`;
    const fingerprint = toFingerprint(name);
    return {fingerprint, isCrashing: false, retries: 0};
  }

  #send(request: Request): void {
    this.#offer(request, this.#random.pick(this.#gateways), false);
  }

  #offer(request: Request, gateway: Gateway, isSecond: boolean): void {
    const {now} = this.#time;
    const {fingerprint, isCrashing} = request;
    if (gateway.quarantine.quarantinedForMs(fingerprint, now) !== undefined) {
      if (!isCrashing) this.#refused += 1;
      return;
    }
    const ready = this.#servers.filter(
      ({isUp, state}) => isUp && state.server.state === SERVER_STATE.READY,
    );
    if (ready.length === 0) {
      this.#retry(request);
      return;
    }
    const server = this.#random.pick(ready);
    const run = {request, gateway, isSecond, isOver: false};
    server.runs.add(run);
    const meanMs = isCrashing ? CRASH_AFTER_MS : RUN_MS;
    const lengthMs = meanMs * (0.5 + this.#random.next());
    this.#time.after(lengthMs, () => {
      this.#end(server, run);
    });
  }

  #end(server: Server, run: Run): void {
    if (run.isOver) return;
    const {lostAnswers = 0} = this.#scenario.disturbances;
    if (run.request.isCrashing) {
      this.#crashed += 1;
      this.#crash(server);
      return;
    }
    server.runs.delete(run);
    run.isOver = true;
    if (this.#random.next() < lostAnswers) {
      this.#breakConnection(server, run);
    } else {
      const {fingerprint} = run.request;
      run.gateway.quarantine.noteAnswered(fingerprint, this.#time.now);
    }
  }

  #crash(server: Server | undefined): void {
    if (!server?.isUp) return;
    server.isUp = false;
    this.#breakConnections(server);
    this.#time.after(RESTART_MS, () => {
      this.#delist(server);
      this.#startServer();
    });
  }

  #leave(server: Server | undefined): void {
    if (!server) return;
    const {state} = server;
    state.server = {...state.server, state: SERVER_STATE.DRAINING};
    this.#time.after(DRAIN_MS, () => {
      if (!server.isUp) return;
      server.isUp = false;
      this.#breakConnections(server);
      this.#delist(server);
      this.#startServer();
    });
  }

  #delist(server: Server): void {
    this.#servers = this.#servers.filter(one => one !== server);
    const listed = new Set(this.#servers.map(({state}) => state.server.name));
    for (const {detector} of this.#gateways) {
      detector.noteListed(listed, this.#time.now);
    }
  }

  #breakConnections(server: Server): void {
    const runs = [...server.runs];
    server.runs.clear();
    for (const run of runs) run.isOver = true;
    for (const run of runs) this.#breakConnection(server, run);
  }

  #breakConnection({state}: Server, {request, gateway, isSecond}: Run): void {
    const {now} = this.#time;
    const {fingerprint} = request;
    gateway.detector.noteConnectionLost(state, fingerprint, now);
    this.#probe(gateway.detector);
    const crashes = gateway.quarantine.find(fingerprint, now)?.crashes ?? 0;
    const isSuspect =
      this.#scenario.evidenceScope !== EVIDENCE_SCOPE.NONE &&
      crashes + gateway.detector.undecided(fingerprint) >= SUSPECT_CRASHES;
    const mayTryAgain = !isSecond && this.#random.next() < SECOND_ATTEMPT_SHARE;
    if (mayTryAgain && !isSuspect) this.#offer(request, gateway, true);
    else this.#retry(request);
  }

  #retry(request: Request): void {
    if (request.isCrashing) return;
    if (request.retries >= MAX_RETRIES) {
      this.#lost += 1;
      return;
    }
    this.#time.after(RETRY_DELAY_MS * (0.5 + this.#random.next()), () => {
      this.#send({...request, retries: request.retries + 1});
    });
  }

  #tick(): void {
    for (const {detector, quarantine} of this.#gateways) {
      this.#probe(detector);
      this.#report(quarantine);
    }
  }

  #probe(detector: GatewayCrashDetector): void {
    const {now} = this.#time;
    for (const {server} of detector.takeDueProbes(now)) {
      this.#time.after(PROBE_MS, () => {
        const isUp = this.#servers.some(
          one => one.isUp && one.state.server.name === server.name,
        );
        const reachability = isUp ? REACHABILITY.ACCEPTS : REACHABILITY.REFUSES;
        detector.noteProbe(server.name, reachability, this.#time.now);
      });
    }
  }

  #cancel(quarantine: RequestQuarantine, fingerprint: string): void {
    for (const {runs} of this.#servers) {
      for (const run of runs) {
        const {request, gateway} = run;
        if (gateway.quarantine !== quarantine) continue;
        if (request.fingerprint !== fingerprint) continue;
        run.isOver = true;
        runs.delete(run);
        if (!request.isCrashing) this.#refused += 1;
      }
    }
  }

  #report(quarantine: RequestQuarantine): void {
    if (this.#scenario.evidenceScope !== EVIDENCE_SCOPE.FLEET) return;
    const report = quarantine.takeReport(this.#time.now);
    if (!report) return;
    this.#time.after(REPORT_LAG_MS, () => {
      const isLost = this.#random.next() < REPORT_LOSS;
      quarantine.endReport(!isLost);
      if (isLost) return;
      this.#report(quarantine);
      const {now} = this.#time;
      for (const bytes of report.answered ?? []) {
        this.#control.forget(Buffer.from(bytes).toString('hex'), now);
      }
      for (const {backendServer, requests, ageMs} of report.crashes ?? []) {
        const crash = {
          server: backendServer ?? '',
          requests: (requests ?? []).map(one =>
            Buffer.from(one).toString('hex'),
          ),
          crashedAt: now - (ageMs ?? 0),
        };
        this.#control.noteCrash(crash, now);
      }
      this.#publishSuspects();
    });
  }

  #publishSuspects(): void {
    const {now} = this.#time;
    const suspects = this.#control.suspects(now).map(suspect => ({
      request: Buffer.from(suspect.request, 'hex'),
      crashes: suspect.crashes,
      quarantinedForMs: Math.max(0, (suspect.quarantinedUntil ?? now) - now),
    }));
    for (const {quarantine} of this.#gateways) {
      this.#time.after(SUSPECTS_LAG_MS * this.#random.next(), () => {
        const added = quarantine.apply({suspects}, this.#time.now);
        for (const fingerprint of added) this.#cancel(quarantine, fingerprint);
      });
    }
  }
}

function makeServer(name: string): BackendServer {
  return {
    name,
    incarnation: name,
    pool: 'p',
    labels: {},
    availabilityZone: 'z',
    region: 'r',
    address: `${name}:1`,
    state: SERVER_STATE.READY,
    capacityTokens: 0,
    models: [],
    slot: 0,
    directSlots: 64,
    place: name,
  };
}

function toFingerprint(content: string): string {
  return Buffer.from(content).toString('hex');
}
