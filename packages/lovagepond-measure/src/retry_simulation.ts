/**
 * Simulates the retries of many gateways, whose processes are killed, stand
 * still and lose control, in virtual time. The decisions are those of the
 * product.
 */
import {Random, RETRY_ARRIVAL_MS, type RetryAllowance} from '@lovagepond/core';
import {
  GatewayRetries,
  isValid,
  type RetryCredit,
} from '@lovagepond/gateway/deciders';
import {lovagepond} from '@lovagepond/protocol';
import {
  retryWindows,
  type RetryWindow,
  windowsFrom,
  worstWindow,
} from './retry_windows.js';
import {SimulatedRetryLeader} from './simulated_retry_leader.js';
import {VirtualTime} from './virtual_time.js';

const {v1} = lovagepond;

const POOL = 'pool';
const TICK_MS = 20;

/** Distance of the windows whose use is measured, milliseconds. */
const STEP_MS = 100;

/** Time in which servers answer all requests, before the first fault, ms. */
const CALM_MS = 12_000;

/** Time from a send to the failure of the attempt, milliseconds. */
const FAILURE_MS = 15;

/** One-way latency to control, milliseconds, and its rare longest value. */
const CONTROL_MS = {USUAL: 5, LONGEST: 250} as const;

/** Longest wait for a connection, milliseconds. */
const CONNECT_MS = 500;

const MAX_ATTEMPTS = 4;

/** Faults, each with the mean time between two of them, milliseconds. */
export interface RetryFaults {
  /** One gateway is killed and starts again. */
  readonly killEveryMs?: number;
  /** All gateways are, at once. */
  readonly killAllEveryMs?: number;
  /** One gateway stands still for up to two seconds. */
  readonly pauseEveryMs?: number;
  /** A tenth of the gateways can't reach control for some seconds. */
  readonly cutEveryMs?: number;
  /** The leader ends, and another one leads a second later. */
  readonly leaderEveryMs?: number;
  /** Most callers move to other gateways, or stop asking for some time. */
  readonly shiftEveryMs?: number;
}

export interface RetrySimulationSettings {
  readonly gateways: number;
  readonly allowance: RetryAllowance;
  /** Callers' requests in a second, at all gateways. */
  readonly perSecond: number;
  /** Share of the attempts that fail. */
  readonly failing: number;
  /** Share of the gateways whose callers' requests fail. */
  readonly affected?: number;
  readonly durationMs: number;
  readonly faults: RetryFaults;
  readonly seed: number;
}

export interface RetrySimulationResult {
  readonly requests: number;
  readonly retries: number;
  /** The window furthest over what is allowed, or least under. */
  readonly worst: RetryWindow | undefined;
  /** Retries of the mean window over what is allowed there. */
  readonly used: number;
  /** Questions that the leader got in a second, in the mean. */
  readonly questionsPerSecond: number;
  /** Of questions and reports that a gateway sent in a second, in the mean. */
  readonly bytesPerSecond: number;
}

interface Gateway {
  /** Unset while the process is down. */
  retries: GatewayRetries | undefined;
  pausedUntil: number;
  cutUntil: number;
}

export class RetrySimulation {
  readonly #settings: RetrySimulationSettings;
  readonly #time = new VirtualTime();
  readonly #random: Random;
  readonly #leader: SimulatedRetryLeader;
  readonly #gateways: readonly Gateway[];
  readonly #requests: number[] = [];
  readonly #arrivals: number[] = [];
  #questions = 0;
  #bytes = 0;
  #share = 1;
  #rate = 1;

