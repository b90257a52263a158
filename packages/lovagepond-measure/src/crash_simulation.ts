/**
 * Discrete-event simulation of requests that crash the servers that run them,
 * among harmless ones: gateways with the production quarantine, servers that
 * restart, callers that retry, and control with its delays.
 */
import {
  CRASH_RULES,
  CrashEvidence,
  type Random,
  SERVER_STATE,
  toPartSubject,
} from '@lovagepond/core';
import {
  toCrashesPayload,
  toQuarantineUpdate,
} from '@lovagepond/control/deciders';
import {lovagepond} from '@lovagepond/protocol';
import {
  GatewayCrashDetector,
  REACHABILITY,
  ServerState,
} from '@lovagepond/gateway/deciders';
import {
  type CrashReport,
  RequestQuarantine,
  SUSPECT_CRASHES,
} from '@lovagepond/router/quarantine';
import {
  type CrashFleet,
  type CrashOutcome,
  type CrashScenario,
  EVIDENCE_SCOPE,
  PARTS_BEFORE,
} from './crash_scenario.js';
import {
  type Gateway,
  makeServer,
  type Request,
  type Run,
  type Server,
  toFingerprint,
} from './crash_simulation_types.js';
import {VirtualTime} from './virtual_time.js';

const {v1} = lovagepond;

const FLEET: CrashFleet = {gateways: 12, servers: 24, requestEveryMs: 8};
const END_MS = 60_000;
const CRASHING_FROM_MS = 5_000;
const CRASHING_EVERY_MS = 800;
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
const FIRST_PARTS = 10;
const SECOND_PARTS = 4;
/** Share of prompts with the parts that are rare. */
const RARE_SHARE = 0.002;
/** Crashes after which, and time within which, all gateways must refuse. */
const BOUND_CRASHES = 5;
const BOUND_MS = 3_000;
const CRASHING_PART = toPartSubject('bad');

