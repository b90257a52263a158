import {createServer, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {HttpConnections} from '../../http_connections.js';

/** How a response begins, and what happens to it then. */
interface Play {
  readonly version: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly next: (res: ServerResponse, server: Server) => void;
}

/** What a caller gets. */
interface Received {
  readonly body: string;
  /** The code of the connection's error; undefined after an orderly close. */
  readonly error: string | undefined;
}

let server: Server | undefined;

afterEach(() => {
  server?.close();
  server?.closeAllConnections();
});

async function play({version, headers = {}, next}: Play): Promise<Received> {
  const listening = createServer();
  server = listening;
  new HttpConnections(listening).onRequest((_req, res) => {
    res.writeHead(200, headers);
    res.write('begun', () => {
      next(res, listening);
    });
  });
  await new Promise<void>(resolve => {
    listening.listen(0, '127.0.0.1', resolve);
  });
  const {port} = listening.address() as AddressInfo;
  return new Promise(resolve => {
    let text = '';
    let error: string | undefined;
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(`GET / HTTP/${version}\r\nHost: a\r\n\r\n`);
    });
    socket.on('data', bytes => (text += bytes.toString('latin1')));
    socket.on('error', (err: NodeJS.ErrnoException) => (error = err.code));
    // Node reports a reset that arrives with the last bytes as an orderly end, but
    // a reset connection has no peer address.
    socket.on('end', () => {
      if (socket.remoteAddress === undefined) error = 'ECONNRESET';
    });
    socket.on('close', () => {
      resolve({body: text.split('\r\n\r\n')[1] ?? '', error});
    });
  });
}

// Guards against cut responses that look complete to a caller of HTTP/1.0: without
// a length, a response ends with its connection.
it.each([
  ['its response is destroyed', (res: ServerResponse) => res.destroy()],
  [
    'the server closes all connections',
    (_res: ServerResponse, listening: Server) => {
      listening.closeAllConnections();
    },
  ],
  [
    'its connection is destroyed',
    (res: ServerResponse) => res.socket?.destroy(),
  ],
])('an HTTP/1.0 connection is reset when %s', async (_what, next) => {
  const received = await play({version: '1.0', next});
  expect(received.error).toBe('ECONNRESET');
});

it('an HTTP/1.0 connection ends in order after a whole response', async () => {
  const received = await play({version: '1.0', next: res => res.end(' whole')});
  expect(received).toEqual({body: 'begun whole', error: undefined});
});

it('an HTTP/1.1 response that is cut lacks its last chunk', async () => {
  const received = await play({version: '1.1', next: res => res.destroy()});
  expect(received).toEqual({body: '5\r\nbegun\r\n', error: undefined});
});
