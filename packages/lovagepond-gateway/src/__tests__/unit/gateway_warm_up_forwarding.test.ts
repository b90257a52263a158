import {afterEach, describe, expect, it} from 'vitest';
import {
  GRANT_WINDOW_MS,
  PERMIT_VALID_MS,
} from '../../gateway_warm_up_issuer.js';
import {answer, clock, GatewayHarness} from './gateway_harness.js';

describe('a gateway', () => {
  let harness: GatewayHarness | undefined;

  afterEach(() => {
    harness?.stop();
  });

  it.each([
    [
      ['other', 'gateway'],
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

  // Guards against a request that is sent on a permit which was granted before a
  // wait: the server has got the requests of later permits since.
  it('sends nothing on a permit that expired before the send', async () => {
    let wallTime = 0;
    harness = await GatewayHarness.start(
      [
        (req, res) => {
          answer(req, res, 200, 'yes');
        },
      ],
      {
        listed: () => ({warmUp: {routers: ['gateway']}}),
        revocationBoundMs: 3_600_000,
        clock: {
          ...clock,
          wallTime: () => {
            wallTime += PERMIT_VALID_MS + 1;
            return wallTime;
          },
        },
      },
    );
    expect((await harness.call({path: '/write/a'})).status).toBe(503);
    expect(harness.arrivals).toEqual([]);
  });

  // Guards against a server that is handed a deadline that has passed, as the
  // machine was suspended while the connection opened.
  it('sends nothing on decisions that are too old', async () => {
    let wallTime = 0;
    harness = await GatewayHarness.start(
      [
        (req, res) => {
          answer(req, res, 200, 'yes');
        },
      ],
      {
        revocationBoundMs: 3_600_000,
        clock: {
          ...clock,
          wallTime: () => {
            wallTime += 501;
            return wallTime;
          },
        },
      },
    );
    expect((await harness.call({path: '/write/a'})).status).toBe(503);
    expect(harness.arrivals).toEqual([]);
  });

  // Guards against a gateway that floods a server which has restarted cold under
  // its name: the list still has the former process, which was warm.
  it('sends nothing to a server that has refused a connection, until it is listed anew', async () => {
    harness = await GatewayHarness.start([
      (req, res) => {
        answer(req, res, 200, 'yes');
      },
    ]);
    const port = Number(harness.addressOf('server-0').split(':')[1]);
    expect((await harness.call({path: '/read/a'})).status).toBe(200);
    harness.crash(port);
    await harness.call({path: '/read/a'});
    await harness.call({path: '/read/a'});
    const arrivals = await harness.restart('server-0');
    for (let n = 0; n < 5; n += 1) await harness.call({path: '/read/a'});
    expect(arrivals()).toBe(0);
    harness.relist('server-0', {name: 'server-0@2'});
    expect((await harness.call({path: '/read/a'})).status).toBe(200);
    expect(arrivals()).toBe(1);
  });

  // Guards against callers that are held although no server will take them.
  it('refuses at once, and tells when to return, while a server warms up', async () => {
    harness = await GatewayHarness.start(
      [
        (req, res) => {
          answer(req, res, 200, 'yes');
        },
      ],
      {listed: () => ({warmUp: {routers: ['other']}})},
    );
    const {status, headers} = await harness.call({path: '/write/a'});
    expect(status).toBe(503);
    expect(Number(headers['retry-after'])).toBeGreaterThan(
      GRANT_WINDOW_MS / 1_000 - 0.1,
    );
  });
});
