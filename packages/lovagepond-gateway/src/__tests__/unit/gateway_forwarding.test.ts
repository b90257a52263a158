import {type IncomingMessage} from 'node:http';
import {afterEach, describe, expect, it} from 'vitest';
import {
  answer,
  beginStream,
  type Call,
  type CallerResponse,
  GatewayHarness,
  KEY,
  NAMES,
  refuse,
  type Script,
} from './gateway_harness.js';

let harness: GatewayHarness | undefined;

afterEach(() => {
  harness?.stop();
  harness = undefined;
});

async function run(scripts: Script[], call: Call): Promise<CallerResponse> {
  harness = await GatewayHarness.start(scripts);
  return harness.call(call);
}

const fail: Script = (req, res) => {
  answer(req, res, 500, 'no');
};
const good: Script = (req, res) => {
  answer(req, res, 200, 'yes');
};
const reset: Script = req => {
  req.socket.destroy();
};

describe('forwarding', () => {
  it('passes method, path, body and answer through unchanged', async () => {
    let seen = '';
    const res = await run(
      [
        (req, out, body) => {
          seen = `${req.method} ${req.url} ${body}`;
          answer(req, out, 201, 'made');
        },
      ],
      {path: '/write/a?b=1', method: 'PATCH', body: 'x'},
    );
    expect(seen).toBe('PATCH /write/a?b=1 x');
    expect(res).toMatchObject({status: 201, body: 'made', whole: true});
    expect(res.headers[NAMES.signature]).toBe('signed');
  });

  it('counts requests and attempts by how they ended', async () => {
    harness = await GatewayHarness.start([fail, good]);
    await harness.call({path: '/read/a'});
    await harness.call({path: '/none/a'});
    expect(harness.counters.read()).toEqual({
      endedByOutcome: {answered: 1},
      refusedByKind: {notFound: 1},
      failedAttemptsByOutcome: {failedAnswer: 1},
      secondTries: 1,
    });
  });

  // Guards against a request that makes every server look broken to a gateway: without
  // its id the answers can't be told from another request's.
  it('keeps the request id that a Connection header names', async () => {
    const res = await run([good, good], {
      path: '/read/a',
      headers: {connection: `close, ${NAMES.requestId}, ${NAMES.promptParts}`},
    });
    expect(res).toMatchObject({status: 200, body: 'yes'});
    expect(harness?.arrivals).toHaveLength(1);
  });

  it('names the workspace to the server and keeps the key from it', async () => {
    let headers: Record<string, unknown> = {};
    await run(
      [
        (req, out) => {
          ({headers} = req);
          answer(req, out, 200, '');
        },
      ],
      {path: '/read/a', headers: {[NAMES.workspace]: 'forged'}},
    );
    expect(headers[NAMES.workspace]).toBe('nord');
    expect(JSON.stringify(headers)).not.toContain(KEY);
    expect(headers[NAMES.expectedInstance]).toBe('server-0');
  });

  // A server runs a repeatable request and answers with a failure; another one
  // answers it well. The caller must get the second answer whole: what was
  // kept of the first one once took the second one's body with it, and the
  // connection was closed in the middle of the answer.
  it('answers with the second server after a failure of the first', async () => {
    const res = await run([fail, good], {path: '/read/a'});
    expect(res).toMatchObject({status: 200, body: 'yes', whole: true});
    expect(harness?.arrivals).toEqual(['server-0', 'server-1']);
  });

  // Both servers fail a repeatable request. The caller gets the failure that a
  // server made, with its signature, not one of the router's own.
  it('passes on the failure when the second server fails too', async () => {
    const res = await run([fail, fail], {path: '/read/a'});
    expect(res).toMatchObject({status: 500, body: 'no', whole: true});
    expect(res.headers[NAMES.signature]).toBe('signed');
  });

  // The second server ends the connection. The first one's failure answer is
  // still there and must not be replaced by an answer without a signature.
  it('passes on the first failure when the second server breaks', async () => {
    const res = await run([fail, reset], {path: '/read/a'});
    expect(res).toMatchObject({status: 500, body: 'no', whole: true});
  });

  // A request that must not run twice reaches a server that then closes the
  // connection. It may have run: no second server may get it, and the caller
  // must not hear that it has not run.
  it('never sends a request that may have run to a second server', async () => {
    const res = await run([reset, good], {path: '/write/a', method: 'POST'});
    expect(res.status).toBe(502);
    expect(harness?.arrivals).toEqual(['server-0']);
  });

  it('says "not run" when the only server says so', async () => {
    const res = await run([refuse], {path: '/write/a', method: 'POST'});
    expect(res.status).toBe(503);
    expect(Number(res.headers['retry-after'])).toBeGreaterThan(0);
  });

  // A server sends the answer of an earlier request where this one's is due.
  // Its id differs, so nothing of it may reach the caller.
  it("never passes on another request's answer", async () => {
    const foreign: Script = (_req, out) => {
      out.writeHead(200, {[NAMES.requestId]: 'other', [NAMES.signature]: 's'});
      out.end('secret');
    };
    const res = await run([foreign], {path: '/write/a', method: 'POST'});
    expect(res.status).toBe(502);
    expect(res.body).not.toContain('secret');
  });

  it('breaks off when the answer breaks off', async () => {
    const half: Script = (req, out) => {
      out.writeHead(200, {
        [NAMES.requestId]: req.headers[NAMES.requestId] ?? '',
        [NAMES.signature]: 's',
        'Content-Length': 10,
      });
      out.write('half', () => req.socket.destroy());
    };
    const res = await run([half], {path: '/read/a'});
    expect(res).toMatchObject({status: 200, whole: false});
  });
});

