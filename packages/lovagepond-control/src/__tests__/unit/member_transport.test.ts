import {Server, ServerCredentials} from '@grpc/grpc-js';
import {type TransportMessage} from '@lovagepond/consensus';
import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {afterEach, expect, test, vi} from 'vitest';
import {CLIENT_OPTIONS} from '../../control_channel_constants.js';
import {MemberTransport} from '../../member_transport.js';

const CLOCK = {now: () => performance.now(), wallTime: () => Date.now()};
/** A failed connection rests for longer than any test lasts. */
const OPTIONS = {
  ...CLIENT_OPTIONS,
  'grpc.initial_reconnect_backoff_ms': 60_000,
  'grpc.max_reconnect_backoff_ms': 60_000,
};
const cleanups: (() => void)[] = [];

afterEach(() => {
  for (const cleanup of cleanups.splice(0).reverse()) cleanup();
});

interface Member {
  readonly address: string;
  readonly transport: MemberTransport;
}

async function reservePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

async function startMember(port: number): Promise<Member> {
  const server = new Server();
  const transport = new MemberTransport(server, CLOCK, OPTIONS);
  const address = `127.0.0.1:${port}`;
  await new Promise<void>((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync(address, credentials, err => {
      if (err) reject(err);
      else resolve();
    });
  });
  cleanups.push(() => {
    transport.close();
    server.forceShutdown();
  });
  return {address, transport};
}

function preVote(fromAddress: string, attempt: number): TransportMessage {
  const envelope = {from: 'x', fromAddress, to: 'y', term: 1};
  return {...envelope, kind: 'preVote', lastIndex: 0, lastTerm: 0, attempt};
}

function nextMessage({transport}: Member): Promise<TransportMessage> {
  return new Promise(resolve => {
    transport.onMessage(resolve);
  });
}

// All members were stopped. One comes up first and finds the others away; its
// connections to them then rest before they try again. When another asks it for
// its vote, the answer must get there, or the group has no leader for longer.
test('answers a member that was away when it tried it first', async () => {
  const early = await startMember(await reservePort());
  const latePort = await reservePort();
  const lateAddress = `127.0.0.1:${latePort}`;
  early.transport.send(lateAddress, preVote(early.address, 1));
  await vi.waitFor(() => {
    expect(early.transport.inFlight).toBe(0);
  });
  const late = await startMember(latePort);
  const asked = nextMessage(early);
  late.transport.send(early.address, preVote(late.address, 2));
  await asked;
  const answered = nextMessage(late);
  early.transport.send(lateAddress, preVote(early.address, 3));
  expect(await answered).toMatchObject({attempt: 3});
});

// Each heartbeat has an answer. It comes with the acknowledgement, so that it
// costs no call of its own; a second message to the same member makes one.
test('answers with the acknowledgement', async () => {
  const asking = await startMember(await reservePort());
  const answering = await startMember(await reservePort());
  const underWay: number[] = [];
  answering.transport.onMessage(() => {
    for (const attempt of [2, 3]) {
      answering.transport.send(
        asking.address,
        preVote(answering.address, attempt),
      );
      underWay.push(answering.transport.inFlight);
    }
  });
  const answers: TransportMessage[] = [];
  asking.transport.onMessage(message => {
    answers.push(message);
  });
  asking.transport.send(answering.address, preVote(asking.address, 1));
  await vi.waitFor(() => {
    expect(answers).toHaveLength(2);
  });
  expect(underWay).toEqual([0, 1]);
  const attempts = answers.map(answer => 'attempt' in answer && answer.attempt);
  expect(attempts.sort()).toEqual([2, 3]);
});
