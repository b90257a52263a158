import {Server, ServerCredentials} from '@grpc/grpc-js';
import {type TransportMessage} from '@lovagepond/consensus';
import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {afterEach, expect, test, vi} from 'vitest';
import {CLIENT_OPTIONS} from '../../control_channel_constants.js';
import {MemberTransport} from '../../member_transport.js';

const CLOCK = {now: () => performance.now(), wallTime: () => Date.now()};
/** The backoff of a failed connection is longer than any test. */
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

// After a stop of all members, the first one to start fails to connect to the
// others, and its connections are in backoff. When another member starts and
// requests its vote, the reply must arrive, or the election is delayed.
test('replies to a member that was down at the first attempt', async () => {
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

// The reply to a heartbeat is sent with the acknowledgement, which saves a
// call. A second message to the same member needs a call of its own.
test('returns a reply with the acknowledgement', async () => {
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
