import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {answer, clock, NAMES, refuse, type Script} from './gateway_harness.js';
import {OverloadedPool} from './overloaded_pool.js';

let pool: OverloadedPool;

beforeEach(() => {
  pool = new OverloadedPool();
});

afterEach(() => {
  pool.stop();
});

describe('a server that refuses for its load', () => {
  function refusing(load: string | undefined): Script {
    return (req, res) => {
      if (load) res.setHeader(NAMES.serverLoad, load);
      refuse(req, res);
    };
  }

  // Guards against servers at their limit that get nothing for seconds.
  it.each([
    ['no free slot', '1,0,1', false],
    ['a free slot', '0,0,1', true],
    ['nothing about its load', undefined, true],
  ])('reporting %s, is avoided: %s', async (_case, load, isAvoided) => {
    await pool.start([refusing(load)]);
    expect((await pool.call('/read/a')).status).toBe(503);
    const state = pool.gateway.gatewayFleet.find('server-0')!;
    expect(state.isAvoided(clock.now())).toBe(isAvoided);
  });

  it('is avoided if the pool has no admission control', async () => {
    await pool.start([refusing('1,0,1')], null);
    expect((await pool.call('/read/a')).status).toBe(503);
    const state = pool.gateway.gatewayFleet.find('server-0')!;
    expect(state.isAvoided(clock.now())).toBe(true);
  });

  it('makes the pool congested, and calm again later', async () => {
    let isFull = true;
    await pool.start([
      (req, res, body) => {
        if (isFull) refusing('1,0,1')(req, res, body);
        else answer(req, res, 200, '');
      },
    ]);
    await pool.call('/read/a');
    expect(pool.linesOf('pool is congested')).toHaveLength(1);
    isFull = false;
    const statuses: number[] = [];
    await vi.waitFor(
      async () => {
        statuses.push((await pool.call('/read/a')).status);
        expect(pool.linesOf('pool is no longer congested')).toHaveLength(1);
      },
      {timeout: 8_000, interval: 50},
    );
    expect(statuses).toEqual(statuses.map(() => 200));
    expect(pool.linesOf('pool is congested')).toHaveLength(1);
  }, 10_000);
});

describe('the window of a server', () => {
  // Guards against work without an answer that a window counts for ever, until
  // it has room for nothing.
  it.each([
    ['breaks off', (_req, res) => res.destroy()],
    ['fails', (req, res) => answer(req, res, 500, '')],
    ['refuses', refuse],
  ] satisfies [string, Script][])(
    'forgets a call that the server %s',
    async (_case, script) => {
      await pool.start([script]);
      await pool.call('/read/a');
      const {pools} = pool.gateway.overload.describe(clock.now());
      expect(pools).toMatchObject({
        servers: {windows: {'server-0': {inFlight: 0, inFlightMs: 0}}},
      });
    },
  );
});
