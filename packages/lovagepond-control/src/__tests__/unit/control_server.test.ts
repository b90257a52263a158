import {once} from 'node:events';
import {connect} from 'node:net';
import {Client, credentials} from '@grpc/grpc-js';
import {CONTROL_SERVICE, lovagepond} from '@lovagepond/protocol';
import {afterEach, expect, it} from 'vitest';
import {type ControlHandlers, ControlServer} from '../../control_server.js';
import {SILENT_LOG} from '../model/control_cluster.js';

const {v1} = lovagepond;
const HOST = '127.0.0.1';
const LIMIT_MS = 1_000;

const cleanups: (() => unknown)[] = [];

afterEach(() => {
  for (const cleanup of cleanups.splice(0).reverse()) cleanup();
});

interface Started {
  readonly server: ControlServer;
  readonly port: number;
  readonly calls: () => number;
  readonly answer: (text: string) => void;
}

/** Starts a server that answers claims when it is told to. */
async function startServer(): Promise<Started> {
  let calls = 0;
  let answer = (_text: string): void => {};
  const answered = new Promise<string>(resolve => (answer = resolve));
  const handlers: Pick<ControlHandlers, 'claim'> = {
    claim: async () => {
      calls += 1;
      return new v1.ClaimResponse({outcome: await answered});
    },
  };
  const server = new ControlServer(handlers as ControlHandlers, SILENT_LOG);
  const port = await server.listen(HOST, 0);
  cleanups.push(() => server.stop());
  return {server, port, calls: () => calls, answer};
}

function claim(port: number): Promise<string> {
  const client = new Client(`${HOST}:${port}`, credentials.createInsecure());
  cleanups.push(() => client.close());
  const {path, requestSerialize, responseDeserialize} = CONTROL_SERVICE.claim;
  return new Promise((resolve, reject) => {
    client.makeUnaryRequest(
      path,
      requestSerialize,
      responseDeserialize,
      new v1.ClaimRequest(),
      (err, res) => {
        if (res) resolve(res.outcome ?? '');
        else reject(err as Error);
      },
    );
  });
}

// Guards against a sidecar that doesn't learn that its claim was granted, as the
// member ends right after its last answer.
it.each([10, 100_000, 1_000_000])(
  'delivers an answer of %i bytes when it stops at once',
  async size => {
    const {server, port, calls, answer} = await startServer();
    const claimed = claim(port);
    claimed.catch(() => undefined);
    await expect.poll(calls).toBe(1);
    const idle = server.waitUntilIdle(LIMIT_MS);
    answer('x'.repeat(size));
    expect(await idle).toEqual({unfinished: 0});
    server.stop();
    expect((await claimed).length).toBe(size);
  },
);

it('tells how many calls are unanswered at its limit', async () => {
  const {server, port, calls} = await startServer();
  claim(port).catch(() => undefined);
  await expect.poll(calls).toBe(1);
  expect(await server.waitUntilIdle(50)).toEqual({unfinished: 1});
});

// Guards against a stop that waits for a peer that never ends its call.
it('closes all connections soon after its stop', async () => {
  const {server, port, calls} = await startServer();
  const claimed = claim(port).catch(() => 'cut');
  const silent = connect(port, HOST).resume();
  silent.on('error', () => undefined);
  cleanups.push(() => silent.destroy());
  await expect.poll(calls).toBe(1);
  const closed = once(silent, 'close');
  server.stop();
  expect(await claimed).toBe('cut');
  await closed;
});
