import * as fc from 'fast-check';
import {afterEach, describe, expect, it} from 'vitest';
import {Attempt, type AttemptFailure} from '../../gateway_attempt.js';
import {GatewayConnections} from '../../gateway_connections.js';
import {GatewayFleet} from '../../gateway_fleet.js';
import {type ServerSignals} from '../../gateway_headers.js';
import {GatewayLeavingServers} from '../../gateway_leaving_servers.js';
import {ServerState} from '../../gateway_server_state.js';
import {makeBackendServer} from './backend_servers.js';
import {
  answer,
  beginStream,
  type CallerResponse,
  clock,
  GatewayHarness,
  NAMES,
  refuse,
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

  // Guards against callers that return while no server of the pool accepts them.
  it('has callers return after its pause if no other server is left', async () => {
    harness = await GatewayHarness.start([pausing, pausing]);
    await harness.call({path: '/read/a'});
    const res = await harness.call({path: '/read/a'});
    expect(res.status).toBe(503);
    expect(Number(res.headers['retry-after'])).toBeGreaterThan(PAUSE_S - 10);
    expect(harness.arrivals).toHaveLength(2);
  });
});

type Step =
  | {readonly kind: 'pause'; readonly server: string; readonly pauseMs: number}
  | {readonly kind: 'leave'; readonly server: string}
  | {readonly kind: 'list'; readonly servers: readonly string[]}
  | {readonly kind: 'tick'};

const NAMED = ['x', 'y', 'z'];

function listOf(fleet: GatewayFleet, servers: readonly string[]): void {
  const list = servers.map(name => [name, makeBackendServer(name)] as const);
  fleet.useMembership({version: 1, servers: new Map(list)});
}

describe('GatewayFleet', () => {
  it('accepts requests for a server when its longest pause is over', () => {
    const fleet = new GatewayFleet();
    listOf(fleet, ['x']);
    const state = fleet.find('x')!;
    const signals = {isLeaving: false, pauseMs: 3_000};
    expect(fleet.noteSignals(state, signals, 0)).toBe(true);
    expect(fleet.noteSignals(state, {...signals, pauseMs: 10}, 5)).toBe(false);
    expect(fleet.accepts(state, 2_999)).toBe(false);
    expect(fleet.pauseLeftMs([state], 2_000)).toBe(1_000);
    expect(fleet.accepts(state, 3_000)).toBe(true);
    expect(fleet.pauseLeftMs([state], 3_000)).toBe(0);
  });

  // Guards against a pause or an exit that is forgotten when control drops a
  // server for a moment and lists it again.
  it('never has a ready server that pauses or is leaving', () => {
    const named = fc.constantFrom(...NAMED);
    const step: fc.Arbitrary<Step> = fc.oneof(
      fc.record({
        kind: fc.constant('pause' as const),
        server: named,
        pauseMs: fc.integer({min: 1, max: 5_000}),
      }),
      fc.record({kind: fc.constant('leave' as const), server: named}),
      fc.record({
        kind: fc.constant('list' as const),
        servers: fc.uniqueArray(named),
      }),
      fc.record({kind: fc.constant('tick' as const)}),
    );
    const timed = fc.record({afterMs: fc.nat(1_000), step});
    fc.assert(
      fc.property(fc.array(timed, {maxLength: 60}), steps => {
        const fleet = new GatewayFleet();
        const pausedUntil = new Map<string, number>();
        const note = (server: string, signals: ServerSignals): void => {
          const state = new ServerState(makeBackendServer(server));
          fleet.noteSignals(state, signals, now);
        };
        let now = 0;
        for (const {afterMs, step} of steps) {
          now += afterMs;
          if (step.kind === 'list') listOf(fleet, step.servers);
          else if (step.kind === 'tick') fleet.expire(now);
          else if (step.kind === 'leave') {
            note(step.server, {isLeaving: true, pauseMs: 0});
            pausedUntil.set(step.server, Infinity);
          } else {
            const {server, pauseMs} = step;
            note(server, {isLeaving: false, pauseMs});
            const before = pausedUntil.get(server) ?? 0;
            pausedUntil.set(server, Math.max(before, now + pauseMs));
          }
          const ready = fleet.ready('p', now).map(({server}) => server.name);
          const paused = ready.filter(
            name => now < (pausedUntil.get(name) ?? 0),
          );
          expect(paused).toEqual([]);
        }
      }),
    );
  });
});

