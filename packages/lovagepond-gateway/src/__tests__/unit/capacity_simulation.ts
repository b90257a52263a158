/**
 * Gateways in front of simulated engines or services of different speeds. The
 * gateways see each other's requests only through their reports.
 */
import {Random} from '@lovagepond/core';
import {type KeyHasher} from '@lovagepond/router/rendezvous_hash';
import {GatewayChoice} from '../../gateway_choice.js';
import {GatewayFleet} from '../../gateway_fleet.js';
import {GatewayLoadReports} from '../../gateway_load_reports.js';
import {type PromptPart} from '../../gateway_headers.js';
import {PrefillRate} from '../../gateway_prefill_rate.js';
import {PrefillTracker} from '../../gateway_prefill_tracker.js';
import {ResponseTiming} from '../../gateway_response_timing.js';
import {type ServerState} from '../../gateway_server_state.js';
import {makeBackendServer} from './backend_servers.js';
import {CONTENT} from './gateway_harness.js';

const REPORT_INTERVAL_MS = 20;
/** Delay of a report on its way through control. */
const REPORT_DELAY_MS = 10;
const HOP_MS = 0.5;
export const PROMPT_TOKENS = 1_000;
const RUN_MS = 40;
const TARGET_MS = 600;

export interface SimulationOptions {
  readonly hasher: KeyHasher;
  readonly seed: number;
  readonly gateways: number;
  /** Tokens per millisecond of each engine, or work time of each service. */
  readonly speeds: readonly number[];
  readonly slots: number;
  readonly isEngine: boolean;
  readonly serverCapacity: boolean;
}

export interface SimulatedGatewayParts {
  readonly name: string;
  readonly fleet: GatewayFleet;
  readonly rate: PrefillRate;
  readonly choice: GatewayChoice;
  readonly readings: GatewayLoadReports;
}

/** A server with a queue in the order of arrival. */
class SimulatedServer {
  /** Multiplies the duration of all work. */
  slowdown = 1;
  served = 0;
  #slotsFreeAt: number[];
  readonly #workMs: number;

  constructor(slots: number, workMs: number) {
    this.#slotsFreeAt = Array.from({length: slots}, () => 0);
    this.#workMs = workMs;
  }

  /** @returns when the work of a request that arrives now is done */
  take(now: number): number {
    const freeAt = Math.min(...this.#slotsFreeAt);
    const doneAt = Math.max(now, freeAt) + this.#workMs * this.slowdown;
    this.#slotsFreeAt[this.#slotsFreeAt.indexOf(freeAt)] = doneAt;
    this.served += 1;
    return doneAt;
  }
}

interface Step {
  readonly at: number;
  readonly run: () => void;
}

export class CapacitySimulation {
  readonly gateways: readonly SimulatedGatewayParts[];
  readonly servers: readonly SimulatedServer[];
  /** Time to the first token or to the whole answer, of each response. */
  responseMs: number[] = [];
  now = 0;
  readonly #options: SimulationOptions;
  readonly #random: Random;
  #steps: Step[] = [];
  #prompts = 0;

  constructor(options: SimulationOptions) {
    const {speeds, slots, isEngine, seed} = options;
    this.#options = options;
    this.#random = new Random(seed);
    // An engine computes one prompt at a time, whatever its slots.
    this.servers = speeds.map(speed =>
      isEngine
        ? new SimulatedServer(1, PROMPT_TOKENS / speed)
        : new SimulatedServer(slots, speed),
    );
    this.gateways = Array.from({length: options.gateways}, (_, at) =>
      makeGateway(`gateway-${at}`, options),
    );
  }

  state(gateway: number, server: number): ServerState {
    return this.gateways[gateway]!.fleet.find(`server-${server}`)!;
  }

  /**
   * @param perSecond requests per second of all gateways, Poisson distributed
   * @param durationMs time to run for
   */
  run(perSecond: number, durationMs: number): void {
    const until = this.now + durationMs;
    let nextRequestAt = this.now + this.#gapMs(perSecond);
    let nextReportAt = this.now;
    while (this.now < until) {
      const stepAt = this.#steps[0]?.at ?? Infinity;
      this.now = Math.min(nextRequestAt, nextReportAt, stepAt, until);
      if (this.now >= until) return;
      if (stepAt === this.now) this.#steps.shift()!.run();
      else if (nextReportAt === this.now) {
        nextReportAt += REPORT_INTERVAL_MS;
        this.#reportAll();
      } else {
        nextRequestAt += this.#gapMs(perSecond);
        this.#request();
      }
    }
  }

