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

/** Lets a request wait for long. */
const LONG_DEADLINE = {[NAMES.deadlineMs]: '12000'};

let harness: GatewayHarness | undefined;
const agent = new Agent({keepAlive: true, maxSockets: 1});

afterEach(() => {
  harness?.stop();
  harness = undefined;
});

/** Sends a request on the one kept connection. */
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

describe('what a stopping gateway takes', () => {
  it('takes everything until it is told to stop', () => {
    const departure = new GatewayDrainAdmission();
    departure.noteDuration('talk', 60_000);
    expect(departure.admits('talk', 60_000, 0)).toBe(true);
  });

  it('takes what ends in time by what was observed', () => {
    const departure = new GatewayDrainAdmission();
    for (let at = 0; at < 100; at += 1) departure.noteDuration('read', 50);
    for (let at = 0; at < 100; at += 1) departure.noteDuration('talk', 2_000);
    departure.begin(8_000);
    expect(departure.admits('read', 12_000, 7_500)).toBe(true);
    expect(departure.admits('talk', 12_000, 4_000)).toBe(true);
    expect(departure.admits('talk', 12_000, 5_500)).toBe(false);
  });

  it('takes what nothing is known of when its caller leaves in time', () => {
    const departure = new GatewayDrainAdmission();
    departure.begin(8_000);
    expect(departure.admits('talk', 12_000, 0)).toBe(false);
    expect(departure.admits('talk', 3_000, 0)).toBe(true);
  });
});

describe('a stopping gateway', () => {
  // An answer begins before the stop, so it doesn't say that its connection
  // ends. Once it is over the connection must be closed: its caller would send
  // the next request on it, and lose the stream when the process ends.
  it('closes a kept connection once its answer is over', async () => {
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
    // The front's own limit for idle connections is twice as long.
    const kept = pause(8_000).then(() => false);
    end();
    expect((await answered).body).toContain('data: b');
    expect(await Promise.race([closed, kept])).toBe(true);
  });

  // The gateway has lost control, so a request waits for the configuration to be
  // confirmed. Then the gateway is stopped. The request must be answered as not
  // run: its connection once ended with the process, without a word.
  it('answers what waits for its configuration', async () => {
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

  // Two seconds before the end of the process a stream arrives that takes
  // longer. Taken, it would be cut in the middle. It is refused as not run,
  // while a short call is still served.
  it('refuses as not run what would be cut', async () => {
    const good: Script = (req, res) => {
      answer(req, res, 200, 'yes');
    };
    harness = await GatewayHarness.start([good]);
    expect((await harness.call({path: '/read/a'})).status).toBe(200);
    harness.server.beginDraining(clock.now() + 900);
    const refused = await harness.call({path: '/talk/a'});
    expect(refused.status).toBe(503);
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
    expect(refused.headers['connection']).toBe('close');
    expect((await harness.call({path: '/read/a'})).status).toBe(200);
    expect(harness.arrivals).toHaveLength(2);
  });
});

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