  /** @param settings the fleet, its callers and the faults */
  constructor(settings: RetrySimulationSettings) {
    this.#settings = settings;
    this.#random = new Random(settings.seed);
    this.#leader = new SimulatedRetryLeader(settings.allowance, this.#time);
    this.#gateways = Array.from({length: settings.gateways}, () => ({
      retries: undefined,
      pausedUntil: 0,
      cutUntil: 0,
    }));
    for (const gateway of this.#gateways) this.#startProcess(gateway);
  }

  /** @returns what servers got */
  run(): RetrySimulationResult {
    const {durationMs, perSecond, allowance, faults} = this.#settings;
    const gapMs = 1_000 / perSecond;
    for (let at = 0; at < durationMs; at += gapMs) {
      this.#time.at(at, () => {
        this.#call();
      });
    }
    this.#time.every(TICK_MS, 0, () => {
      this.#report();
    });
    this.#schedule(faults.killEveryMs, () => {
      this.#kill(this.#random.pick(this.#gateways));
    });
    this.#schedule(faults.killAllEveryMs, () => {
      for (const gateway of this.#gateways) this.#kill(gateway);
    });
    this.#schedule(faults.pauseEveryMs, () => {
      const until = this.#time.now + this.#random.next() * 2_000;
      this.#random.pick(this.#gateways).pausedUntil = until;
    });
    this.#schedule(faults.cutEveryMs, () => {
      this.#cutSome();
    });
    this.#schedule(faults.leaderEveryMs, () => {
      this.#leader.change(this.#time.now, this.#time.now + 1_000);
    });
    this.#schedule(faults.shiftEveryMs, () => {
      this.#share = 0.2 + 0.8 * this.#random.next();
      this.#rate = this.#random.next();
    });
    this.#time.runUntil(durationMs + RETRY_ARRIVAL_MS);
    this.#arrivals.sort((one, other) => one - other);
    const windows = retryWindows(this.#requests, this.#arrivals, allowance);
    return {
      requests: this.#requests.length,
      retries: this.#arrivals.length,
      worst: worstWindow(windows),
      used: this.#used(),
      questionsPerSecond: (this.#questions * 1_000) / (durationMs - CALM_MS),
      bytesPerSecond:
        (this.#bytes * 1_000) / durationMs / this.#gateways.length,
    };
  }

  /** @returns the mean of all windows in which servers failed all the while */
  #used(): number {
    const {durationMs, allowance} = this.#settings;
    const starts: number[] = [];
    const last = durationMs - allowance.windowMs;
    for (let from = CALM_MS; from <= last; from += STEP_MS) starts.push(from);
    const [requests, retries] = [this.#requests, this.#arrivals];
    const windows = windowsFrom(starts, requests, retries, allowance);
    const sum = windows.reduce(
      (all, one) => all + one.retries / one.allowed,
      0,
    );
    return sum / windows.length;
  }

  #schedule(everyMs: number | undefined, fault: () => void): void {
    if (everyMs === undefined) return;
    this.#time.at(CALM_MS, () => {
      this.#repeat(everyMs, fault);
    });
  }

  #repeat(everyMs: number, fault: () => void): void {
    const waitMs = everyMs * (0.8 + 0.4 * this.#random.next());
    this.#time.after(waitMs, () => {
      fault();
      this.#repeat(everyMs, fault);
    });
  }

  #call(): void {
    if (this.#random.next() >= this.#rate) return;
    const {now} = this.#time;
    this.#requests.push(now);
    const reachable = Math.ceil(this.#gateways.length * this.#share);
    const at = this.#random.below(reachable);
    const gateway = this.#gateways[at];
    if (!gateway?.retries) return;
    gateway.retries.noteRequest(POOL, now);
    const {affected = 1} = this.#settings;
    if (at < this.#gateways.length * affected) this.#attempt(gateway, 1);
  }

  /** An attempt that has just reached a server. */
  #attempt(gateway: Gateway, attempts: number): void {
    const {retries} = gateway;
    const isCalm = this.#time.now < CALM_MS;
    if (isCalm || this.#random.next() >= this.#settings.failing) return;
    if (attempts >= MAX_ATTEMPTS) return;
    this.#later(gateway, retries, FAILURE_MS, () => {
      retries?.acquire(POOL, this.#readClock(), ({credit}) => {
        if (credit) this.#send(gateway, retries, credit, attempts);
      });
    });
  }

  #send(
    gateway: Gateway,
    retries: GatewayRetries,
    credit: RetryCredit,
    attempts: number,
  ): void {
    const connectMs = this.#random.next() ** 4 * CONNECT_MS;
    this.#later(gateway, retries, connectMs, () => {
      if (!isValid(credit, this.#readClock())) return;
      const underWayMs = this.#random.next() * 50;
      this.#time.after(underWayMs, () => {
        this.#arrivals.push(this.#time.now);
        this.#attempt(gateway, attempts + 1);
      });
    });
  }

  /** Runs later in a process that has not ended, and not while it stands still. */
  #later(
    gateway: Gateway,
    retries: GatewayRetries | undefined,
    delayMs: number,
    run: () => void,
  ): void {
    this.#time.after(delayMs, () => {
      if (gateway.retries !== retries) return;
      const waitMs = gateway.pausedUntil - this.#time.now;
      if (waitMs > 0) this.#later(gateway, retries, waitMs, run);
      else run();
    });
  }

  #readClock(): {readonly now: number; readonly wallTime: number} {
    return {now: this.#time.now, wallTime: this.#time.now};
  }

  #report(): void {
    const {now} = this.#time;
    for (const gateway of this.#gateways) {
      if (now < gateway.pausedUntil) continue;
      const counts = gateway.retries?.takeReport(now);
      if (!counts || now < gateway.cutUntil) continue;
      this.#bytes += v1.RequestCounts.encode(counts).finish().length;
      this.#time.after(this.#controlMs(), () => {
        this.#leader.note(counts, this.#time.now);
      });
    }
  }

  #controlMs(): number {
    const {USUAL, LONGEST} = CONTROL_MS;
    return this.#random.next() < 0.02
      ? LONGEST * this.#random.next()
      : USUAL * this.#random.next();
  }

  #startProcess(gateway: Gateway): void {
    const {allowance} = this.#settings;
    const retries: GatewayRetries = new GatewayRetries(allowance, {
      process: this.#leader.nextProcess(),
      readClock: () => this.#readClock(),
      ask: (req, onAnswer) => {
        if (this.#time.now < gateway.cutUntil) return;
        this.#questions += 1;
        this.#bytes += v1.RetryRequest.encode(req).finish().length;
        this.#time.after(this.#controlMs(), () => {
          this.#leader.ask(req, answer => {
            this.#later(gateway, retries, this.#controlMs(), () => {
              onAnswer(answer);
            });
          });
        });
      },
      schedule: (delayMs, callback) => {
        this.#later(gateway, retries, delayMs, callback);
      },
    });
    gateway.retries = retries;
  }

  #kill(gateway: Gateway): void {
    gateway.retries = undefined;
    this.#time.after(300 + 300 * this.#random.next(), () => {
      if (!gateway.retries) this.#startProcess(gateway);
    });
  }

  #cutSome(): void {
    const until = this.#time.now + this.#random.next() * 6_000;
    for (const gateway of this.#gateways) {
      if (this.#random.next() < 0.1) gateway.cutUntil = until;
    }
  }
}
