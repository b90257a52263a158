import {Random} from '@lovagepond/core';
import {loadKeyHasher} from '@lovagepond/router/rendezvous_hash';
import {describe, expect, it} from 'vitest';
import {type ChoiceRequest, GatewayChoice} from '../../gateway_choice.js';
import {GatewayFleet} from '../../gateway_fleet.js';
import {GatewayLoadReports} from '../../gateway_load_reports.js';
import {PrefillRate} from '../../gateway_prefill_rate.js';
import {
  PrefillTracker,
  type TrackedRequest,
} from '../../gateway_prefill_tracker.js';
import {ResponseTiming} from '../../gateway_response_timing.js';
import {type ServerState} from '../../gateway_server_state.js';
import {makeBackendServer} from './backend_servers.js';
import {CONTENT} from './gateway_harness.js';

const RATE = 10;
const CONTEXT_TOKENS = 10_000;
const REQUEST: TrackedRequest = {
  kind: 'chat',
  isStream: true,
  memoryTokens: 1_200,
  contextTokens: CONTEXT_TOKENS,
};

/** A gateway with servers of the pool `p`. */
class Gateway {
  readonly fleet: GatewayFleet;
  readonly reports: GatewayLoadReports;
  readonly #rate = new PrefillRate(RATE);

  constructor(serverCapacity: boolean, names = ['x', 'y', 'z']) {
    this.fleet = new GatewayFleet({prefillTokensPerMs: RATE, serverCapacity});
    this.list(names.map(name => ({name, incarnation: '1'})));
    this.reports = new GatewayLoadReports('g', this.fleet, this.#rate);
  }

  list(servers: readonly {name: string; incarnation: string}[]): void {
    const list = servers.map(({name, incarnation}) => {
      const other = {incarnation, directSlots: 4};
      return [name, makeBackendServer(name, other)] as const;
    });
    this.fleet.useMembership({version: 1, servers: new Map(list)});
  }

  state(name = 'x'): ServerState {
    return this.fleet.find(name)!;
  }

  send(
    parts: readonly {id: string; tokens: number}[],
    now: number,
    req = REQUEST,
  ): PrefillTracker {
    const shared = {readings: this.reports, rate: this.#rate};
    return new PrefillTracker(this.state(), parts, undefined, shared, now, req);
  }

  async choice(): Promise<GatewayChoice> {
    const settings = {availabilityZone: 'a', rate: this.#rate};
    return new GatewayChoice(settings, await loadKeyHasher(), new Random(1));
  }

  call(): ChoiceRequest {
    const servers = [...this.fleet.all()];
    return {
      pool: {...CONTENT.pools[0]!, name: 'p', loadBound: 2},
      servers,
      holders: servers,
      listed: servers,
      parts: [],
      sticky: false,
      targetLatencyMs: 200,
      work: {kind: 'call', isStream: false},
      repeatable: true,
      tried: new Set<string>(),
    };
  }
}

function learnCalls(state: ServerState, durationMs: number): void {
  for (let at = 0; at < 10; at += 1) {
    const timing = new ResponseTiming(state, 200, at * 1_000, 'call');
    timing.noteResponse(at * 1_000 + durationMs);
  }
}

describe('the choice of a service', () => {
  async function chosen(
    gateway: Gateway,
    now: number,
    count = 60,
  ): Promise<Record<string, number>> {
    const choice = await gateway.choice();
    const counts: Record<string, number> = {x: 0, y: 0, z: 0};
    for (let at = 0; at < count; at += 1) {
      counts[choice.choose(gateway.call(), now)!.state.server.name]! += 1;
    }
    return counts;
  }

  // A service three times slower than its peers got as many requests as they
  // did while it had a free slot.
  it('uses a slow service only when the others have queues', async () => {
    const gateway = new Gateway(true);
    for (const [name, ms] of [
      ['x', 120],
      ['y', 40],
      ['z', 40],
    ] as const) {
      learnCalls(gateway.state(name), ms);
    }
    expect((await chosen(gateway, 20_000))['x']).toBe(0);
    for (const name of ['y', 'z']) gateway.state(name).inFlight = 14;
    gateway.state('x').inFlight = 4;
    expect((await chosen(gateway, 20_000))['x']).toBe(60);
  });

  it('compares loads alone while the setting is off', async () => {
    const gateway = new Gateway(false);
    learnCalls(gateway.state('x'), 120);
    learnCalls(gateway.state('y'), 40);
    learnCalls(gateway.state('z'), 40);
    expect((await chosen(gateway, 20_000))['x']).toBeGreaterThan(5);
  });

  // A new pool has no estimates. Its servers must all get requests.
  it('compares loads while nothing is known', async () => {
    const counts = await chosen(new Gateway(true), 0);
    for (const count of Object.values(counts)) {
      expect(count).toBeGreaterThan(5);
    }
  });

  // A server that fails fast has the shortest times.
  it('still avoids a service that fails', async () => {
    const gateway = new Gateway(true);
    learnCalls(gateway.state('x'), 20);
    learnCalls(gateway.state('y'), 40);
    learnCalls(gateway.state('z'), 40);
    for (let at = 0; at < 40; at += 1) {
      gateway.state('x').noteErrorResponse(20_000);
    }
    expect((await chosen(gateway, 20_000))['x']).toBe(0);
  });
});

describe('the estimates of a server', () => {
  // A restarted server may be another machine. Responses that its former
  // incarnation still sends must not be taken for its own.
  it('start anew with each incarnation', () => {
    const gateway = new Gateway(true);
    const former = gateway.send([{id: 'a', tokens: 1_000}], 0);
    const timing = new ResponseTiming(gateway.state(), 200, 0, 'call');
    gateway.list([{name: 'x', incarnation: '2'}]);
    former.noteSlowdown(900, 1_000);
    former.noteFirstToken(1_000);
    former.noteEnd(2_000);
    former.close();
    timing.noteResponse(2_000);
    const {capacity, pendingPrefillTokens} = gateway.state();
    expect(capacity.describe(2_000)).toEqual({
      prefillTokensPerMs: RATE,
      slowdown: 1,
      serviceMs: {},
      runMs: {},
    });
    expect(pendingPrefillTokens).toBe(0);
    expect(gateway.state().coldTokens([{id: 'a', tokens: 1_000}])).toBe(1_000);
  });

  // The time in the queue of an engine with all slots taken would count as
  // prefill, and the engine would look many times slower than it is.
  it('ignore prompts that wait for a slot', () => {
    const gateway = new Gateway(true);
    const {capacity} = gateway.state();
    capacity.noteRun('chat', 1_000, 0);
    gateway.state().noteRemoteRequests('', 8, 0);
    gateway.send([{id: 'a', tokens: 1_000}], 0).noteFirstToken(1_500);
    expect(capacity.prefillTokensPerMs(1_500)).toBe(RATE);
    gateway.state().noteRemoteRequests('', 0, 2_000);
    gateway.send([{id: 'b', tokens: 1_000}], 2_000).noteFirstToken(2_200);
    expect(capacity.prefillTokensPerMs(2_200)).toBeCloseTo(5);
  });

  // The response to a failing request arrives at once and looks like an engine
  // of infinite speed.
  it('ignore error responses', () => {
    const gateway = new Gateway(true);
    const tracker = gateway.send([{id: 'a', tokens: 1_000}], 0);
    tracker.noteFirstToken(1, false);
    tracker.close();
    expect(gateway.state().capacity.prefillTokensPerMs(1)).toBe(RATE);
  });

  // An estimate of 10^9 tokens would make the engine look blocked for a day to
  // all gateways, and would leave no room in its cache.
  it('ignore prompts that do not fit into the engine', () => {
    const gateway = new Gateway(true);
    gateway.state().memory.contextTokens = CONTEXT_TOKENS;
    gateway.send([{id: 'a', tokens: 1_000}], 0).close();
    const absurd = {...REQUEST, memoryTokens: 2e9};
    const tracker = gateway.send([{id: 'b', tokens: 1e9}], 10, absurd);
    const {pendingPrefillTokens} = gateway.state();
    expect(pendingPrefillTokens).toBe(0);
    tracker.noteFirstToken(60);
    expect(gateway.state().capacity.prefillTokensPerMs(60)).toBe(RATE);
    tracker.close();
    const empty = gateway.send([], 70, {...REQUEST, memoryTokens: 0});
    empty.noteFirstToken(80);
    empty.noteEnd(90);
    empty.close();
    const room = gateway.state().memory.cacheTokens(0);
    expect(room).toBe(CONTEXT_TOKENS);
  });

  // Counts of sent and ended work that drift apart block a server forever.
  it('count the work of ended requests no longer', () => {
    const gateway = new Gateway(true);
    const trackers = [1, 2, 3].map(at =>
      gateway.send([{id: `${at}`, tokens: 900 * at}], at),
    );
    // Half a millisecond's work of the first prompt is predicted to be done.
    expect(gateway.state().loadView(1).pendingPrefillTokens).toBe(5_400);
    expect(gateway.state().loadView(3).pendingPrefillTokens).toBe(5_380);
    for (const tracker of trackers) {
      tracker.noteFirstToken(100);
      tracker.close();
      tracker.close();
    }
    expect(gateway.state().loadView(100).pendingPrefillTokens).toBe(0);
    expect(gateway.state().memory.cacheTokens(0)).toBe(CONTEXT_TOKENS);
  });
});

describe('the parts assumed in a cache', () => {
  function fill(gateway: Gateway, prompts: number): void {
    for (let at = 0; at < prompts; at += 1) {
      gateway.send([{id: `p${at}`, tokens: 1_000}], at).close();
    }
  }

  function isWarm(gateway: Gateway, id: string): boolean {
    return gateway.state().coldTokens([{id, tokens: 1_000}]) === 0;
  }

  // Prompts were sent to engines that had evicted them long ago.
  it('are limited to the memory of the engine', () => {
    const gateway = new Gateway(true);
    fill(gateway, 30);
    const warm = Array.from({length: 30}, (_, at) => isWarm(gateway, `p${at}`));
    // The prompt being sent needs 1,200 of 10,000 tokens.
    expect(warm.filter(Boolean)).toHaveLength(8);
    expect(isWarm(gateway, 'p29')).toBe(true);
    expect(isWarm(gateway, 'p21')).toBe(false);
  });

  it('make room for running requests of all gateways', () => {
    const gateway = new Gateway(true);
    fill(gateway, 30);
    gateway.state().noteRemoteRequests('', 3, 30);
    gateway.send([{id: 'p30', tokens: 1_000}], 30);
    // Four requests of 1,200 tokens leave room for five parts.
    expect(isWarm(gateway, 'p26')).toBe(true);
    expect(isWarm(gateway, 'p25')).toBe(false);
  });

  it('are limited by number where the memory is unknown', () => {
    const gateway = new Gateway(true);
    const req = {...REQUEST, contextTokens: undefined};
    for (let at = 0; at < 4_200; at += 1) {
      gateway.send([{id: `p${at}`, tokens: 1_000}], at, req).close();
    }
    expect(isWarm(gateway, 'p104')).toBe(true);
    expect(isWarm(gateway, 'p103')).toBe(false);
  });

  it('are limited by number while the setting is off', () => {
    const gateway = new Gateway(false);
    fill(gateway, 4_200);
    expect(isWarm(gateway, 'p104')).toBe(true);
    expect(isWarm(gateway, 'p103')).toBe(false);
  });

  // Parts of no or unknown size would fill the gateway's memory.
  it('are limited by number if they have no size', () => {
    const gateway = new Gateway(true);
    for (let at = 0; at < 17_000; at += 1) {
      gateway.send([{id: `p${at}`, tokens: 0}], at).close();
    }
    const warm = Array.from({length: 17_000}, (_, at) =>
      isWarm(gateway, `p${at}`),
    );
    expect(warm.filter(Boolean)).toHaveLength(16_384);
  });
});

describe('reports of pending prompt tokens', () => {
  const LATER = 1_000;

  it('are not sent while the setting is off', () => {
    const gateway = new Gateway(false);
    gateway.send([{id: 'a', tokens: 5_000}], 0);
    gateway.state().inFlight = 1;
    const {running} = gateway.reports.takeReport(0)!;
    expect(running).toEqual([
      {backendServer: 'x', requests: 1, ended: 0, failed: 0},
    ]);
    gateway.send([{id: 'b', tokens: 5_000}], LATER);
    expect(gateway.reports.takeReport(LATER)).toBeUndefined();
  });

  // Without them, gateways together fill an engine's queue beyond its target.
  it('are sent for pools with admission control in any case', () => {
    const gateway = new Gateway(false);
    gateway.send([{id: 'a', tokens: 5_000}], 0, {
      ...REQUEST,
      hasAdmission: true,
    });
    const {running} = gateway.reports.takeReport(LATER)!;
    expect(running?.[0]?.prefillTokens).toBe(5_000);
  });

  // The number of tokens changes with each prompt, so that each interval would
  // have a message for each server.
  it('are sent alone only after a large change', () => {
    const gateway = new Gateway(true);
    const state = gateway.state();
    const reportAfter = (tokens: number, now: number): unknown => {
      const remove = state.pendingPrefill.add(tokens, now, now + 1);
      const report = gateway.reports.takeReport(now);
      remove();
      return report?.running?.[0]?.prefillTokens;
    };
    expect(reportAfter(256, 100)).toBeUndefined();
    expect(reportAfter(4_000, 200)).toBe(4_000);
    expect(reportAfter(5_000, 300)).toBeUndefined();
    expect(reportAfter(5_001, 400)).toBe(5_001);
    expect(reportAfter(9_000, 405)).toBeUndefined();
    expect(reportAfter(1e12, 500)).toBe(0xffff_ffff);
  });

  // A gateway that was killed can't withdraw its report.
  it('of other gateways are added up and expire', () => {
    const gateway = new Gateway(true);
    const apply = (running: object, now: number): void => {
      const reports = [{node: '', running: [{backendServer: 'x', ...running}]}];
      gateway.reports.apply({reports}, now);
    };
    gateway.send([{id: 'a', tokens: 1_000}], 0);
    apply({requests: 2, prefillTokens: 3_000}, 0);
    expect(gateway.state().loadView(0)).toEqual({
      slots: 4,
      load: 2,
      pendingPrefillTokens: 4_000,
    });
    expect(gateway.state().prefillWaitMs(99, 0)).toBe(400);
    // A member of control of the previous release doesn't send the tokens.
    apply({requests: 2}, 100);
    expect(gateway.state().remotePrefillTokens).toBe(0);
    apply({requests: 2, prefillTokens: 3_000}, 200);
    gateway.fleet.expire(3_100);
    expect(gateway.state().remotePrefillTokens).toBe(3_000);
    gateway.fleet.expire(3_300);
    expect(gateway.state().loadView(3_300).pendingPrefillTokens).toBe(1_000);
  });

  // Multiplied by the engine's own rate, they grew with each estimate of it, and
  // the next observation of the rate with them.
  it('of shared prefixes count as many tokens as were reported', () => {
    for (const serverCapacity of [false, true]) {
      const gateway = new Gateway(serverCapacity);
      const readings = [{backendServer: 'x', prefix: '/a', tokens: 3_000}];
      gateway.reports.apply({reports: [{node: 'h', readings}]}, 0);
      const {capacity} = gateway.state();
      for (let at = 0; at < 20; at += 1) capacity.notePrefill(8_000, 200, 0);
      expect(capacity.prefillTokensPerMs(0)).toBeGreaterThan(2 * RATE);
      const {pendingPrefillTokens} = gateway.state().loadView(0);
      expect(pendingPrefillTokens).toBeCloseTo(3_000);
    }
  });

  it('of others do not change the wait while the setting is off', () => {
    const gateway = new Gateway(false);
    const running = [{backendServer: 'x', requests: 2, prefillTokens: 3_000}];
    gateway.reports.apply({reports: [{node: '', running}]}, 0);
    expect(gateway.state().prefillWaitMs(RATE, 0)).toBe(0);
  });
});