describe('an answer without a length', () => {
  const head = (req: IncomingMessage): string =>
    `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ` +
    `${String(req.headers[NAMES.requestId])}\r\n` +
    `${NAMES.signature}: s\r\nConnection: close\r\n\r\n`;

  it('is whole when its connection is closed', async () => {
    const closes: Script = req => {
      req.socket.end(`${head(req)}whole`);
    };
    const res = await run([closes], {path: '/write/a', method: 'POST'});
    expect(res).toMatchObject({status: 200, body: 'whole', whole: true});
  });

  // The server crashes while it sends: its connection is reset in the middle
  // of the body. The HTTP client takes that for the end of such an answer; to
  // the caller it must look broken off.
  it('is broken off when its connection is reset', async () => {
    const resets: Script = req => {
      req.socket.write(`${head(req)}half`, () => {
        setTimeout(() => req.socket.resetAndDestroy(), 20);
      });
    };
    const res = await run([resets], {path: '/write/a', method: 'POST'});
    expect(res).toMatchObject({status: 200, whole: false});
  });
});

describe('an answer without a length, reset with its last bytes', () => {
  // The same crash, but the reset arrives together with the bytes before it.
  // The socket then tells of an orderly end and of no error at all; the answer
  // was once passed on as whole.
  it('is broken off', async () => {
    const resets: Script = req => {
      const id = String(req.headers[NAMES.requestId]);
      const head = `${NAMES.requestId}: ${id}\r\n${NAMES.signature}: s`;
      req.socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\nhalf`);
      req.socket.resetAndDestroy();
    };
    const res = await run([resets], {path: '/write/a', method: 'POST'});
    expect(res.whole && res.status === 200).toBe(false);
  });
});

describe('event streams', () => {
  function eventsFrom(first: number, last: number): string {
    let text = '';
    for (let id = first; id <= last; id += 1) {
      text += `id: ${id}\ndata: piece ${id}\n\n`;
    }
    return text;
  }

  const breaksInEvent: Script = (req, out) => {
    beginStream(req, out);
    out.write(`${eventsFrom(1, 2)}id: 3\ndata: ha`, () => {
      req.socket.destroy();
    });
  };

  // The server dies in the middle of its third event. The second server goes
  // on behind the second one; the half event must not reach the caller, and
  // no event may be missing or come twice.
  it('go on at another server behind the last whole event', async () => {
    const resumes: Script = (req, out) => {
      beginStream(req, out);
      const from = Number(req.headers['last-event-id']) + 1;
      out.end(eventsFrom(from, 4));
    };
    const res = await run([breaksInEvent, resumes], {
      path: '/chat/a',
      method: 'POST',
    });
    expect(res).toMatchObject({body: eventsFrom(1, 4), whole: true});
  });

  // The same, but this kind of stream must not be continued: its answer has
  // to look broken off.
  it('that may not go on are broken off behind a whole event', async () => {
    const res = await run([breaksInEvent, good], {
      path: '/talk/a',
      method: 'POST',
    });
    expect(res).toMatchObject({body: eventsFrom(1, 2), whole: false});
    expect(harness?.arrivals).toEqual(['server-0']);
  });

  it('with a gap in their numbers are broken off before it', async () => {
    const gap: Script = (req, out) => {
      beginStream(req, out);
      out.end(eventsFrom(1, 1) + eventsFrom(3, 3));
    };
    const res = await run([gap], {path: '/talk/a', method: 'POST'});
    expect(res.whole).toBe(false);
    expect(res.body).not.toContain('piece 3');
  });
});

describe('refusals', () => {
  it.each([
    ['an unknown route', {path: '/none/a'}, 404],
    ['an unknown key', {path: '/read/a', headers: {[NAMES.apiKey]: 'x'}}, 401],
    [
      'a body over the limit',
      {path: '/read/a', headers: {'content-length': '99999999'}},
      413,
    ],
    ['a large head', {path: '/read/a', headers: {x: 'y'.repeat(20_000)}}, 431],
  ])('of %s', async (_name, call: Call, status) => {
    const res = await run([good], call);
    expect(res.status).toBe(status);
    expect(harness?.arrivals).toEqual([]);
  });

  it('come with when to come back while no server is there', async () => {
    const res = await run([], {path: '/read/a'});
    expect(res.status).toBe(503);
    expect(res.headers['retry-after']).toBeDefined();
  });
});
