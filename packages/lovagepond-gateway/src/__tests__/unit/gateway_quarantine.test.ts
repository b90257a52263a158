import {setTimeout as wait} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {
  answer,
  beginStream,
  type Call,
  clock,
  GatewayHarness,
  NAMES,
  type Script,
} from './gateway_harness.js';
import {fingerprintOf} from '@lovagepond/router/quarantine';

const HOUR_MS = 3_600_000;

/** Longer than the window in which several crashes count as one. */
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

/** Crashes on the body `crash` and serves other requests. */
const crashing: Script = (req, res, body) => {
  if (body !== 'crash') healthy(req, res, body);
  else harness?.crash(Number(req.socket.localPort));
};

/** A request with a body of its own. */
function promptCall(number: number, ...parts: string[]): Call {
  const all = [...parts, `last-${number}`].map(id => `${id}:100`);
  const headers = {[NAMES.promptParts]: all.join(',')};
  return {path: '/read/a', method: 'POST', body: `${number}`, headers};
}

/** Crashes on prompts with the part `bad` and serves other requests. */
const crashingOnPart: Script = (req, res, body) => {
  const parts = String(req.headers[NAMES.promptParts]);
  if (!parts.includes('bad:')) healthy(req, res, body);
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
  it('is rejected immediately with Retry-After', async () => {
    harness = await GatewayHarness.start([healthy]);
    applySuspicion(3, HOUR_MS);
    const res = await harness.call(CALL);
    expect(res.status).toBe(503);
    expect(Number(res.headers['retry-after'])).toBeGreaterThan(3_600);
    expect(JSON.parse(res.body)).toMatchObject({error: {kind: 'quarantined'}});
    expect(harness.arrivals).toEqual([]);
    expect((await harness.call({...CALL, body: 'other'})).status).toBe(200);
  });

  // Guards against a retry that crashes one more server than callers' own
  // requests do.
  it('is not retried once it is suspected of crashes elsewhere', async () => {
    harness = await GatewayHarness.start([crashing, crashing, crashing]);
    applySuspicion(2, 0);
    expect((await harness.call(CALL)).status).toBe(502);
    expect(harness.arrivals).toHaveLength(1);
  });

  it('crashes three servers of a partitioned gateway', async () => {
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

  // Guards against copies that are queued at servers and crash them after the
  // request was quarantined.
  it('is aborted while in flight', async () => {
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

  it('is cut off if its response has begun', async () => {
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

  it('is no longer suspected after a complete response', async () => {
    harness = await GatewayHarness.start([healthy]);
    applySuspicion(2, 0);
    expect((await harness.call(CALL)).status).toBe(200);
    expect(harness.quarantine.isSuspect([FINGERPRINT], clock.now())).toBe(
      false,
    );
  });

  // Guards against a request that is never quarantined, as servers that fail
  // everything answer it between its crashes.
  it('stays suspected after an error response', async () => {
    harness = await GatewayHarness.start([
      (req, res) => {
        answer(req, res, 500, 'failed');
      },
    ]);
    applySuspicion(2, 0);
    expect((await harness.call(CALL)).status).toBe(500);
    expect(harness.quarantine.isSuspect([FINGERPRINT], clock.now())).toBe(true);
  });
});

describe('a part of prompts that crashes servers', () => {
  // Guards against a gateway without control that crashes all of its servers
  // with requests that all differ.
  it('crashes three servers of a partitioned gateway', async () => {
    harness = await GatewayHarness.start(Array<Script>(6).fill(crashingOnPart));
    expect((await harness.call(promptCall(0, 'a', 'b'))).status).toBe(200);
    let res = await harness.call(promptCall(1, 'a', 'bad'));
    for (let turn = 2; turn < 7; turn += 1) {
      await expect.poll(() => harness?.crashed.size).toBeGreaterThan(0);
      harness.quarantine.tick(clock.now());
      await wait(COMMON_CAUSE_MS);
      res = await harness.call(promptCall(turn, 'a', 'bad'));
    }
    expect(harness.crashed.size).toBe(3);
    expect(res.status).toBe(503);
    expect((await harness.call(promptCall(8, 'a', 'b'))).status).toBe(200);
  });

  // Guards against a guilty part that is cleared by a server that rejects the
  // request before it begins with the prompt.
  it('stays suspected after a request with it was rejected', async () => {
    harness = await GatewayHarness.start([
      (req, res) => {
        answer(req, res, 404, 'unknown model');
      },
    ]);
    const parts = [{id: 'bad', crashes: 2, quarantinedForMs: 0}];
    harness.quarantine.useUpdate({parts}, clock.now());
    expect((await harness.call(promptCall(1, 'bad'))).status).toBe(404);
    const isSuspect = harness.quarantine.isSuspect(['part:bad'], clock.now());
    expect(isSuspect).toBe(true);
  });

  it('is no longer suspected after a complete response', async () => {
    harness = await GatewayHarness.start([healthy]);
    const parts = [{id: 'sound', crashes: 2, quarantinedForMs: 0}];
    harness.quarantine.useUpdate({parts}, clock.now());
    expect((await harness.call(promptCall(1, 'sound'))).status).toBe(200);
    const isSuspect = harness.quarantine.isSuspect(['part:sound'], clock.now());
    expect(isSuspect).toBe(false);
  });

  it('takes back the requests with it that are in flight', async () => {
    harness = await GatewayHarness.start([() => {}]);
    const called = harness.call(promptCall(1, 'a', 'bad'));
    await expect.poll(() => harness?.arrivals.length).toBe(1);
    const parts = [{id: 'bad', crashes: 3, quarantinedForMs: HOUR_MS}];
    harness.quarantine.useUpdate({parts}, clock.now());
    expect((await called).status).toBe(502);
  });
});
