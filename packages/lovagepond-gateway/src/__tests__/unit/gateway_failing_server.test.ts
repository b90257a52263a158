import {Random} from '@lovagepond/core';
import {loadKeyHasher} from '@lovagepond/router/rendezvous_hash';
import {describe, expect, it} from 'vitest';
import {GatewayChoice} from '../../gateway_choice.js';
import {GatewayFleet} from '../../gateway_fleet.js';
import {OutcomeEstimate} from '../../gateway_outcome_estimate.js';
import {PrefillRate} from '../../gateway_prefill_rate.js';
import {GatewayLoadReports} from '../../gateway_load_reports.js';
import {makeBackendServer} from './backend_servers.js';
import {CONTENT} from './gateway_harness.js';

const GATEWAYS = 8;
const SERVERS = ['x', 'y', 'z'];
const SLOTS = 6;
const SERVICE_MS = 43;
/** Requests of all gateways per millisecond: 26 per second. */
const REQUESTS_PER_MS = 0.026;
const FAILS_FROM_MS = 5_000;
const FAILS_TO_MS = 10_000;
const FAILURE_SHARE = 0.4;
const REPORT_INTERVAL_MS = 100;
/** Delay of a report on its way through control. */
const REPORT_DELAY_MS = 25;

interface Gateway {
  readonly fleet: GatewayFleet;
  readonly choice: GatewayChoice;
  readonly readings: GatewayLoadReports;
}

type Step = () => void;

/** Gateways in front of three servers, one of which fails for some time. */
class FailingServerSimulation {
  readonly #random: Random;
  readonly #gateways: readonly Gateway[];
  readonly #due = new Map<number, Step[]>();
  #now = 0;
  asked = 0;
  failed = 0;

  constructor(random: Random, gateways: readonly Gateway[]) {
    this.#random = random;
    this.#gateways = gateways;
  }

  run(untilMs: number): void {
    for (; this.#now < untilMs; this.#now += 1) {
      for (const step of this.#due.get(this.#now) ?? []) step();
      this.#due.delete(this.#now);
      if (this.#random.next() < REQUESTS_PER_MS) this.#request();
      if (this.#now % REPORT_INTERVAL_MS === 0) this.#reportAll();
    }
  }

  #after(ms: number, step: Step): void {
    const at = this.#now + ms;
    this.#due.set(at, [...(this.#due.get(at) ?? []), step]);
  }

  #request(): void {
    const gateway = this.#random.pick(this.#gateways);
    const servers = gateway.fleet.ready('p', this.#now);
    const request = {
      pool: {...CONTENT.pools[0]!, name: 'p', loadBound: 2},
      servers,
      holders: servers,
      listed: servers,
      parts: [],
      sticky: false,
      targetLatencyMs: 193,
      repeatable: false,
      tried: new Set<string>(),
    };
    const state = gateway.choice.choose(request, this.#now)!.state;
    const isFaulty =
      state.server.name === 'x' &&
      this.#now >= FAILS_FROM_MS &&
      this.#now < FAILS_TO_MS;
    const fails = isFaulty && this.#random.next() < FAILURE_SHARE;
    state.inFlight += 1;
    this.#after(SERVICE_MS, () => {
      state.inFlight -= 1;
      if (fails) state.noteErrorResponse(this.#now);
      else state.noteSuccess(this.#now);
    });
    if (this.#now < FAILS_FROM_MS || this.#now >= FAILS_TO_MS) return;
    this.asked += 1;
    if (fails) this.failed += 1;
  }

  #reportAll(): void {
    for (const [at, gateway] of this.#gateways.entries()) {
      const report = gateway.readings.takeReport(this.#now);
      if (!report) continue;
      const digest = {reports: [{...report, node: `gateway-${at}`}]};
      this.#after(REPORT_DELAY_MS, () => {
        for (const {readings} of this.#gateways) {
          readings.apply(digest, this.#now);
        }
      });
    }
  }
}

async function makeGateway(at: number): Promise<Gateway> {
  const fleet = new GatewayFleet();
  const list = SERVERS.map(name => {
    const server = makeBackendServer(name, {directSlots: SLOTS});
    return [name, server] as const;
  });
  fleet.useMembership({version: 1, servers: new Map(list)});
  const rate = new PrefillRate(40);
  const settings = {availabilityZone: 'a', rate};
  const random = new Random(100 + at);
  const choice = new GatewayChoice(settings, await loadKeyHasher(), random);
  const readings = new GatewayLoadReports(`gateway-${at}`, fleet, rate);
  return {fleet, choice, readings};
}

describe('a server that fails part of its requests', () => {
  // One of three services fails two requests in five for five seconds, while
  // its health check passes. Requests that must not run twice are lost there.
  // Over six seeds 5.1% were lost; 8.6% with each gateway's own outcomes alone,
  // and 13.6% when a server was avoided only above a failure share of 0.6.
  it('is avoided by all gateways within a second', async () => {
    const lost: number[] = [];
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const indexes = Array.from({length: GATEWAYS}, (_, at) => at);
      const gateways = await Promise.all(indexes.map(makeGateway));
      const simulation = new FailingServerSimulation(
        new Random(seed),
        gateways,
      );
      simulation.run(FAILS_TO_MS);
      lost.push(simulation.failed / simulation.asked);
    }
    const mean = lost.reduce((sum, share) => sum + share) / lost.length;
    expect(mean).toBeLessThan(0.06);
  });
});

describe('OutcomeEstimate', () => {
  it('is low without outcomes, and after one failure', () => {
    const estimate = new OutcomeEstimate();
    expect(estimate.failureShare(0)).toBeCloseTo(0.05);
    estimate.note({ended: 1, failed: 1}, 0);
    expect(estimate.failureShare(0)).toBeLessThan(0.2);
  });

  it('follows the outcomes and decays to the prior', () => {
    const estimate = new OutcomeEstimate();
    estimate.note({ended: 100, failed: 40}, 0);
    expect(estimate.failureShare(0)).toBeCloseTo(0.38, 1);
    expect(estimate.failureShare(20_000)).toBeCloseTo(0.05, 1);
  });
});
