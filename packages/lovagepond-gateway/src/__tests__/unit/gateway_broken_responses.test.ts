import {type IncomingMessage} from 'node:http';
import {type AddressInfo, connect, createServer, type Server} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {
  answer,
  beginStream,
  GatewayHarness,
  KEY,
  NAMES,
  type Script,
} from './gateway_harness.js';

const LARGE_BODY = 'x'.repeat(600_000);

let harness: GatewayHarness | undefined;
let listening: Server | undefined;

afterEach(() => {
  harness?.stop();
  harness = undefined;
  listening?.close();
  listening = undefined;
});

function headOf(req: IncomingMessage, status: string): string {
  return (
    `HTTP/1.1 ${status} X\r\n` +
    `${NAMES.requestId}: ${String(req.headers[NAMES.requestId])}\r\n` +
    `${NAMES.signature}: signed\r\n`
  );
}

function withStatus(status: string): Script {
  return req => {
    req.socket.write(`${headOf(req, status)}content-length: 2\r\n\r\nno`);
  };
}

const sound: Script = (req, res) => {
  answer(req, res, 200, 'yes');
};

const INVALID = ['000', '001', '099', '600', '700', '999'];

// Guards against a caller that gets what is no answer in the protocol.
it.each(INVALID)('a status %s reaches no caller', async status => {
  harness = await GatewayHarness.start([withStatus(status)]);
  const res = await harness.call({path: '/write/a', method: 'POST', body: 'b'});
  expect(res).toMatchObject({status: 502, whole: true});
  expect(harness.arrivals).toHaveLength(1);
});

it.each(INVALID)('a status %s is answered by another server', async status => {
  harness = await GatewayHarness.start([withStatus(status), sound]);
  const res = await harness.call({path: '/read/a'});
  expect(res).toMatchObject({status: 200, body: 'yes', whole: true});
});

/** Answers before the request's body has arrived, and resets the connection. */
async function answerEarly(afterMs: number): Promise<string> {
  const early = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', head => {
      const id = /request-id: (.*)\r\n/i.exec(head.toString())?.[1] ?? '';
      socket.pause();
      socket.write(
        `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n` +
          `${NAMES.signature}: signed\r\n\r\npart`,
      );
      setTimeout(() => socket.resetAndDestroy(), afterMs);
    });
  });
  listening = early;
  await new Promise<void>(resolve => {
    early.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(early.address() as AddressInfo).port}`;
}

// Guards against a part of a response that passes for a whole one, as the write of
// the request takes the error of the connection.
it.each([0, 50])(
  'an early response that is reset after %i ms, during the upload, is not whole',
  async afterMs => {
    const address = await answerEarly(afterMs);
    harness = await GatewayHarness.start([sound], {listed: () => ({address})});
    const call = {path: '/write/a', method: 'POST', body: LARGE_BODY};
    const res = await harness.call(call);
    expect(res.whole && res.status === 200).toBe(false);
    if (afterMs > 0) expect(res).toMatchObject({status: 200, body: 'part'});
  },
);

/** @returns how the connection of a caller of HTTP/1.0 ended */
function callAsOld(port: number, path: string): Promise<string> {
  return new Promise(resolve => {
    let text = '';
    let end = 'in order';
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(
        `GET ${path} HTTP/1.0\r\nHost: shop.example\r\n` +
          `${NAMES.requestId}: old\r\n${NAMES.apiKey}: ${KEY}\r\n\r\n`,
      );
    });
    socket.on('data', bytes => (text += bytes.toString('latin1')));
    socket.on('error', () => (end = 'reset'));
    // Node reports a reset that arrives with the last bytes as an orderly end.
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) end = 'reset';
    });
    socket.on('close', () => {
      resolve(`${text.slice(9, 12)} ${end}`);
    });
  });
}

// Guards against a cut stream that looks complete to a caller of HTTP/1.0, where a
// response without a length ends with its connection.
it('a stream that breaks off resets the connection of HTTP/1.0', async () => {
  const breaking: Script = (req, res) => {
    beginStream(req, res);
    res.write('id: 1\ndata: a\n\n', () => req.socket.resetAndDestroy());
  };
  harness = await GatewayHarness.start([breaking]);
  expect(await callAsOld(harness.server.port, '/talk/a')).toBe('200 reset');
});

it('a whole stream ends the connection of HTTP/1.0 in order', async () => {
  const whole: Script = (req, res) => {
    beginStream(req, res);
    res.end('id: 1\ndata: a\n\n');
  };
  harness = await GatewayHarness.start([whole]);
  expect(await callAsOld(harness.server.port, '/talk/a')).toBe('200 in order');
});
