/**
 * A status report of another writer, with an address that is none, while callers
 * keep channels open and send one request after the other.
 */
import {once} from 'node:events';
import {appendFileSync, writeFileSync} from 'node:fs';
import {
  Agent,
  createServer,
  type IncomingMessage,
  request,
  type Server,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
  ADDED_ROUTE,
  callGateway,
  configuration,
  report,
} from '../../platform/src/stand_ins/platform_calls.js';
import {
  PlatformFleet,
  type PlatformProcess,
  waitUntil,
} from '../../platform/src/stand_ins/platform_fleet.js';

const KEY = 'k1';
const VERSION = 3;
/** The whole script ends after this time, milliseconds. */
const LIMIT_MS = 100_000;
const ROUTE = {
  ...ADDED_ROUTE,
  RouteKind: 'non_idempotent',
  MaxAttempts: 1,
  TimeoutMs: 3_000,
};
const DEADLINE_MS = 3_000;
const HEARTBEAT_MS = 1_000;
/** How long a replica works on a request, milliseconds. */
const WORK_MS = 300;
const REPLICAS = ['one', 'two', 'three'];
const SLOTS = 64;
const CALLERS_PER_GATEWAY = 16;
/** From the start of traffic to the foreign report, and to the end, ms. */
const REPORT_AFTER_MS = 2_000;
const END_AFTER_MS = 14_000;
/** The platform restarts a process that ended after this time, ms. */
const RESTART_MS = 300;
/** A machine may close this many channels without an answer. */
const MOST_CLOSED = 3;
/** Not an IP address and port: there is no port 70000. */
const NO_ADDRESS = '127.0.0.1:70000';

const hasTrouble = process.env['TROUBLE'] !== '0';
const recordFile = process.argv[2] ?? 'record.txt';
const fleet = new PlatformFleet();
const servers: Server[] = [];
/** Ids of the requests that a replica ran. */
const ran = new Set<string>();
/** Requests on kept channels that ran and got no answer, by gateway. */
const closed = new Map<number, number>();
const ownEnds = new Map<number, number>();
const startedAt = Date.now();
let answered = 0;
let isOver = false;

function record(line: string): void {
  const seconds = ((Date.now() - startedAt) / 1_000).toFixed(3);
  appendFileSync(recordFile, `${seconds} ${line}\n`);
}