  #gapMs(perSecond: number): number {
    return (-Math.log(1 - this.#random.next()) / perSecond) * 1_000;
  }

  #after(ms: number, run: () => void): void {
    const at = this.now + ms;
    const behind = this.#steps.findIndex(step => step.at > at);
    const index = behind < 0 ? this.#steps.length : behind;
    this.#steps.splice(index, 0, {at, run});
  }

  #request(): void {
    const {isEngine} = this.#options;
    const gateway = this.#random.pick(this.gateways);
    const servers = gateway.fleet.ready('p', this.now);
    this.#prompts += 1;
    const parts = [{id: `own-${this.#prompts}`, tokens: PROMPT_TOKENS}];
    const choice = gateway.choice.choose(
      {
        pool: {...CONTENT.pools[0]!, name: 'p', loadBound: 2},
        servers,
        holders: servers,
        listed: servers,
        parts: isEngine ? parts : [],
        sticky: isEngine,
        work: {kind: 'k', isStream: isEngine},
        targetLatencyMs: TARGET_MS,
        repeatable: true,
        tried: new Set<string>(),
      },
      this.now,
    );
    const state = choice!.state;
    const server = this.servers[Number(state.server.name.split('-')[1])]!;
    if (isEngine) this.#stream(gateway, state, server, parts);
    else this.#call(state, server);
  }

  #stream(
    gateway: SimulatedGatewayParts,
    state: ServerState,
    server: SimulatedServer,
    parts: readonly PromptPart[],
  ): void {
    const sentAt = this.now;
    const tracker = new PrefillTracker(
      state,
      parts,
      undefined,
      gateway,
      sentAt,
      {
        kind: 'k',
        isStream: true,
        memoryTokens: PROMPT_TOKENS,
        contextTokens: undefined,
      },
    );
    state.inFlight += 1;
    this.#after(HOP_MS, () => {
      const firstMs = server.take(this.now) - this.now + HOP_MS;
      this.#after(firstMs, () => {
        tracker.noteFirstToken(this.now);
        this.responseMs.push(this.now - sentAt);
      });
      this.#after(firstMs + RUN_MS, () => {
        tracker.noteEnd(this.now);
        tracker.close();
        state.inFlight -= 1;
        state.noteSuccess(this.now);
      });
    });
  }

  #call(state: ServerState, server: SimulatedServer): void {
    const sentAt = this.now;
    const timing = new ResponseTiming(state, TARGET_MS, sentAt, 'k');
    state.inFlight += 1;
    this.#after(HOP_MS, () => {
      this.#after(server.take(this.now) - this.now + HOP_MS, () => {
        state.inFlight -= 1;
        timing.noteResponse(this.now);
        this.responseMs.push(this.now - sentAt);
      });
    });
  }

  #reportAll(): void {
    for (const {name, fleet, readings} of this.gateways) {
      fleet.expire(this.now);
      const report = readings.takeReport(this.now);
      if (!report) continue;
      const digest = {reports: [{...report, node: name}]};
      this.#after(REPORT_DELAY_MS, () => {
        for (const other of this.gateways) {
          other.readings.apply(digest, this.now);
        }
      });
    }
  }
}

function makeGateway(
  name: string,
  {speeds, slots, serverCapacity, hasher, seed}: SimulationOptions,
): SimulatedGatewayParts {
  const fleet = new GatewayFleet({prefillTokensPerMs: 40, serverCapacity});
  const list = speeds.map((_, at) => {
    const server = makeBackendServer(`server-${at}`, {directSlots: slots});
    return [server.name, server] as const;
  });
  fleet.useMembership({version: 1, servers: new Map(list)});
  const rate = new PrefillRate(40);
  const settings = {availabilityZone: 'a', rate};
  const choice = new GatewayChoice(settings, hasher, new Random(seed + 100));
  const readings = new GatewayLoadReports(name, fleet, rate);
  return {name, fleet, rate, choice, readings};
}
