/**
 * Free loopback ports for a run that must not meet another one.
 */
import {once} from 'node:events';
import {createServer} from 'node:net';

/**
 * Below the range from which the system takes ports for outgoing connections
 * and for servers that leave the choice to it. A port of that range that was
 * free when it was looked at may be a connection's a moment later, and the
 * start then fails with EADDRINUSE.
 */
const FIRST_PORT = 20_000;
const PORT_SPAN = 12_000;
/** Ports that processes with neighbouring ids keep apart. */
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
 * @param count how many
 * @returns ports that were free just now
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
