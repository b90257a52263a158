import * as fc from 'fast-check';
import {type Pool} from '@lovagepond/core';
import {afterEach, describe, expect, it} from 'vitest';
import {ServerState} from '../../gateway_server_state.js';
import {GatewayWarmUp} from '../../gateway_warm_up.js';
import {makeBackendServer} from './backend_servers.js';
import {answer, GatewayHarness} from './gateway_harness.js';

const SECOND_MS = 1_000;
const STARTED_LONG_AGO = -60_000;

interface Step {
  readonly gateway: number;
  readonly afterMs: number;
  readonly restarts: boolean;
}

function poolWith(maxRequestsPerSecond: number): Pool {
  const warmUp = {durationMs: 3_000, maxRequestsPerSecond};
  return {name: 'p', warmUp} as Pool;
}

function coldServer(...routers: string[]): ServerState {
  return new ServerState(makeBackendServer('s', {warmUp: {routers}}));
}

/** @returns the most times within any second */
function mostPerSecond(times: readonly number[]): number {
  const counts = times.map(
    from => times.filter(at => at >= from && at < from + SECOND_MS).length,
  );
  return Math.max(0, ...counts);
}

describe('GatewayWarmUp', () => {
  it('sends only its part of the limit to a server that warms up', () => {
    const warmUp = new GatewayWarmUp('a', STARTED_LONG_AGO);
    const state = coldServer('a', 'b');
    const pool = poolWith(5);
    for (const now of [0, 1]) {
      expect(warmUp.admits(state, pool, now)).toBe(true);
      warmUp.noteSent(state, now);
    }
    expect(warmUp.admits(state, pool, SECOND_MS)).toBe(false);
    expect(warmUp.admits(state, pool, 1_501)).toBe(true);
  });

  it('sends without a limit to a server that is warm', () => {
    const warmUp = new GatewayWarmUp('a', STARTED_LONG_AGO);
    const state = new ServerState(makeBackendServer('s'));
    for (let n = 0; n < 20; n += 1) {
      expect(warmUp.admits(state, poolWith(5), 0)).toBe(true);
      warmUp.noteSent(state, 0);
    }
  });

  // Guards against a restarted gateway that repeats what its former process
  // has just sent.
  it('sends nothing to a cold server right after its own start', () => {
    const warmUp = new GatewayWarmUp('a', 0);
    expect(warmUp.admits(coldServer('a'), poolWith(5), 1_000)).toBe(false);
    expect(warmUp.admits(coldServer('a'), poolWith(5), 1_600)).toBe(true);
  });

  // Guards against gateways that crash a server which has just started, as
  // their requests add up: they may restart, and reach no other gateway.
  it('keeps the sum of all gateways within the limit', () => {
    const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
    const step = fc.record({
      gateway: fc.nat(names.length - 1),
      afterMs: fc.nat(120),
      restarts: fc.integer({min: 0, max: 5}).map(n => n === 0),
    });
    const run = (
      routers: readonly string[],
      spare: number,
      steps: readonly Step[],
    ): void => {
      const limit = routers.length + spare;
      const pool = poolWith(limit);
      const state = coldServer(...routers);
      const make = (name: string, now: number): GatewayWarmUp =>
        new GatewayWarmUp(name, now);
      const gateways = names.map(name => make(name, STARTED_LONG_AGO));
      const sent: number[] = [];
      let now = 0;
      for (const {gateway: at, afterMs, restarts} of steps) {
        now += afterMs;
        if (restarts) gateways[at] = make(names[at] ?? '', now);
        const gateway = gateways[at];
        if (!gateway?.admits(state, pool, now)) continue;
        gateway.noteSent(state, now);
        sent.push(now);
      }
      expect(mostPerSecond(sent)).toBeLessThanOrEqual(limit);
    };
    fc.assert(
      fc.property(
        fc.uniqueArray(fc.constantFrom(...names), {minLength: 1}),
        fc.nat(2),
        fc.array(step, {maxLength: 200, size: 'max'}),
        run,
      ),
    );
  });
});

describe('a gateway', () => {
  let harness: GatewayHarness | undefined;

  afterEach(() => {
    harness?.stop();
  });

  it.each([
    [
      ['gateway', 'other'],
      [200, 200, 503],
    ],
    [['other'], [503, 503, 503]],
  ])('named among %s gets %s from a cold server', async (routers, statuses) => {
    harness = await GatewayHarness.start(
      [
        (req, res) => {
          answer(req, res, 200, 'yes');
        },
      ],
      {listed: () => ({warmUp: {routers}})},
    );
    const seen: number[] = [];
    while (seen.length < statuses.length) {
      seen.push((await harness.call({path: '/read/a'})).status);
    }
    expect(seen).toEqual(statuses);
  });
});
