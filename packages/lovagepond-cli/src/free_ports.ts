/**
 * Finds free loopback ports, so that concurrent runs don't collide.
 */
import {once} from 'node:events';
import {createServer} from 'node:net';

/**
 * The ports lie below the ephemeral range of the operating system. An ephemeral
 * port that was free when checked may be assigned to an outgoing connection
 * before the server binds it. The bind then fails with EADDRINUSE.
 */
const FIRST_PORT = 20_000;
const PORT_SPAN = 12_000;
/** Distance between the first ports of processes with consecutive ids. */
const PORTS_PER_PROCESS = 64;

let checkedCount = 0;

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, '127.0.0.1');
    await once(server, 'listening');
    server.close();
    await once(server, 'close');
    return true;
  } catch {
    return false;
  }
}

/**
 * @param count number of ports
 * @returns ports that were free when checked
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const offset = process.pid * PORTS_PER_PROCESS + checkedCount;
    const port = FIRST_PORT + (offset % PORT_SPAN);
    checkedCount += 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}
