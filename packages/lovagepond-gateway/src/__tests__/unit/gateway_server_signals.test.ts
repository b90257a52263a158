import {afterEach, describe, expect, it} from 'vitest';
import {
  answer,
  beginStream,
  type CallerResponse,
  GatewayHarness,
  NAMES,
  type Script,
} from './gateway_harness.js';

const PAUSE_S = 60;

const KINDS = ['read', 'write', 'talk', 'chat'];

const CALLS_PER_KIND = 3;

let harness: GatewayHarness | undefined;

afterEach(() => {
  harness?.stop();
});

const healthy: Script = (req, res) => {
  if (req.url?.startsWith('/read/') || req.url?.startsWith('/write/')) {
    answer(req, res, 200, 'whole');
    return;
  }
  beginStream(req, res);
  res.end('id: 1\ndata: whole\n\n');
};

const pausing: Script = (req, res) => {
  res.setHeader('Retry-After', String(PAUSE_S));
  res.setHeader(NAMES.notRun, '1');
  answer(req, res, 503, '');
};

/** Runs the request, and says that the server is about to exit. */
const leaving: Script = (req, res, body) => {
  res.setHeader(NAMES.leaving, '1');
  healthy(req, res, body);
};

async function callEachKind(): Promise<CallerResponse[]> {
  const responses: CallerResponse[] = [];
  for (const kind of KINDS) {
    for (let nth = 0; nth < CALLS_PER_KIND; nth += 1) {
      const res = await harness?.call({path: `/${kind}/a`, method: 'POST'});
      if (res) responses.push(res);
    }
  }
  return responses;
}

function arrivalsAt(server: string): number {
  return harness?.arrivals.filter(name => name === server).length ?? 0;
}

describe('a server that asks for a pause', () => {
  // Guards against a server that sheds load, looks idle, and so gets more.
  it('gets no further request before its end', async () => {
    harness = await GatewayHarness.start([pausing, healthy]);
    const responses = await callEachKind();
    expect(responses.map(({status}) => status)).toEqual(
      responses.map(() => 200),
    );
    expect(arrivalsAt('server-0')).toBe(1);
  });

  // Guards against callers who wait for, or come back to, a pool that is shut.
  it('leaves callers told when to come back if no other is left', async () => {
    harness = await GatewayHarness.start([pausing, pausing]);
    await harness.call({path: '/read/a'});
    const res = await harness.call({path: '/read/a'});
    expect(res.status).toBe(503);
    expect(Number(res.headers['retry-after'])).toBeGreaterThan(PAUSE_S - 10);
    expect(harness.arrivals).toHaveLength(2);
  });
});

describe('a server that says it is leaving', () => {
  // Guards against work for a server whose report of its drain got lost.
  it('gets no further request', async () => {
    harness = await GatewayHarness.start([leaving, healthy]);
    const responses = await callEachKind();
    expect(responses.map(({status}) => status)).toEqual(
      responses.map(() => 200),
    );
    expect(arrivalsAt('server-0')).toBe(1);
  });
});
