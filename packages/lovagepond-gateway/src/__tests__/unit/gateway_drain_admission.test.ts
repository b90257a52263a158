import {Agent, request} from 'node:http';
import {afterEach, describe, expect, it} from 'vitest';
import {GatewayDrainAdmission} from '../../gateway_drain_admission.js';
import {
  answer,
  beginStream,
  clock,
  GatewayHarness,
  KEY,
  NAMES,
  type Script,
} from './gateway_harness.js';

/** A deadline that allows a long wait in the startup queue. */
const LONG_DEADLINE = {[NAMES.deadlineMs]: '12000'};

/** Enough responses for a bound of their durations. */
const READS_BEFORE = 40;

let harness: GatewayHarness | undefined;
const agent = new Agent({keepAlive: true, maxSockets: 1});

afterEach(() => {
  harness?.stop();
  harness = undefined;
});

/** Sends a request on the single keep-alive connection. */
function callKeepAlive(path: string): Promise<{status: number; body: string}> {
  return new Promise((resolve, reject) => {
    const req = request(
      {
        host: '127.0.0.1',
        port: harness!.server.port,
        path,
        agent,
        headers: {
          host: 'shop.example',
          [NAMES.requestId]: `kept-${path}`,
          [NAMES.apiKey]: KEY,
        },
      },
      res => {
        let body = '';
        res.on('data', (chunk: Buffer) => (body += chunk.toString()));
        res.on('end', () => {
          resolve({status: res.statusCode ?? 0, body});
        });
        res.on('error', reject);
      },
    );
    req.on('error', reject);
    req.end();
  });
}

type DrainedRequest = Parameters<GatewayDrainAdmission['admits']>[0];

/** A request to a pool of its own, without known output tokens. */
function requestFor(pool: string, deadlineAt: number): DrainedRequest {
  const rule = {forwarding: {streaming: false}};
  return {rule, pool: {name: pool}, facts: {}, deadlineAt} as DrainedRequest;
}

function admits(
  admission: GatewayDrainAdmission,
  pool: string,
  limitMs: number,
  afterMs: number,
): boolean {
  const now = START + afterMs;
  return admission.admits(requestFor(pool, now + limitMs), now);
}

/** When draining begins, monotonic milliseconds. */
const START = 100_000;

/** Notes responses that end one after the other until draining begins. */
function noteDurations(
  admission: GatewayDrainAdmission,
  pool: string,
  durationMs: number,
): void {
  for (let at = START - 20_000; at <= START; at += 200) {
    const times = {firstMs: 1, totalMs: durationMs, events: undefined};
    admission.noteAnswered(requestFor(pool, 0), times, at);
  }
}

describe('GatewayDrainAdmission', () => {
  it('admits everything before draining begins', () => {
    const admission = new GatewayDrainAdmission();
    noteDurations(admission, 'talk', 60_000);
    expect(admits(admission, 'talk', 60_000, 0)).toBe(true);
  });

  it('admits requests whose observed durations end in time', () => {
    const admission = new GatewayDrainAdmission();
    noteDurations(admission, 'read', 50);
    noteDurations(admission, 'talk', 2_000);
    admission.begin(START + 8_000);
    expect(admits(admission, 'read', 12_000, 7_500)).toBe(true);
    expect(admits(admission, 'talk', 12_000, 3_000)).toBe(true);
    expect(admits(admission, 'talk', 12_000, 5_500)).toBe(false);
  });

  it('admits unknown requests if their deadline is in time', () => {
    const admission = new GatewayDrainAdmission();
    admission.begin(START + 8_000);
    expect(admits(admission, 'talk', 12_000, 0)).toBe(false);
    expect(admits(admission, 'talk', 3_000, 0)).toBe(true);
  });

  // Guards against a bound from the few first responses of a new process.
  it('takes few responses for no bound', () => {
    const admission = new GatewayDrainAdmission();
    const times = {firstMs: 1, totalMs: 20, events: undefined};
    admission.noteAnswered(requestFor('talk', 0), times, START);
    admission.begin(START + 8_000);
    expect(admits(admission, 'talk', 12_000, 0)).toBe(false);
  });
});

describe('a draining gateway', () => {
  // A response that began before draining did not announce that its connection
  // closes. The connection must be closed after it: otherwise the caller sends
  // the next request on it, and that stream is lost when the process exits.
  it('closes a keep-alive connection once its response has ended', async () => {
    let end: () => void = () => undefined;
    const slow: Script = (req, res) => {
      beginStream(req, res);
      res.write('id: 1\ndata: a\n\n');
      end = () => res.end('id: 2\ndata: b\n\n');
    };
    harness = await GatewayHarness.start([slow]);
    const answered = callKeepAlive('/talk/a');
    while (harness.arrivals.length === 0) await pause(5);
    await pause(50);
    harness.server.beginDraining(clock.now() + 60_000);
    const [socket] = Object.values(agent.sockets).flat();
    const closed = new Promise<boolean>(resolve => {
      socket!.once('close', () => {
        resolve(true);
      });
    });
    // Half the listener's idle timeout, which also closes connections.
    const kept = pause(8_000).then(() => false);
    end();
    expect((await answered).body).toContain('data: b');
    expect(await Promise.race([closed, kept])).toBe(true);
  });

  // The gateway can't reach control, so a request waits for the configuration
  // to be confirmed. When the gateway is stopped, the request must be rejected
  // as not run. Guards against closing its connection without a response.
  it('rejects requests that wait for the configuration', async () => {
    const good: Script = (req, res) => {
      answer(req, res, 200, 'yes');
    };
    harness = await GatewayHarness.start([good], {revocationBoundMs: 1});
    await pause(20);
    const waiting = harness.call({path: '/read/a', headers: LONG_DEADLINE});
    await pause(50);
    harness.server.beginDraining(clock.now() + 60_000);
    await harness.server.finish();
    harness.server.stop();
    expect((await waiting).status).toBe(503);
    expect(harness.arrivals).toEqual([]);
  });

  // A stream arrives that takes longer than the time until the process exits.
  // If it were admitted, it would be cut off. It must be rejected as not run,
  // while a short request is still served.
  it('rejects a request that would be cut off as not run', async () => {
    const good: Script = (req, res) => {
      answer(req, res, 200, 'yes');
    };
    harness = await GatewayHarness.start([good]);
    for (let nth = 0; nth < READS_BEFORE; nth += 1) {
      expect((await harness.call({path: '/read/a'})).status).toBe(200);
    }
    // Responses show a bound only after some time of observation.
    await pause(300);
    harness.server.beginDraining(clock.now() + 900);
    const refused = await harness.call({path: '/talk/a'});
    expect(refused.status).toBe(503);
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
    expect(refused.headers['connection']).toBe('close');
    expect((await harness.call({path: '/read/a'})).status).toBe(200);
    expect(harness.arrivals).toHaveLength(READS_BEFORE + 1);
  });
});

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
