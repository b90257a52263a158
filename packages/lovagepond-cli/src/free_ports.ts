/**
 * Free loopback ports for a run that must not meet another one.
 */
import {once} from 'node:events';
import {type AddressInfo, createServer, type Server} from 'node:net';

async function reserve(): Promise<Server> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

async function release(server: Server): Promise<number> {
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

/**
 * All are held at the same time, so that no port comes twice.
 *
 * @param count how many
 * @returns ports that were free just now
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({length: count}, reserve));
  return Promise.all(servers.map(release));
}