/** A sound replica. */
async function startReplica(name: string): Promise<string> {
  const server = createServer((req: IncomingMessage, res) => {
    const id = String(req.headers['x-lovagepond-attempt-id']);
    ran.add(id);
    record(`replica ${name}: runs ${id}`);
    setTimeout(() => {
      res.writeHead(200, {
        'X-Lovagepond-Attempt-Id': id,
        'X-Lovagepond-Response-Signature': `signed-by-${name}`,
        'Content-Length': 2,
      });
      res.end('ok');
    }, WORK_MS);
  });
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function startReplicas(): Promise<void> {
  let sequence = 0;
  const addresses = new Map<string, string>();
  for (const name of REPLICAS) addresses.set(name, await startReplica(name));
  const announce = async (): Promise<void> => {
    sequence += 1;
    for (const [name, address] of addresses) {
      const more = {Slots: SLOTS};
      const text = report(address, 'ready', sequence, 'skra', more);
      await fleet.call('PUT', `/-/replicas/${name}`, text);
    }
  };
  await waitUntil('the replicas', async () => {
    await announce();
    return true;
  });
  setInterval(() => {
    announce().catch(() => undefined);
  }, HEARTBEAT_MS);
}

/** @returns the status, or 0 if the channel closed without an answer */
function send(gateway: number, id: string, agent: Agent): Promise<number> {
  const [host, port] = fleet.gateways[gateway]?.frontend.split(':') ?? [];
  return new Promise(resolve => {
    const req = request({
      host,
      port,
      method: 'POST',
      path: `${ROUTE.PathPrefix}a`,
      agent,
      headers: {
        Host: ROUTE.Host,
        'X-Lovagepond-Attempt-Id': id,
        'X-Lovagepond-Deadline-Ms': DEADLINE_MS,
        'X-Lovagepond-Credential': KEY,
        'Content-Length': 0,
      },
    });
    req.on('error', () => {
      resolve(0);
    });
    req.on('response', res => {
      res.resume();
      res.on('close', () => {
        resolve(res.complete ? (res.statusCode ?? 0) : 0);
      });
    });
    req.end();
  });
}

/** A caller with one channel, which it opens anew when it was closed. */
async function keepCalling(gateway: number, caller: number): Promise<void> {
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  let isKept = false;
  for (let nth = 0; !isOver; nth += 1) {
    const id = `g${gateway}-c${caller}-${nth}`;
    const status = await send(gateway, id, agent);
    if (status === 200) answered += 1;
    else record(`caller: ${id} ${status === 0 ? 'CLOSED' : status}`);
    if (status === 0 && isKept && ran.has(id)) {
      closed.set(gateway, (closed.get(gateway) ?? 0) + 1);
    }
    isKept = status === 200;
    if (!isKept) await delay(RESTART_MS);
  }
  agent.destroy();
}

/** Restarts a process that ends by itself, as the platform does. */
async function watch(at: number, gateway: PlatformProcess): Promise<void> {
  const code = await gateway.exited;
  if (isOver) return;
  ownEnds.set(at, (ownEnds.get(at) ?? 0) + 1);
  record(`gateway ${at} ended by itself with exit code ${code}`);
  await delay(RESTART_MS);
  if (!isOver) void watch(at, fleet.restart(gateway));
}

async function sendForeignReport(): Promise<void> {
  const text = report(NO_ADDRESS, 'ready', 1);
  const {status} = await fleet.call('PUT', '/-/replicas/other', text);
  record(`foreign report with Address ${NO_ADDRESS}: ${status}`);
}

async function play(): Promise<number> {
  await fleet.start();
  await fleet.configure(configuration(VERSION, [KEY], [ROUTE]));
  await startReplicas();
  for (const at of fleet.gateways.keys()) {
    await waitUntil('a gateway', async () => {
      const path = `${ROUTE.PathPrefix}a`;
      return (await callGateway(fleet, path, KEY, at)).status === 200;
    });
  }
  for (const [at, gateway] of fleet.gateways.entries()) {
    void watch(at, gateway);
    for (let caller = 0; caller < CALLERS_PER_GATEWAY; caller += 1) {
      void keepCalling(at, caller);
    }
  }
  await delay(REPORT_AFTER_MS);
  if (hasTrouble) await sendForeignReport();
  await delay(END_AFTER_MS - REPORT_AFTER_MS);
  isOver = true;
  const gateways = [...fleet.gateways.keys()];
  const ends = gateways.map(at => ownEnds.get(at) ?? 0);
  const counts = gateways.map(at => closed.get(at) ?? 0);
  const line =
    `${answered} requests answered; by gateway: kept channels closed without ` +
    `an answer after their request ran ${counts.join(', ')}; ends by itself ` +
    ends.join(', ');
  record(line);
  process.stdout.write(`${line}\n`);
  return Math.max(...counts) > MOST_CLOSED ? 1 : 0;
}

async function end(code: number): Promise<never> {
  isOver = true;
  await fleet.end().catch(() => undefined);
  for (const server of servers) server.closeAllConnections();
  process.exit(code);
}

writeFileSync(recordFile, `TROUBLE=${hasTrouble ? 1 : 0}\n`);
setTimeout(() => {
  record('the script ran out of time');
  void end(2);
}, LIMIT_MS);
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.on(signal, () => {
    void end(2);
  });
}
play().then(end, (error: unknown) => {
  record(`could not run: ${String(error)}`);
  return end(2);
});
