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

/** Connections to it never come to anything, as at a host without power. */
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
}

/** A member that names others, if any. */
async function startMember(
  named: readonly string[] = [],
  {endsStream = false, goOn = false}: MemberBehavior = {},
): Promise<string> {
  const server = new Server();
  const addresses = [...named];
  server.addService(CONTROL_SERVICE, {
    subscribe: (call: Stream) => {
      call.write(new v1.ControlUpdate({controlMembers: {addresses, goOn}}));
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

/** Starts a link, and resolves once it has heard from the wanted member. */
function untilUpdateFrom(
  controlAddresses: readonly string[],
  wanted: string,
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
            if (link.address === wanted) resolve();
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

// All hosts lost power and come back one by one. A router that is up first asks
// a member whose host isn't: nothing refuses its connection, and the system
// tries again only after a second. It must go on to another member meanwhile,
// though members that are merely silent are left much later.
test('leaves a member to which there is no connection', async () => {
  const addresses = [await startUnresponsiveServer(), await startMember()];
  await untilUpdateFrom(addresses, addresses[1]!);
});

// Each host that the settings name has been replaced. The last of them names its
// successors before it ends; asked for nobody else, the router would hear of no
// further change.
test('goes on to members that its settings do not name', async () => {
  const successor = await startMember();
  const seed = await startMember([successor], {endsStream: true});
  await untilUpdateFrom([seed], successor);
});

// Each address that the settings name is of a host without a log, which knows the
// leader but can't serve yet. It says so, and the router must not wait there.
test('goes on when the member sends it on', async () => {
  const leader = await startMember();
  const seed = await startMember([leader], {goOn: true});
  await untilUpdateFrom([seed], leader);
});
