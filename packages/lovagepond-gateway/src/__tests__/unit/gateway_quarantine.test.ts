import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {
  answer,
  beginStream,
  type Call,
  clock,
  GatewayHarness,
  type Script,
} from './gateway_harness.js';
import {fingerprintOf} from '@lovagepond/router/quarantine';

const HOUR_MS = 3_600_000;

/** Longer than the time in which crashes count once. */
const COMMON_CAUSE_MS = 250;
const CALL: Call = {path: '/read/a', method: 'POST', body: 'crash'};
const FINGERPRINT = fingerprintOf({
  method: 'POST',
  path: '/read/a',
  workspace: 'nord',
  body: Buffer.from('crash'),
});

let harness: GatewayHarness | undefined;

afterEach(() => {
  harness?.stop();
  harness = undefined;
});

const healthy: Script = (req, res, body) => {
  answer(req, res, 200, body);
};

/** Crashes with some requests and serves the others. */
const crashing: Script = (req, res, body) => {
  if (body !== 'crash') healthy(req, res, body);
  else harness?.crash(Number(req.socket.localPort));
};

function applySuspicion(crashes: number, quarantinedForMs: number): void {
  const request = Buffer.from(FINGERPRINT, 'hex');
  const suspects = [{request, crashes, quarantinedForMs}];
  harness?.quarantine.useUpdate({suspects}, clock.now());
}

function hasReportedAll(): boolean {
  harness?.quarantine.tick(clock.now());
  return harness?.crashed.size === harness?.arrivals.length;
}

describe('a request that crashes servers', () => {
  it('is answered at once with when to come back', async () => {
    harness = await GatewayHarness.start([healthy]);
    applySuspicion(3, HOUR_MS);
    const res = await harness.call(CALL);
    expect(res.status).toBe(503);
    expect(Number(res.headers['retry-after'])).toBeGreaterThan(3_600);
    expect(JSON.parse(res.body)).toMatchObject({error: {kind: 'quarantined'}});
    expect(harness.arrivals).toEqual([]);
    expect((await harness.call({...CALL, body: 'other'})).status).toBe(200);
  });

  // Guards against a second try that crashes one server more than callers asked for.
  it('gets no second try once a server crashed under it elsewhere', async () => {
    harness = await GatewayHarness.start([crashing, crashing, crashing]);
    applySuspicion(2, 0);
    expect((await harness.call(CALL)).status).toBe(502);
    expect(harness.arrivals).toHaveLength(1);
  });

  it('crashes three servers of a router that is cut off', async () => {
    harness = await GatewayHarness.start(Array<Script>(6).fill(crashing));
    let res = await harness.call(CALL);
    for (let turn = 0; turn < 5; turn += 1) {
      await expect.poll(hasReportedAll).toBe(true);
      await wait(COMMON_CAUSE_MS);
      res = await harness.call(CALL);
    }
    expect(harness.arrivals).toHaveLength(3);
    expect(res.status).toBe(503);
    expect((await harness.call({...CALL, body: 'other'})).status).toBe(200);
  });

  // Guards against copies that wait at servers and crash them after the verdict.
  it('is taken back where it is under way', async () => {
    let closed = false;
    const slow: Script = req => {
      req.socket.once('close', () => {
        closed = true;
      });
    };
    harness = await GatewayHarness.start([slow]);
    const called = harness.call(CALL);
    await expect.poll(() => harness?.arrivals.length).toBe(1);
    applySuspicion(3, HOUR_MS);
    expect((await called).status).toBe(502);
    await expect.poll(() => closed).toBe(true);
  });

  it('is cut where its answer has begun', async () => {
    harness = await GatewayHarness.start([
      (req, res) => {
        beginStream(req, res);
        res.write('id: 1\ndata: x\n\n');
      },
    ]);
    let hasBegun = false;
    const onHead = (): void => {
      hasBegun = true;
    };
    const called = harness.call({...CALL, onHead});
    await expect.poll(() => hasBegun).toBe(true);
    applySuspicion(3, HOUR_MS);
    expect((await called).whole).toBe(false);
  });

  it('runs again after a whole answer', async () => {
    harness = await GatewayHarness.start([healthy]);
    applySuspicion(2, 0);
    expect((await harness.call(CALL)).status).toBe(200);
    expect(harness.quarantine.isSuspect(FINGERPRINT, clock.now())).toBe(false);
  });
});
