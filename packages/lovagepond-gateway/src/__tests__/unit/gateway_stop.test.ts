import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {type LogFields, type Logger} from '@lovagepond/core';
import {
  answer,
  beginStream,
  clock,
  CONTENT,
  GatewayHarness,
  KEY,
  NAMES,
  refuse,
  type Script,
  silentLog,
} from './gateway_harness.js';

interface LogLine {
  readonly message: string;
  readonly fields: LogFields;
}

let harness: GatewayHarness | undefined;
const sockets: Socket[] = [];

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  harness?.stop();
  harness = undefined;
});

function collectLog(): {readonly lines: LogLine[]; readonly log: Logger} {
  const lines: LogLine[] = [];
  const collect = (message: string, fields: LogFields = {}): void => {
    lines.push({message, fields});
  };
  return {lines, log: {...silentLog, info: collect, warn: collect}};
}

function headOf(path: string, id: string, more = ''): string {
  return (
    `POST ${path} HTTP/1.1\r\nHost: shop.example\r\n` +
    `${NAMES.requestId}: ${id}\r\n${NAMES.apiKey}: ${KEY}\r\n${more}\r\n`
  );
}

/** Opens a connection and sends the text; nothing is read. */
function send(text: string): Socket {
  const socket = connect(harness!.server.port, '127.0.0.1');
  socket.on('error', () => undefined);
  sockets.push(socket);
  socket.pause();
  socket.write(text);
  return socket;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await pause(5);
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

describe('the log of a gateway', () => {
  // Guards against requests that a stopped process cuts without a trace.
  it('tells what each request waited for that its end cuts', async () => {
    const {lines, log} = collectLog();
    const script: Script = (req, res) => {
      if (req.url !== '/talk/begun') return;
      beginStream(req, res);
      res.write('id: 1\ndata: a\n\n');
    };
    harness = await GatewayHarness.start([script], {log});
    send(headOf('/read/body', 'body', 'Content-Length: 10\r\n'));
    send(headOf('/read/sent', 'sent'));
    const begun = send(headOf('/talk/begun', 'begun'));
    await once(begun.resume(), 'data');
    await until(() => harness!.arrivals.length === 2);
    harness.server.stop();
    const cut = lines.filter(
      ({message}) => message === 'request cut by the end of the process',
    );
    const phases = cut.map(({fields}) => [fields['request'], fields['phase']]);
    expect(phases.toSorted()).toEqual([
      ['begun', 'responding'],
      ['body', 'receiving'],
      ['sent', 'sent'],
    ]);
    expect(cut.map(({fields}) => fields['server']).toSorted()).toEqual([
      'server-0',
      'server-0',
      undefined,
    ]);
  });
});

const BODY_BYTES = 8_000_000;

/** Reads a part of what comes at each turn. */
async function readInParts(socket: Socket): Promise<number> {
  let bytes = 0;
  while (!socket.destroyed && !socket.readableEnded) {
    bytes += (socket.read() as Buffer | null)?.length ?? 0;
    await pause(1);
  }
  return bytes;
}

const TWO_PARTS = 'Content-Length: 4\r\n';

const goodScript: Script = (req, res) => {
  answer(req, res, 200, 'yes');
};

describe('a stopped gateway', () => {
  // Guards against a process that ends before its answers are delivered.
  it('delivers a large answer that began before the stop', async () => {
    const script: Script = (req, res) => {
      answer(req, res, 200, 'x'.repeat(BODY_BYTES));
    };
    harness = await GatewayHarness.start([script]);
    const received = readInParts(send(headOf('/read/large', 'large')));
    await until(() => harness!.arrivals.length === 1);
    harness.server.beginDraining(clock.now() + 60_000);
    await harness.server.finish();
    harness.server.stop();
    expect(await received).toBeGreaterThan(BODY_BYTES);
  });

  // Guards against a request that is passed on only to be cut by the exit, and
  // against a refusal that a reset overtakes.
  it('refuses a request at once whose body comes too late', async () => {
    harness = await GatewayHarness.start([goodScript]);
    const caller = send(headOf('/talk/late', 'late', TWO_PARTS) + 'ab');
    let received = '';
    caller.on('data', (part: Buffer) => (received += part.toString()));
    const closed = once(caller.resume(), 'close');
    await pause(50);
    harness.server.beginDraining(clock.now() + 900);
    await until(() => caller.bytesRead > 0);
    const finished = harness.server.finish();
    await pause(50);
    caller.write('cd');
    await finished;
    await closed;
    expect(received).toMatch(/^HTTP\/1.1 503 /);
    expect(received).toMatch(/Retry-After: /);
    expect(received).toMatch(/"error"/);
    expect(harness.arrivals).toEqual([]);
  });

  // Guards against a refused request that counts as cut, as its body never ends.
  it('counts no refused request as unfinished', async () => {
    const {lines, log} = collectLog();
    harness = await GatewayHarness.start([goodScript], {log});
    const caller = send(headOf('/talk/late', 'late', TWO_PARTS) + 'ab');
    await until(() => harness!.server.inFlight === 1);
    expect(harness.server.unfinished).toBe(1);
    harness.server.beginDraining(clock.now() + 900);
    const [text] = (await once(caller.resume(), 'data')) as [Buffer];
    expect(text.toString()).toMatch(/^HTTP\/1.1 503 /);
    expect(harness.server.unfinished).toBe(0);
    harness.server.stop();
    expect(lines.map(({message}) => message)).not.toContain(
      'request cut by the end of the process',
    );
  });

  // Guards against a second attempt that the exit cuts.
  it('sends no request to another server that can not end in time', async () => {
    let refuseFirst: () => void = () => undefined;
    const first: Script = (req, res) => {
      refuseFirst = () => {
        refuse(req, res);
      };
    };
    harness = await GatewayHarness.start([first, goodScript]);
    const called = harness.call({path: '/read/a'});
    await until(() => harness!.arrivals.length === 1);
    harness.server.beginDraining(clock.now() + 300);
    refuseFirst();
    expect((await called).status).toBe(503);
    expect(harness.arrivals).toEqual(['server-0']);
  });

  // Guards against a response that is dropped, as the one before it on the
  // connection has announced the close.
  it('answers all requests that a connection sent at once', async () => {
    const releases: (() => void)[] = [];
    const script: Script = (req, res) => {
      releases.push(() => {
        answer(req, res, 200, 'yes');
      });
    };
    harness = await GatewayHarness.start([script]);
    const texts = headOf('/read/a', 'first') + headOf('/write/b', 'second');
    const caller = send(texts);
    let received = '';
    caller.on('data', (part: Buffer) => (received += part.toString()));
    const closed = once(caller.resume(), 'close');
    await until(() => releases.length === 2);
    harness.server.beginDraining(clock.now() + 60_000);
    for (const release of releases) release();
    await closed;
    expect(received.match(/HTTP\/1.1 200 /g)).toHaveLength(2);
    expect(received.match(/connection: close/gi)).toHaveLength(1);
  });

  // Guards against a request that runs although it can't be answered.
  it('runs no request that follows the announcement of a close', async () => {
    let end: () => void = () => undefined;
    const script: Script = (req, res) => {
      beginStream(req, res);
      res.write('id: 1\ndata: a\n\n');
      end = () => res.end();
    };
    harness = await GatewayHarness.start([script]);
    harness.server.beginDraining(clock.now() + 60_000);
    const caller = send(headOf('/talk/a', 'first'));
    let received = '';
    caller.on('data', (part: Buffer) => (received += part.toString()));
    const closed = once(caller.resume(), 'close');
    await until(() => received.includes('data: a'));
    expect(received).toMatch(/connection: close/i);
    caller.write(headOf('/write/b', 'second'));
    await pause(50);
    end();
    await closed;
    expect(harness.arrivals).toHaveLength(1);
    expect(harness.server.inFlight).toBe(0);
  });

  // Guards against a request that meets the close of its connection, which no
  // response has announced.
  it('answers the request after a response that began before', async () => {
    let end: () => void = () => undefined;
    const script: Script = (req, res) => {
      if (req.url === '/read/b') {
        answer(req, res, 200, 'yes');
        return;
      }
      beginStream(req, res);
      res.write('id: 1\ndata: a\n\n');
      end = () => res.end();
    };
    harness = await GatewayHarness.start([script]);
    const caller = send(headOf('/talk/a', 'first'));
    let received = '';
    caller.on('data', (part: Buffer) => (received += part.toString()));
    const closed = once(caller.resume(), 'close');
    await until(() => received.includes('data: a'));
    harness.server.beginDraining(clock.now() + 60_000);
    end();
    await until(() => received.endsWith('0\r\n\r\n'));
    caller.write(headOf('/read/b', 'second'));
    await closed;
    expect(received.match(/HTTP\/1.1 200 /g)).toHaveLength(2);
    expect(received).toMatch(/connection: close/i);
  });

  // Guards against a stream that is cut although another server continues it.
  it('resumes a stream that has begun', async () => {
    let isFirst = true;
    let breakFirst: () => void = () => undefined;
    const script: Script = (req, res) => {
      beginStream(req, res);
      if (isFirst) res.write('id: 1\ndata: a\n\n');
      else res.end('id: 2\ndata: b\n\n');
      isFirst = false;
      breakFirst = () => res.destroy();
    };
    harness = await GatewayHarness.start([script, script]);
    const caller = send(headOf('/chat/a', 'begun'));
    let received = '';
    caller.on('data', (part: Buffer) => (received += part.toString()));
    const closed = once(caller.resume(), 'close');
    await until(() => received.includes('data: a'));
    harness.server.beginDraining(clock.now() + 800);
    breakFirst();
    await closed;
    expect(received).toContain('data: b');
    expect(received.endsWith('0\r\n\r\n')).toBe(true);
  });
});

describe('a gateway whose configuration changes', () => {
  const withoutKey = {
    ...CONTENT,
    workspaces: CONTENT.workspaces.map(one => ({
      ...one,
      apiKeys: ['another'],
    })),
  };

  async function removeKey(): Promise<void> {
    const revision = 2;
    harness!.admission.install({revision, content: withoutKey});
    const at = {now: clock.now(), wallTime: clock.wallTime()};
    await pause(5);
    harness!.admission.authority.confirm(revision, at, clock.now());
  }

  // Guards against a decision on the head that is acted upon seconds later.
  it('runs no request whose key was removed before its body was whole', async () => {
    harness = await GatewayHarness.start([goodScript]);
    const caller = send(headOf('/read/a', 'slow', TWO_PARTS) + 'ab');
    await pause(50);
    await removeKey();
    caller.write('cd');
    const [text] = (await once(caller.resume(), 'data')) as [Buffer];
    expect(text.toString()).toMatch(/^HTTP\/1.1 401 /);
    expect(harness.arrivals).toEqual([]);
  });

  // Guards against a key that is used for a second server after its removal.
  it('sends no refused request on whose key was removed', async () => {
    let refuseFirst: () => void = () => undefined;
    const first: Script = (req, res) => {
      refuseFirst = () => {
        refuse(req, res);
      };
    };
    harness = await GatewayHarness.start([first, goodScript]);
    const called = harness.call({path: '/read/a'});
    await until(() => harness!.arrivals.length === 1);
    await removeKey();
    refuseFirst();
    expect((await called).status).toBe(401);
    expect(harness.arrivals).toEqual(['server-0']);
  });
});