describe('GatewayLeavingServers', () => {
  it('keeps a listed server, and an unlisted one for a limited time', () => {
    const leaving = new GatewayLeavingServers();
    expect(leaving.note('x', 0)).toBe(true);
    expect(leaving.note('x', 1)).toBe(false);
    leaving.expire(() => true, 10_000_000);
    expect(leaving.has('x')).toBe(true);
    leaving.expire(() => false, 500_000);
    expect(leaving.has('x')).toBe(true);
    leaving.expire(() => false, 10_000_000);
    expect(leaving.has('x')).toBe(false);
  });
});

describe('a server that is full', () => {
  // Guards against a server that refuses at once, has nothing of the gateway in
  // flight, and so looks idle.
  it('is known to be loaded by its refusal', async () => {
    const full: Script = (req, res) => {
      res.setHeader(NAMES.notRun, '1');
      res.setHeader(NAMES.serverLoad, '4,40,4');
      answer(req, res, 503, '');
    };
    harness = await GatewayHarness.start([full, healthy]);
    for (let nth = 0; nth < CALLS_PER_KIND; nth += 1) {
      expect((await harness.call({path: '/read/a'})).status).toBe(200);
    }
    expect(arrivalsAt('server-0')).toBe(1);
    const state = harness.gatewayFleet.find('server-0');
    expect(state?.load(clock.now())).toBeGreaterThan(0);
  });
});

describe('a server that refuses without asking for a pause', () => {
  // Guards against a retry budget that is spent on a server that refuses all
  // requests at once, while others have room.
  it('is avoided for a growing time', async () => {
    harness = await GatewayHarness.start([refuse, healthy]);
    const responses = await callEachKind();
    expect(responses.map(({status}) => status)).toEqual(
      responses.map(() => 200),
    );
    // Each refusal doubles the backoff, so that further ones take seconds.
    expect(arrivalsAt('server-0')).toBeLessThanOrEqual(responses.length / 2);
  });
});

describe('an attempt', () => {
  // Guards against requests that wait for a slow connection and reach the
  // server after it has asked for a pause.
  it('is withheld if the server pauses while the connection opens', async () => {
    harness = await GatewayHarness.start([healthy]);
    const address = harness.addressOf('server-0');
    const state = new ServerState(makeBackendServer('server-0', {address}));
    const connections = new GatewayConnections({
      connectTimeoutMs: 300,
      maxConnections: 100,
    });
    let isPaused = false;
    const failure = await new Promise<AttemptFailure>(resolve => {
      const attempt = new Attempt(state, NAMES, 'request-1', {
        isEndComplete: () => Promise.resolve(true),
        maySend: () => !isPaused,
        onServerSignals: () => {},
        onHead: () => {},
        onData: () => true,
        onEnd: () => {},
        onFailed: resolve,
      });
      const req = {method: 'GET', path: '/read/a', headers: []};
      attempt.start({...req, body: Buffer.alloc(0)}, connections);
      isPaused = true;
    });
    expect(failure.kind).toBe('withheld');
    expect((await harness.call({path: '/read/a'})).status).toBe(200);
    expect(harness.arrivals).toHaveLength(1);
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

  // Guards against signals that are lost as their response is no answer.
  it.each([
    ['an error', 500, {}],
    ['a refusal', 503, {[NAMES.notRun]: '1'}],
    ['a response without a signature', 200, {[NAMES.signature]: ''}],
    ['a response to another request', 200, {[NAMES.requestId]: 'other'}],
  ])('gets no further request after %s', async (_kind, status, headers) => {
    const failing: Script = (req, res) => {
      const echoed = {[NAMES.requestId]: req.headers[NAMES.requestId]};
      const all = {...echoed, [NAMES.leaving]: '1', ...headers};
      for (const [name, value] of Object.entries(all)) {
        if (value) res.setHeader(name, value);
      }
      res.writeHead(status);
      res.end();
    };
    harness = await GatewayHarness.start([failing, healthy]);
    await callEachKind();
    expect(arrivalsAt('server-0')).toBe(1);
  });

  it('does not count as leaving when another instance says so', async () => {
    const other: Script = (req, res) => {
      res.setHeader(NAMES.leaving, '1');
      answer(req, res, 421, '');
    };
    harness = await GatewayHarness.start([other]);
    await harness.call({path: '/read/a'});
    expect(harness.gatewayFleet.leaving).toBe(0);
  });
});