export class CrashSimulation {
  readonly #scenario: CrashScenario;
  readonly #random: Random;
  readonly #time = new VirtualTime();
  readonly #control = new CrashEvidence();
  readonly #gateways: Gateway[] = [];
  #servers: Server[] = [];
  #lastServer = 0;
  #lastContent = 0;
  readonly #fleet: CrashFleet;
  readonly #crashTimes: number[] = [];
  #sentLate = 0;
  #updateBytes = 0;
  #stateBytes = 0;
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
    this.#fleet = scenario.fleet ?? FLEET;
    const {servers, gateways} = this.#fleet;
    for (let n = 0; n < servers; n += 1) this.#startServer();
    for (let n = 0; n < gateways; n += 1) {
      this.#gateways.push(this.#makeGateway());
    }
  }

  /** @returns the results */
  run(): CrashOutcome {
    const time = this.#time;
    time.every(TICK_MS, TICK_MS, () => {
      this.#tick();
    });
    this.#scheduleRandomly(this.#fleet.requestEveryMs, 0, () => {
      this.#send(this.#drawRequest());
    });
    this.#startCrashingPart();
    for (let n = 0; n < this.#scenario.crashingRequests; n += 1) {
      const subjects = [toFingerprint(`crashing-${n}`)];
      this.#scheduleRandomly(CRASHING_EVERY_MS, CRASHING_FROM_MS, () => {
        this.#send({subjects, isCrashing: true, retries: MAX_RETRIES});
      });
    }
    this.#startDisturbances();
    time.runUntil(END_MS);
    return {
      crashed: this.#crashTimes.length,
      sentLate: this.#sentLate,
      requests: this.#requests,
      refused: this.#refused,
      lost: this.#lost,
      updateBytes: this.#updateBytes / this.#fleet.gateways,
      stateBytes: this.#stateBytes,
    };
  }

  #startCrashingPart(): void {
    const {crashingPart} = this.#scenario;
    if (!crashingPart) return;
    const {partsBefore, everyMs} = crashingPart;
    this.#scheduleRandomly(everyMs, CRASHING_FROM_MS, () => {
      this.#lastContent += 1;
      const fingerprint = toFingerprint(`${this.#lastContent}`);
      const before =
        partsBefore === PARTS_BEFORE.OWN
          ? [toPartSubject('own')]
          : this.#drawParts(partsBefore === PARTS_BEFORE.RARE);
      const subjects = [fingerprint, ...before, CRASHING_PART];
      this.#send({subjects, isCrashing: true, retries: MAX_RETRIES});
    });
  }

  #drawParts(isRare: boolean): readonly string[] {
    const first = Math.floor(this.#random.next() * FIRST_PARTS);
    const second = Math.floor(this.#random.next() * SECOND_PARTS);
    const names = [`first-${first}`, `second-${second}`];
    return names.map(name => toPartSubject(isRare ? `rare-${name}` : name));
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
    const parts = this.#drawParts(this.#random.next() < RARE_SHARE);
    const subjects = [toFingerprint(name), ...parts];
    return {subjects, isCrashing: false, retries: 0};
  }

  #send(request: Request): void {
    this.#offer(request, this.#random.pick(this.#gateways), false);
  }

  #offer(request: Request, gateway: Gateway, isSecond: boolean): void {
    const {now} = this.#time;
    const {subjects, isCrashing} = request;
    if (gateway.quarantine.quarantinedForMs(subjects, now) !== undefined) {
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
    const fifthAt = this.#crashTimes[BOUND_CRASHES - 1] ?? Infinity;
    if (isCrashing && now > fifthAt + BOUND_MS) this.#sentLate += 1;
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
      this.#crashTimes.push(this.#time.now);
      this.#crash(server);
      return;
    }
    server.runs.delete(run);
    run.isOver = true;
    if (this.#random.next() < lostAnswers) {
      this.#breakConnection(server, run);
    } else {
      const {subjects} = run.request;
      run.gateway.quarantine.noteAnswered(subjects, this.#time.now);
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
    const {subjects} = request;
    gateway.detector.noteConnectionLost(state, subjects, now);
    this.#probe(gateway.detector);
    const crashes = gateway.quarantine.crashesOf(subjects, now);
    const undecided = subjects
      .filter(subject => !gateway.quarantine.wasAnswered(subject, now))
      .map(subject => gateway.detector.undecided(subject));
    const isSuspect =
      this.#scenario.evidenceScope !== EVIDENCE_SCOPE.NONE &&
      crashes + Math.max(0, ...undecided) >= SUSPECT_CRASHES;
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

  #cancel(quarantine: RequestQuarantine): void {
    const {now} = this.#time;
    for (const {runs} of this.#servers) {
      for (const run of runs) {
        const {request, gateway} = run;
        if (gateway.quarantine !== quarantine) continue;
        if (!quarantine.quarantinedForMs(request.subjects, now)) continue;
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
      const {version} = this.#control;
      this.#record(report);
      const state = JSON.stringify(this.#control.snapshot());
      this.#stateBytes = Math.max(this.#stateBytes, state.length);
      if (this.#control.version !== version) this.#publishSuspects();
    });
  }

  #record(report: CrashReport): void {
    const {now} = this.#time;
    const {BY_SUBJECT} = CRASH_RULES;
    const {crashes, answered} = toCrashesPayload(report, BY_SUBJECT);
    for (const subject of answered) this.#control.forget(subject, now);
    for (const {server, requests, ageMs} of crashes) {
      const running = requests.map(one => (Array.isArray(one) ? one : [one]));
      const crashedAt = now - ageMs;
      this.#control.noteCrash({server, requests: running, crashedAt}, now);
    }
  }

  #publishSuspects(): void {
    const {now} = this.#time;
    const suspects = this.#control.suspects(now).map(suspect => ({
      request: suspect.subject,
      crashes: suspect.crashes,
      quarantinedForMs: Math.max(0, (suspect.quarantinedUntil ?? now) - now),
      companions: suspect.companions,
    }));
    const update = toQuarantineUpdate(suspects);
    const bytes = v1.QuarantineUpdate.encode(update).finish().length;
    for (const {quarantine} of this.#gateways) {
      this.#updateBytes += bytes;
      this.#time.after(SUSPECTS_LAG_MS * this.#random.next(), () => {
        const added = quarantine.apply(update, this.#time.now);
        if (added.length > 0) this.#cancel(quarantine);
      });
    }
  }
}
