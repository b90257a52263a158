import {type Logger} from '@lovagepond/core';
import {afterEach, describe, expect, it} from 'vitest';
import {
  Attempt,
  type AttemptFailure,
  type AttemptListener,
} from '../../gateway_attempt.js';
import {type GatewayConnections} from '../../gateway_connections.js';
import {REACHABILITY} from '../../gateway_crash_detector.js';
import {GatewayFleet} from '../../gateway_fleet.js';
import {probeServer} from '../../gateway_server_probe.js';
import {ServerState} from '../../gateway_server_state.js';
import {makeBackendServer} from './backend_servers.js';
import {
  answer,
  beginStream,
  GatewayHarness,
  NAMES,
  type Script,
  silentLog,
} from './gateway_harness.js';

const INVALID_ADDRESSES = ['127.0.0.1:70000', '999.1.1.1:80', '', 'x'];

let harness: GatewayHarness | undefined;

afterEach(() => {
  harness?.stop();
  harness = undefined;
});

const answers: Script = (req, res) => {
  answer(req, res, 200, 'yes');
};

// Guards against an entry of control's log that ends every gateway.
describe('a listed server that can not be forwarded to', () => {
  it.each([
    ...INVALID_ADDRESSES.map(address => ({address})),
    {incarnation: 'a\r\nb'},
    {incarnation: 'ü'},
  ])('with %j gets no request, and others serve', async fault => {
    harness = await GatewayHarness.start([answers, answers], {
      listed: index => (index === 0 ? fault : {}),
    });
    for (let nth = 0; nth < 5; nth += 1) {
      const res = await harness.call({path: '/write/a', method: 'POST'});
      expect(res).toMatchObject({status: 200, body: 'yes'});
    }
    expect(harness.arrivals).toEqual(Array(5).fill('server-1'));
    const [field] = Object.keys(fault);
    expect(harness.gatewayFleet.rejected).toEqual([
      {name: 'server-0', fault: field},
    ]);
  });

  it('is used once its address is valid', () => {
    const fleet = new GatewayFleet();
    const list = (address: string): void => {
      const server = makeBackendServer('s', {address});
      fleet.useMembership({version: 1, servers: new Map([['s', server]])});
    };
    list('127.0.0.1:70000');
    expect(fleet.ready('p', 0)).toEqual([]);
    list('127.0.0.1:7000');
    expect(fleet.ready('p', 0)).toHaveLength(1);
    expect(fleet.rejected).toEqual([]);
  });

  it.each(INVALID_ADDRESSES)('at %j is silent to a probe', async address => {
    expect(await probeServer(address, 100)).toBe(REACHABILITY.SILENT);
  });
});

// Guards against an exception of the client library that ends the process.
it('an attempt whose connection can not be opened fails as unsent', () => {
  const failures: AttemptFailure[] = [];
  const listener = {
    onFailed: (failure: AttemptFailure) => failures.push(failure),
  } as unknown as AttemptListener;
  const connections = {
    acquire: () => {
      throw new TypeError('Invalid URL');
    },
  } as unknown as GatewayConnections;
  const state = new ServerState(makeBackendServer('s'));
  const attempt = new Attempt(state, NAMES, 'r-1', listener);
  const body = Buffer.alloc(0);
  attempt.start({method: 'GET', path: '/', headers: [], body}, connections);
  expect(failures).toEqual([
    {kind: 'unsent', reason: 'Invalid URL', isRefused: false},
  ]);
});

/** Throws at each line with the message, in the handlers of requests. */
function throwingLog(message: string): Logger {
  const write = (line: unknown): void => {
    if (line === message) throw new Error('unexpected');
  };
  return {...silentLog, info: write, warn: write};
}

// Guards against one request's exception that ends all requests.
describe('an exception in the handlers of a request', () => {
  const slow: Script = (req, res) => {
    setTimeout(() => {
      answer(req, res, 200, 'slow');
    }, 60);
  };
  const resets: Script = req => {
    req.socket.resetAndDestroy();
  };
  const breaks: Script = (req, res) => {
    beginStream(req, res);
    res.write('id: 1\ndata: x\n\n', () => {
      req.socket.resetAndDestroy();
    });
  };
  const byPath: Script = (req, res, body) => {
    if (req.url?.startsWith('/read/')) slow(req, res, body);
    else if (req.url?.startsWith('/talk/')) breaks(req, res, body);
    else resets(req, res, body);
  };

  it('ends this request only', async () => {
    harness = await GatewayHarness.start([byPath], {
      log: throwingLog('attempt failed'),
    });
    const [read, write, talk] = await Promise.all([
      harness.call({path: '/read/a'}),
      harness.call({path: '/write/a', method: 'POST'}),
      harness.call({path: '/talk/a'}),
    ]);
    expect(read).toMatchObject({status: 200, body: 'slow'});
    // It was sent, so the answer promises nothing.
    expect(write.status).toBe(502);
    expect(talk).toMatchObject({status: 200, whole: false});
    expect(harness.counters.read().exceptions).toBe(2);
    expect(harness.server.inFlight).toBe(0);
  });

  it('while it is refused or resumed, closes its connection only', async () => {
    harness = await GatewayHarness.start([slow], {
      log: throwingLog('stream looked up'),
    });
    const headers = {[NAMES.resumes]: 'first', 'last-event-id': '2'};
    const [read, chat] = await Promise.allSettled([
      harness.call({path: '/read/a'}),
      harness.call({path: '/chat/a', method: 'POST', headers}),
    ]);
    expect(read).toMatchObject({value: {status: 200, body: 'slow'}});
    expect(chat.status).toBe('rejected');
    expect(harness.counters.read().exceptions).toBe(1);
  });
});
