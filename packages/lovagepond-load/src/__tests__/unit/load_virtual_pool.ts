/**
 * Gateways with admission control and stand-in servers in virtual time. Each
 * run is determined by its seed.
 */
import {Random} from '@lovagepond/core';
import {
  type AdmissionRefusalReason,
  type AdmissionRequest,
  type AdmissionSettings,
  type LoadedServer,
  PoolAdmission,
  type PredictedTimes,
} from '../../index.js';

/** Time of a message between gateway and server, milliseconds. */
const NETWORK_MS = 0.5;
const INITIAL_SERVICE_MS = 40;

export const SETTINGS: AdmissionSettings = {
  maxQueuedRequests: 1_024,
  maxQueuedBytes: 16 << 20,
  serverQueuePart: 0.4,
  lowerPriorityPart: 0.1,
};

export interface VirtualRequest extends AdmissionRequest {
  /** When its last attempt was sent. */
  sentAt?: number;
}

export type VirtualOutcome = 'answered' | 'refused';

export interface VirtualResult {
  readonly req: VirtualRequest;
  readonly outcome: VirtualOutcome;
  readonly tookMs: number;
  readonly reason?: AdmissionRefusalReason;
}

interface Load {
  readonly running: number;
  readonly waiting: number;
}

/** Events in the order of their time. */
class VirtualTime {
  now = 0;
  readonly #events: {at: number; run: () => void}[] = [];

  at(at: number, run: () => void): void {
    let low = 0;
    let high = this.#events.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.#events[middle]!.at > at) low = middle + 1;
      else high = middle;
    }
    this.#events.splice(low, 0, {at, run});
  }

  runUntil(end: number): void {
    while ((this.#events.at(-1)?.at ?? Infinity) <= end) {
      const event = this.#events.pop()!;
      this.now = Math.max(this.now, event.at);
      event.run();
    }
    this.now = end;
  }
}

/** A server with slots and a queue, first come, first served. */
export class VirtualServer {
  readonly #queue: ((load?: Load) => void)[] = [];
  #running = 0;
  busyMs = 0;
  slowdown = 1;

  constructor(
    readonly time: VirtualTime,
    readonly name: string,
    readonly slots: number,
    readonly workMs: number,
    readonly queueLimit: number,
  ) {}

