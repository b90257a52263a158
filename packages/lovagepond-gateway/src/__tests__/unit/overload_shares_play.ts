/**
 * Gateways with their real admission control and shares, one member of control,
 * and stand-in servers, in virtual time.
 */
import {WorkspaceDemandFeed} from '@lovagepond/control/deciders';
import {type ConfigurationContent, Random} from '@lovagepond/core';
import {GatewayFleet} from '../../gateway_fleet.js';
import {GatewayLoadReports} from '../../gateway_load_reports.js';
import {GatewayOverload} from '../../gateway_overload.js';
import {type OverloadRequest} from '../../gateway_overload_types.js';
import {type PoolOverload} from '../../gateway_pool_overload.js';
import {PrefillRate} from '../../gateway_prefill_rate.js';
import {type ServerState} from '../../gateway_server_state.js';
import {GatewayShares, type PoolShareView} from '../../gateway_shares.js';
import {makeBackendServer} from './backend_servers.js';
import {DemandExchange} from './demand_exchange.js';
import {silentLog} from './gateway_harness.js';

export const POOL = 'servers';
const KIND = 'read';
export const SLOTS = 4;
export const WORK_MS = 40;
const TARGET_MS = 200;
const DEADLINE_MS = 1_000;
const REPORT_MS = 20;

/** A request in virtual time. */
interface PlayRequest extends OverloadRequest {
  submittedAt: number;
}

/** Counts of one workspace's requests. */
export interface Served {
  offered: number;
  answered: number;
  inTarget: number;
}

/** A server with slots and a queue, first come, first served. */
class PlayServer {
  readonly #queue: (() => void)[] = [];
  readonly #running: {readonly endsAt: number; readonly done: () => void}[] =
    [];

  get load(): {running: number; waiting: number; slots: number} {
    const running = this.#running.length;
    return {running, waiting: this.#queue.length, slots: SLOTS};
  }

  offer(done: () => void): void {
    this.#queue.push(done);
  }

  step(now: number): void {
    for (const one of [...this.#running]) {
      if (one.endsAt > now) continue;
      this.#running.splice(this.#running.indexOf(one), 1);
      one.done();
    }
    while (this.#running.length < SLOTS) {
      const done = this.#queue.shift();
      if (!done) return;
      this.#running.push({endsAt: now + WORK_MS, done});
    }
  }
}

class PlayGateway {
  readonly shares = new GatewayShares();
  readonly fleet = new GatewayFleet();
  readonly reports: GatewayLoadReports;
  readonly feed: WorkspaceDemandFeed;
  readonly overload: GatewayOverload;
  /** Workspaces of the requests sent to servers, in order. */
  readonly sent: string[] = [];

  constructor(
    readonly name: string,
    readonly play: OverloadSharesPlay,
    random: Random,
  ) {
    const {shares, fleet} = this;
    this.reports = new GatewayLoadReports(
      name,
      fleet,
      new PrefillRate(40),
      shares,
    );
    this.feed = new WorkspaceDemandFeed(name);
    const clock = {now: () => play.now, wallTime: () => play.now};
    this.overload = new GatewayOverload({
      clock,
      log: silentLog,
      random,
      shares,
    });
  }

  /** The pool in the state dump. */
  get state(): {readonly waiting: number; readonly shares: PoolShareView} {
    const {pools} = this.overload.describe(this.play.now);
    return (pools as Record<string, typeof this.state>)[POOL]!;
  }

  submit(workspace: string, id: string): void {
    const {now} = this.play;
    const pool = this.overload.find(POOL);
    const req: PlayRequest = {
      ...{id, requestId: id, workspace, kind: KIND, priority: 5, bytes: 1_000},
      ...{arrivedAt: now, submittedAt: now, deadlineAt: now + DEADLINE_MS},
      targetLatencyMs: TARGET_MS,
      demand: {
        isStream: false,
        at: () => ({
          work: {kind: KIND, isStream: false, prefillTokens: 0},
          fetchMs: 0,
        }),
      } as unknown as OverloadRequest['demand'],
      servers: () => this.fleet.listed(POOL),
      hasServer: () => true,
      start: () => {
        this.#send(req, pool);
      },
      refuse: () => {},
      refuseWithoutServer: () => {},
      refuseWhileDraining: () => {},
    };
    if (!pool || pool.submit(req, now).kind === 'start') this.#send(req, pool);
  }

  #send(req: PlayRequest, pool: PoolOverload | undefined): void {
    const sentAt = this.play.now;
    const states = this.fleet.listed(POOL);
    const open = pool?.open(req, states, sentAt) ?? states;
    const {work} = req.demand.at(open[0]!, sentAt);
    const timeAt = (state: ServerState): number =>
      state.capacity.predict(state.loadView(sentAt), work, sentAt).doneMs;
    // Between servers that are equally good the choice is random.
    let state = this.play.random.pick(open);
    for (const one of open) {
      if (timeAt(one) < timeAt(state)) state = one;
    }
    const sentTo = state;
    pool?.noteSent(req, state, sentAt);
    this.sent.push(req.workspace);
    const loadAtSend = state.load(sentAt);
    state.inFlight += 1;
    const server = this.play.servers[sentTo.server.slot]!;
    server.offer(() => {
      const {now} = this.play;
      sentTo.inFlight -= 1;
      sentTo.noteLoad(server.load, now);
      const tookMs = now - sentAt;
      sentTo.capacity.noteService(KIND, tookMs, loadAtSend, SLOTS, now);
      pool?.noteResponse(req.id, now);
      pool?.noteEnded(req.id, now);
      this.play.noteAnswered(req);
    });
  }
}

/** Requests per second of a workspace at one gateway. */
export interface Offer {
  readonly workspace: string;
  readonly gateway: number;
  readonly perS: number;
}

export class OverloadSharesPlay {
  readonly gateways: readonly PlayGateway[];
  readonly servers: readonly PlayServer[];
  readonly random: Random;
  now = 10_000;
  /** Gateways that don't reach control. */
  readonly cutOff = new Set<number>();
  offers: readonly Offer[] = [];
  #served = new Map<string, Served>();
  #countedFrom = 0;
  #requests = 0;
  readonly #exchange = new DemandExchange();

