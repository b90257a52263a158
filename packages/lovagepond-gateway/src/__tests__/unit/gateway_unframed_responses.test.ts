import {type IncomingMessage} from 'node:http';
import {afterEach, describe, expect, it} from 'vitest';
import {
  beginStream,
  type Call,
  clock,
  GatewayHarness,
  NAMES,
  type Script,
} from './gateway_harness.js';

const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const REST = 'id: 3\ndata: c\n\n';
const PROMPT: Call = {
  path: '/prompt/a',
  method: 'POST',
  body: 'prompt',
  headers: {[NAMES.promptParts]: 'first:10,last:10'},
};

let harness: GatewayHarness | undefined;

afterEach(() => {
  harness?.stop();
  harness = undefined;
});

/** Ends the connection in order after a response without length or chunks. */
function endUnframed(
  req: IncomingMessage,
  body: string,
  onEnded: () => void = () => {},
  more = '',
): void {
  const id = String(req.headers[NAMES.requestId]);
  const head =
    `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n` +
    `${NAMES.signature}: s\r\n${more}\r\n`;
  req.socket.write(head + body, () => {
    onEnded();
    req.socket.end();
  });
}

/** Exits with its response, as a process that crashes. */
const exiting: Script = req => {
  const port = Number(req.socket.localPort);
  endUnframed(req, EVENTS, () => harness?.stopListening(port));
};

const ending: Script = req => {
  endUnframed(req, EVENTS);
};

describe('a response without length or chunks', () => {
  // Guards against a crash in the middle of a stream that reaches the caller as
  // the end of a complete one.
  it('is cut off when its server exits with it', async () => {
    harness = await GatewayHarness.start([exiting]);
    const res = await harness.call({...PROMPT, path: '/talk/a'});
    expect(res).toMatchObject({status: 200, whole: false});
  });

  it('counts as a crash of its server then', async () => {
    harness = await GatewayHarness.start([exiting]);
    await harness.call({...PROMPT, path: '/talk/a'});
    await expect
      .poll(() => {
        harness?.quarantine.tick(clock.now());
        return [...(harness?.crashed ?? [])];
      })
      .toEqual(['server-0']);
  });

  it('continues at another server if its stream can be resumed', async () => {
    const resumes: Script = (req, res) => {
      beginStream(req, res);
      const isResumed = req.headers['last-event-id'] === '2';
      res.end(isResumed ? REST : 'id: 1\ndata: wrong\n\n');
    };
    harness = await GatewayHarness.start([exiting, resumes]);
    const res = await harness.call({...PROMPT, path: '/chat/a'});
    expect(res).toMatchObject({body: EVENTS + REST, whole: true});
  });

  it('is complete when its server stays up, and clears its prompt', async () => {
    harness = await GatewayHarness.start([ending]);
    const parts = [{id: 'first', crashes: 2, quarantinedForMs: 0}];
    harness.quarantine.useUpdate({parts}, clock.now());
    const res = await harness.call(PROMPT);
    expect(res).toMatchObject({status: 200, body: EVENTS, whole: true});
    const isSuspect = harness.quarantine.isSuspect(['part:first'], clock.now());
    expect(isSuspect).toBe(false);
  });

  // Guards against taking the end of one connection for that of the next one.
  it('is complete each time, as its connection is not used again', async () => {
    harness = await GatewayHarness.start([ending]);
    for (let nth = 0; nth < 4; nth += 1) {
      const res = await harness.call({...PROMPT, path: '/talk/a'});
      expect(res).toMatchObject({status: 200, body: EVENTS, whole: true});
    }
  });

  // Guards against cutting off what a server finishes right before it exits as
  // planned.
  it('is complete when its server had announced its exit', async () => {
    const leaving: Script = req => {
      const port = Number(req.socket.localPort);
      const exit = (): void => harness?.stopListening(port);
      endUnframed(req, EVENTS, exit, `${NAMES.leaving}: 1\r\n`);
    };
    harness = await GatewayHarness.start([leaving]);
    const res = await harness.call(PROMPT);
    expect(res).toMatchObject({status: 200, body: EVENTS, whole: true});
  });
});
