import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Fleet, streamChat} from '../../../../../scripts/fleet_processes.mjs';
import {countRequests, findServing, openChat, until} from './open_chat.js';

/** About four seconds at the stand-in's one token a step. */
const LONG_TOKENS = 200;
const OTHER_CHATS = 6;

interface ListedServer {
  readonly server: {readonly name: string; readonly state: string};
}

describe('a sidecar that ends', () => {
  const fleet = new Fleet();

  beforeAll(async () => {
    await fleet.start('examples/loopback');
  });

  afterAll(async () => {
    await fleet.end();
  });

  async function stateOf(name: string): Promise<string | undefined> {
    const listed = (await fleet.ctl('servers', 'list')) as ListedServer[];
    return listed.find(({server}) => server.name === name)?.server.state;
  }

  async function membershipVersion(name: string): Promise<unknown> {
    return (await fleet.dump(name)).state['membershipVersion'];
  }

  // A caller reads a long answer while its sidecar is told to stop. The sidecar
  // first says that it is leaving, and the routers hear of it; chats that start
  // then are answered, none of them there, while the long answer still runs.
  // It must end whole, and only then may the process end, with code 0.
  it('brings its answer to the end and gets nothing new', async () => {
    const answer = await openChat(
      fleet.callersUrl('router-1'),
      'leaving',
      LONG_TOKENS,
    );
    const serving = await findServing(fleet);
    const before = await countRequests(fleet, serving);
    const exited = fleet.get(serving).end('SIGTERM');
    await until(async () => (await stateOf(serving)) === 'draining');
    const version = await membershipVersion('control-1');
    for (const router of fleet.namesOf('router')) {
      await until(async () => (await membershipVersion(router)) === version);
    }
    const others = Array.from({length: OTHER_CHATS}, (_, index) =>
      streamChat(fleet.callersUrl(`router-${1 + (index % 2)}`), {
        workspace: 'demo',
        chat: `meanwhile-${index}`,
        messages: [{role: 'user', content: 'And this one?'}],
        maxTokens: 8,
      }),
    );
    for (const other of await Promise.all(others)) {
      expect(other).toMatchObject({status: 200, whole: true});
    }
    expect(await countRequests(fleet, serving)).toBe(before);
    expect(answer.isEnded()).toBe(false);
    expect(await answer.body).toMatch(/data: \[DONE\]\s*$/);
    expect(await exited).toBe(0);
  });

  // A sidecar dies under a caller who has read half of an answer. The other
  // half can come from nobody: the stream ends with an error event that says
  // that the request may have run, never with [DONE], by which the caller would
  // take half an answer for the whole. Asked again, another server answers.
  it('leaves an honest error to its caller when it is killed', async () => {
    const url = fleet.callersUrl('router-2');
    const answer = await openChat(url, 'killed', LONG_TOKENS);
    const serving = await findServing(fleet);
    await fleet.get(serving).end('SIGKILL');
    const body = await answer.body;
    expect(body).not.toContain('[DONE]');
    const data = /event: error\ndata: (.*)\n/.exec(body)?.[1] ?? '{}';
    const {error} = JSON.parse(data) as {error?: unknown};
    expect(error).toMatchObject({
      kind: expect.stringMatching(/./) as string,
      disposition: 'mayHaveRun',
    });
    const before = await countRequests(fleet, serving);
    const next = await streamChat(url, {
      workspace: 'demo',
      chat: 'killed',
      messages: [{role: 'user', content: 'Which voucher fits killed?'}],
      maxTokens: 8,
    });
    expect(next).toMatchObject({status: 200, whole: true});
    expect(await countRequests(fleet, serving)).toBe(before);
  });
});
