import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo, connect} from 'node:net';
import {afterEach, expect, it, vi} from 'vitest';
import {HttpConnections} from '../../http_connections.js';

afterEach(() => {
  vi.useRealTimers();
});

// Guards against a process that is killed, as a timer keeps it running after its
// end has cut a response.
it('leaves no timer behind for a connection that was cut', async () => {
  const server = createServer();
  const connections = new HttpConnections(server);
  await once(server.listen(0, '127.0.0.1'), 'listening');
  const {port} = server.address() as AddressInfo;
  const requested = once(server, 'request');
  const caller = connect(port, '127.0.0.1');
  caller.on('error', () => undefined);
  caller.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
  const [, res] = (await requested) as [unknown, ServerResponse];
  vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
  connections.closeIdle();
  const closed = once(res.req.socket, 'close');
  server.closeAllConnections();
  await closed;
  server.close();
  caller.destroy();
  expect(connections.undelivered).toBe(0);
  expect(vi.getTimerCount()).toBe(0);
});