  /** @param done called with the load at the answer, or without: refused */
  offer(done: (load?: Load) => void): void {
    if (this.#queue.length >= this.queueLimit) done();
    else this.#queue.push(done);
    this.#start();
  }

  #start(): void {
    while (this.#running < this.slots && this.#queue.length > 0) {
      const done = this.#queue.shift()!;
      this.#running += 1;
      const tookMs = this.workMs * this.slowdown;
      this.time.at(this.time.now + tookMs, () => {
        this.#running -= 1;
        this.busyMs += tookMs;
        this.#start();
        done({running: this.#running, waiting: this.#queue.length});
      });
    }
  }
}

/**
 * What a gateway knows of a server, learned as part 1 of the page says, from its
 * own requests and load headers: no counts are exchanged.
 */
class ServerView implements LoadedServer<VirtualRequest> {
  #serviceMs = INITIAL_SERVICE_MS;
  #observations = 0;
  #others = 0;
  own = 0;
  reportedWaiting: number | undefined;

  constructor(readonly server: VirtualServer) {}

  get name(): string {
    return this.server.name;
  }

  get slots(): number {
    return this.server.slots;
  }

  get load(): number {
    return this.own + this.#others;
  }

  learn(tookMs: number, loadAtSend: number, load: Load): void {
    const observed = tookMs / Math.max(1, (loadAtSend + 1) / this.slots);
    const factor = this.#observations < 8 ? 4 : 2;
    const former = this.#serviceMs;
    const value = Math.min(
      former * factor,
      Math.max(former / factor, observed),
    );
    this.#observations += 1;
    this.#serviceMs += (value - former) * Math.max(0.2, 1 / this.#observations);
    this.reportedWaiting = load.waiting;
    this.#others = Math.max(0, load.running + load.waiting - this.own);
  }

  predict(): PredictedTimes {
    const startMs =
      (Math.max(0, this.load - this.slots + 1) / this.slots) * this.#serviceMs;
    const doneMs = startMs + this.#serviceMs;
    return {startMs, firstResponseMs: doneMs, doneMs};
  }

  predictIdle(): PredictedTimes {
    const doneMs = this.#serviceMs;
    return {startMs: 0, firstResponseMs: doneMs, doneMs};
  }

  workMs(): number {
    return this.#serviceMs / this.slots;
  }
}

class VirtualGateway {
  readonly admission: PoolAdmission<VirtualRequest>;
  readonly views: ServerView[];
  readonly #pool: VirtualPool;
  #wakeAt = Infinity;
  alive = true;

  constructor(pool: VirtualPool, seed: number) {
    this.#pool = pool;
    this.views = pool.servers.map(server => new ServerView(server));
    this.admission = new PoolAdmission(SETTINGS, new Random(seed));
  }

  submit(req: VirtualRequest): void {
    const {time} = this.#pool;
    const decision = this.admission.submit(req, this.views, time.now);
    if (decision.kind === 'start') this.#send(req);
    else if (decision.kind === 'refuse') {
      this.#pool.end(req, 'refused', decision.reason);
    }
    this.pump();
  }

  /** Starts and refuses what is due, and sets the timer. */
  pump(): void {
    if (!this.alive) return;
    const {time} = this.#pool;
    for (;;) {
      const req = this.admission.next(() => this.views, time.now);
      if (!req) break;
      this.#send(req);
    }
    for (const {req, refusal} of this.admission.expire(time.now)) {
      this.#pool.end(req, 'refused', refusal.reason);
    }
    const at = this.admission.nextCheckAt(time.now);
    if (at === undefined || (at >= this.#wakeAt && this.#wakeAt > time.now)) {
      return;
    }
    this.#wakeAt = Math.max(at, time.now + 0.1);
    time.at(this.#wakeAt, () => this.pump());
  }

  #send(req: VirtualRequest): void {
    const {time, random} = this.#pool;
    const sentAt = time.now;
    req.sentAt = sentAt;
    const open = this.admission.openServers(req, this.views, sentAt);
    if (open.length === 0) throw new Error('no open server for a start');
    const start = random.below(open.length);
    let view = open[start] as ServerView;
    for (const other of open as ServerView[]) {
      const {firstResponseMs} = other.predict();
      if (firstResponseMs < view.predict().firstResponseMs) view = other;
    }
    const loadAtSend = view.load;
    this.admission.noteSent(req, view, sentAt);
    view.own += 1;
    const onDone = (load?: Load) => {
      if (!this.alive) return;
      view.own -= 1;
      if (load) {
        view.learn(time.now - sentAt, loadAtSend, load);
        this.admission.noteResponse(req.id, time.now);
        this.admission.noteEnded(req.id, time.now);
        this.#pool.end(req, 'answered');
      } else {
        this.admission.noteRefused(req.id, false, time.now);
        this.submit(req);
      }
      this.pump();
    };
    time.at(sentAt + NETWORK_MS, () =>
      view.server.offer(load =>
        time.at(time.now + NETWORK_MS, () => onDone(load)),
      ),
    );
  }
}

export interface VirtualLoad {
  /** Requests per second over all gateways. */
  readonly rate: number;
  readonly from?: number;
  readonly until: number;
  readonly workspace?: string;
  readonly priority?: number;
  /** Number of the only gateway that gets it; otherwise all do. */
  readonly gateway?: number;
}

export interface VirtualPoolOptions {
  readonly gateways: number;
  readonly seed: number;
  readonly queueLimit?: number;
  readonly servers?: number;
}

/**
 * Gateways and servers of one pool. Targets are 200 ms and deadlines 1 s;
 * callers wait for late answers.
 */
export class VirtualPool {
  readonly time = new VirtualTime();
  readonly random: Random;
  readonly servers: VirtualServer[];
  readonly gateways: VirtualGateway[];
  readonly results: VirtualResult[] = [];
  #requests = 0;

  constructor({
    gateways,
    seed,
    queueLimit = 24,
    servers = 4,
  }: VirtualPoolOptions) {
    this.random = new Random(seed);
    const {time} = this;
    this.servers = Array.from(
      {length: servers},
      (_, index) => new VirtualServer(time, `s${index}`, 4, 40, queueLimit),
    );
    this.gateways = Array.from(
      {length: gateways},
      (_, index) => new VirtualGateway(this, seed + index),
    );
  }

  /** Adds Poisson arrivals. */
  add(load: VirtualLoad): void {
    const {rate, from = 0, until} = load;
    const at = from + this.random.exponential(1_000 / rate);
    if (at >= until) return;
    this.time.at(at, () => {
      this.#arrive(load);
      this.add({...load, from: at});
    });
  }

  #arrive({workspace = 'ws', priority = 5, gateway}: VirtualLoad): void {
    const {now} = this.time;
    this.#requests += 1;
    const req: VirtualRequest = {
      ...{id: `r${this.#requests}`, workspace, priority, kind: 'call'},
      ...{targetLatencyMs: 200, arrivedAt: now, deadlineAt: now + 1_000},
      bytes: 1_000,
    };
    const alive = this.gateways.filter(other => other.alive);
    const one = gateway === undefined ? undefined : this.gateways[gateway];
    (one ?? this.random.pick(alive)).submit(req);
  }

  end(
    req: VirtualRequest,
    outcome: VirtualOutcome,
    reason?: AdmissionRefusalReason,
  ): void {
    const tookMs = this.time.now - req.arrivedAt;
    this.results.push({req, outcome, tookMs, ...(reason && {reason})});
  }

  /** @returns figures of the requests that arrived within a time */
  summary(
    from: number,
    until: number,
    matches: (req: VirtualRequest) => boolean = () => true,
  ): {
    offered: number;
    inTarget: number;
    goodput: number;
    part: number;
    toldMs: number;
    late: number;
  } {
    const results = this.results.filter(
      ({req}) => req.arrivedAt >= from && req.arrivedAt < until && matches(req),
    );
    const answered = results.filter(({outcome}) => outcome === 'answered');
    const inTarget = answered.filter(({tookMs}) => tookMs <= 200).length;
    const told = results
      .filter(({outcome}) => outcome === 'refused')
      .map(({tookMs}) => tookMs)
      .sort((a, b) => a - b);
    return {
      offered: results.length,
      inTarget,
      goodput: (inTarget * 1_000) / (until - from),
      part: inTarget / results.length,
      toldMs: told[told.length >> 1] ?? 0,
      late: answered.length - inTarget,
    };
  }
}
