import {
  Server,
  ServerCredentials,
  type ServerWritableStream,
} from '@grpc/grpc-js';
import {type Logger, Random} from '@lovagepond/core';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {afterEach, test} from 'vitest';
import {ControlLink} from '../../router_control_link.js';

const {v1} = lovagepond;
type Stream = ServerWritableStream<unknown, lovagepond.v1.ControlUpdate>;

const SILENT_LOG: Logger = {
  debug() {},
  info() {},
  warn() {},
  error() {},
};
const CLOCK = {now: () => performance.now(), wallTime: () => Date.now()};
const cleanups: (() => void)[] = [];

afterEach(() => {
  for (const cleanup of cleanups.splice(0).reverse()) cleanup();
});

/** Accepts TCP connections but never responds, like a host without power. */
async function startUnresponsiveServer(): Promise<string> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const sockets = new Set<{destroy(): unknown}>();
  server.on('connection', socket => sockets.add(socket));
  cleanups.push(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

interface MemberBehavior {
  readonly endsStream?: boolean;
  readonly goOn?: boolean;
  /** Time since the member's last contact with the leader, milliseconds. */
  readonly contactAgeMs?: number;
}

/** Starts a control member whose first update lists the given members. */
async function startMember(
  memberAddresses: readonly string[] = [],
  {endsStream = false, goOn = false, contactAgeMs = 0}: MemberBehavior = {},
): Promise<string> {
  const server = new Server();
  const addresses = [...memberAddresses];
  server.addService(CONTROL_SERVICE, {
    subscribe: (call: Stream) => {
      call.write(new v1.ControlUpdate({controlMembers: {addresses, goOn}}));
      const heartbeat = {revision: 0, contactAgeMs};
      call.write(new v1.ControlUpdate({heartbeat}));
      if (endsStream) call.end();
    },
  });
  cleanups.push(() => server.forceShutdown());
  return new Promise((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync('127.0.0.1:0', credentials, (err, port) => {
      if (err) reject(err);
      else resolve(`127.0.0.1:${port}`);
    });
  });
}

/** Starts a link and resolves at the first update from the expected member. */
function untilUpdateFrom(
  controlAddresses: readonly string[],
  expectedAddress: string,
): Promise<void> {
  return new Promise(resolve => {
    const link = new ControlLink(
      {controlAddresses, controlSilentAfterMs: 60_000, controlRetryMs: 1},
      {node: 'r', region: 'r', takesDeltas: false},
      {
        clock: CLOCK,
        log: SILENT_LOG,
        random: Object.assign(new Random(1), {below: () => 0}),
        listener: {
          heldRevision: () => 0,
          onUpdate: () => {
            link.tick(CLOCK.now());
            if (link.address === expectedAddress) resolve();
          },
        },
      },
    );
    cleanups.push(() => {
      link.stop();
    });
    link.start();
  });
}

// All hosts lost power and restart one by one. A host that is still down does
// not refuse connections, and the kernel repeats the SYN only after a second.
// The router must switch to another member before that, although it waits much
// longer for a connected but silent member.
test('switches from a member that it cannot connect to', async () => {
  const addresses = [await startUnresponsiveServer(), await startMember()];
  await untilUpdateFrom(addresses, addresses[1]!);
});

// All hosts named in the settings have been replaced. The last of them lists
// its successors before it stops. A router that only tried the hosts in its
// settings would receive no further updates.
test('switches to members that its settings do not name', async () => {
  const successor = await startMember();
  const seed = await startMember([successor], {endsStream: true});
  await untilUpdateFrom([seed], successor);
});

// All addresses in the settings belong to control members that have no
// consensus log yet. These know the leader but can't serve subscriptions, so
// they redirect the router, which must not wait for them.
test('switches when the member redirects it', async () => {
  const leader = await startMember();
  const seed = await startMember([leader], {goOn: true});
  await untilUpdateFrom([seed], leader);
});

// Guards against a router that keeps a list of servers from before a partition: its
// member can't reach the leader, but goes on sending heartbeats.
test('switches from a member that has lost the leader', async () => {
  const current = await startMember();
  const stale = await startMember([current], {contactAgeMs: 60_001});
  await untilUpdateFrom([stale], current);
});
