import {afterEach, expect, it} from 'vitest';
import {
  beginStream,
  CONTENT,
  GatewayHarness,
  NAMES,
  type Script,
} from './gateway_harness.js';

const CALL = {path: '/chat/a'};
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

let harness: GatewayHarness | undefined;

afterEach(() => {
  harness?.stop();
  harness = undefined;
});

/** Breaks its stream off after the second event. */
const breaking: Script = (req, res) => {
  beginStream(req, res);
  res.write(EVENTS, () => req.socket.resetAndDestroy());
};

function answering(
  status: number,
  body: string,
  headers: Readonly<Record<string, string>> = {},
): Script {
  return (req, res) => {
    res.writeHead(status, {
      [NAMES.requestId]: req.headers[NAMES.requestId] ?? '',
      [NAMES.signature]: 'signed',
      ...headers,
    });
    res.end(body);
  };
}

const EVENT_TYPE = {'Content-Type': 'text/event-stream'};

const OTHER_ANSWERS: Readonly<Record<string, Script>> = {
  'empty refusal': answering(429, ''),
  'refusal with a body': answering(400, '{"error":"no"}'),
  'refusal with events': answering(409, 'id: 3\ndata: c\n\n', EVENT_TYPE),
  redirect: answering(302, ''),
  'another success': answering(202, '', EVENT_TYPE),
  'success without content': answering(204, ''),
  'success of another type': answering(200, '', {'Content-Type': 'a/b'}),
};

// Guards against a stream that ends as complete in the middle, as the server that
// was to continue it answers with something else.
it('a stream that is resumed with another answer does not end as complete', async () => {
  const seen: Record<string, unknown> = {};
  const expected: Record<string, unknown> = {};
  for (const [what, script] of Object.entries(OTHER_ANSWERS)) {
    harness = await GatewayHarness.start([breaking, script]);
    const {status, body, whole} = await harness.call(CALL);
    const {arrivals} = harness;
    seen[what] = {status, body, whole, arrivals};
    const servers = ['server-0', 'server-1'];
    expected[what] = {
      status: 200,
      body: EVENTS,
      whole: false,
      arrivals: servers,
    };
    harness.stop();
  }
  expect(seen).toEqual(expected);
});

// Guards against a refusal that is read as events: its head is passed on, and its
// body, which is no whole event, is cut.
it.each([
  [301, 'text/html'],
  [400, 'application/json'],
  [404, 'application/json; charset=utf-8'],
  [409, 'text/event-stream'],
  [429, 'text/plain'],
  [200, 'application/json'],
])(
  'a first answer %i with %s on a route of streams is passed on whole',
  async (status, type) => {
    const body = '{"error":\n\n"no"}';
    const script = answering(status, body, {'Content-Type': type});
    harness = await GatewayHarness.start([script]);
    const res = await harness.call(CALL);
    expect(res).toMatchObject({status, body, whole: true});
    expect(res.headers['content-type']).toBe(type);
  },
);

// Guards against a stream that is cut although another server could go on.
it('a stream goes on at a third server when the second one refuses', async () => {
  const rest: Script = (req, res) => {
    beginStream(req, res);
    res.end('id: 3\ndata: c\n\n');
  };
  const requestKinds = CONTENT.requestKinds.map(kind => ({
    ...kind,
    ...(kind.forwarding && {forwarding: {...kind.forwarding, maxAttempts: 3}}),
  }));
  const content = {...CONTENT, requestKinds};
  const turns = [breaking, answering(429, ''), rest];
  const next: Script = (req, res, body) => turns.shift()?.(req, res, body);
  harness = await GatewayHarness.start([next, next, next], {content});
  const res = await harness.call(CALL);
  const body = `${EVENTS}id: 3\ndata: c\n\n`;
  expect(res).toMatchObject({status: 200, body, whole: true});
  expect(new Set(harness.arrivals).size).toBe(3);
});