  constructor(
    seed: number,
    {gateways, servers}: {gateways: number; servers: number},
    content: ConfigurationContent,
  ) {
    this.random = new Random(seed);
    this.servers = Array.from({length: servers}, () => new PlayServer());
    const listed = this.servers.map((_, slot) =>
      makeBackendServer(`server-${slot}`, {
        pool: POOL,
        slot,
        directSlots: SLOTS,
      }),
    );
    const byName = new Map(listed.map(one => [one.name, one] as const));
    this.gateways = Array.from(
      {length: gateways},
      (_, at) => new PlayGateway(`gateway-${at}`, this, new Random(seed + at)),
    );
    for (const {fleet, overload} of this.gateways) {
      fleet.useMembership({version: 1, servers: byName});
      overload.useConfiguration(content);
    }
  }

  stop(): void {
    for (const {overload} of this.gateways) overload.stop();
  }

  useConfiguration(content: ConfigurationContent): void {
    for (const {overload} of this.gateways) overload.useConfiguration(content);
  }

  noteAnswered({workspace, arrivedAt}: PlayRequest): void {
    if (arrivedAt < this.#countedFrom) return;
    const served = this.#servedOf(workspace);
    served.answered += 1;
    if (this.now - arrivedAt <= TARGET_MS) served.inTarget += 1;
  }

  /** @returns counts of the requests that arrived since the last call */
  takeServed(): Readonly<Record<string, Served>> {
    const served = Object.fromEntries(this.#served);
    this.#served = new Map();
    this.#countedFrom = this.now;
    return served;
  }

  /** @param ms virtual time to run */
  run(ms: number): void {
    const end = this.now + ms;
    for (; this.now < end; this.now += 1) this.#step();
  }

  #step(): void {
    const {now} = this;
    for (const server of this.servers) server.step(now);
    for (const {workspace, gateway, perS} of this.offers) {
      if (this.random.below(1_000_000) >= perS * 1_000) continue;
      this.#requests += 1;
      this.#servedOf(workspace).offered += 1;
      this.gateways[gateway]?.submit(workspace, `r-${this.#requests}`);
    }
    for (const {overload} of this.gateways) overload.pumpAll();
    if (now % REPORT_MS > 0) return;
    const isCut = (_: unknown, at: number): boolean => this.cutOff.has(at);
    this.#exchange.run(
      this.gateways.filter((one, at) => !isCut(one, at)),
      true,
      now,
    );
    for (const {reports} of this.gateways.filter(isCut)) {
      reports.takeReport(now);
    }
  }

  #servedOf(workspace: string): Served {
    const known = this.#served.get(workspace);
    if (known) return known;
    const served = {offered: 0, answered: 0, inTarget: 0};
    this.#served.set(workspace, served);
    return served;
  }
}
