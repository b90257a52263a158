import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Fleet, streamChat} from '../../../../../scripts/fleet_processes.mjs';
import {
  countRequests,
  findServingSidecar,
  openChat,
  waitUntil,
} from './open_chat.js';

/** About three seconds, as the fake engine writes one token a step. */
const LONG_TOKENS = 160;
/**
 * About ten seconds: longer than the commands and chats that run in the
 * meantime, even on a busy host.
 */
const DRAINING_TOKENS = 500;
const SHORT_TOKENS = 8;
const OTHER_CHATS = 6;
const FROZEN_DEADLINE_MS = 2_500;
const WAITING_DEADLINE_MS = 12_000;
const DONE = /data: \[DONE\]\s*$/;

interface ListedServer {
  readonly server: {readonly name: string; readonly state: string};
}

/** @returns the error of the error event that ended an answer */
function errorOf(body: string): unknown {
  const data = /event: error\ndata: (.*)\n/.exec(body)?.[1] ?? '{}';
  return (JSON.parse(data) as {error?: unknown}).error;
}

/** @returns the request ids in the chunks of an answer */
function idsOf(body: string): ReadonlySet<string> {
  return new Set([...body.matchAll(/"id":"([^"]+)"/g)].map(([, id]) => id!));
}

describe('a sidecar that stops or fails', () => {
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

  // A sidecar gets SIGTERM while it streams a long answer. It announces that it
  // is draining, and the routers receive the change. Chats that start now must
  // be served by other sidecars while the long answer runs. The answer must be
  // complete before the process exits, with code 0.
  it('drains: finishes its answer and gets no new requests', async () => {
    const answer = await openChat(
      fleet.callersUrl('router-1'),
      'leaving',
      DRAINING_TOKENS,
    );
    const serving = await findServingSidecar(fleet);
    const before = await countRequests(fleet, serving);
    const exited = fleet.get(serving).end('SIGTERM');
    await waitUntil(async () => (await stateOf(serving)) === 'draining');
    const version = await membershipVersion('control-1');
    for (const router of fleet.namesOf('router')) {
      await waitUntil(
        async () => (await membershipVersion(router)) === version,
      );
    }
    const others = Array.from({length: OTHER_CHATS}, (_, index) =>
      streamChat(fleet.callersUrl(`router-${1 + (index % 2)}`), {
        workspace: 'demo',
        chat: `meanwhile-${index}`,
        messages: [{role: 'user', content: 'And this one?'}],
        maxTokens: SHORT_TOKENS,
      }),
    );
    for (const other of await Promise.all(others)) {
      expect(other).toMatchObject({status: 200, whole: true});
    }
    expect(await countRequests(fleet, serving)).toBe(before);
    expect(answer.isEnded()).toBe(false);
    expect(await answer.body).toMatch(DONE);
    expect(await exited).toBe(0);
  });

  // A sidecar freezes during an answer, and the next request of the chat waits
  // unread on the same connection. Another server must answer the waiting
  // request before its deadline; the partial answer ends at its deadline as
  // mayHaveRun. When the sidecar resumes, its late frames must not reach any
  // caller, neither of these requests nor of later ones on the same
  // connections.
  it('delivers no late frames after a freeze', async () => {
    const [url1, url2] = [1, 2].map(n => fleet.callersUrl(`router-${n}`));
    const half = await openChat(url1!, 'frozen', LONG_TOKENS, {
      deadlineMs: FROZEN_DEADLINE_MS,
    });
    const serving = await findServingSidecar(fleet);
    const before = await countRequests(fleet, serving);
    fleet.get(serving).signal('SIGSTOP');
    const waiting = openChat(url1!, 'frozen', SHORT_TOKENS, {
      deadlineMs: WAITING_DEADLINE_MS,
      earlierMessages: [
        {role: 'user', content: 'And for frozen?'},
        {role: 'assistant', content: 'The first one.'},
      ],
    });
    await waitUntil(async () => {
      const {state} = await fleet.dump('router-1');
      return (state['requestsByState'] as {offered?: number}).offered === 1;
    });
    const answered = await (await waiting).body;
    expect(answered).toMatch(DONE);
    expect(idsOf(answered).size).toBe(1);
    const cut = await half.body;
    expect(cut).not.toContain('[DONE]');
    expect(errorOf(cut)).toMatchObject({disposition: 'mayHaveRun'});
    expect(await countRequests(fleet, serving)).toBe(before);

    fleet.get(serving).signal('SIGCONT');
    await waitUntil(async () => {
      const {state} = await fleet.dump(serving);
      return (state['gate'] as {runs: number}).runs === 0;
    });
    for (const url of [url1!, url2!]) {
      const next = await (await openChat(url, 'frozen', SHORT_TOKENS)).body;
      expect(next).toMatch(DONE);
      expect(idsOf(next).size).toBe(1);
      expect(idsOf(next)).not.toEqual(idsOf(answered));
      expect(idsOf(next)).not.toEqual(idsOf(cut));
    }
  });

  // A sidecar is killed after the caller has read half of an answer. No other
  // server can continue the answer, so the stream must end with an error event
  // of disposition mayHaveRun. With [DONE] the caller would take half an answer
  // for a complete one. A retry is answered by another server.
  it('ends the answer with an error event when it is killed', async () => {
    const url = fleet.callersUrl('router-2');
    const answer = await openChat(url, 'killed', LONG_TOKENS);
    const serving = await findServingSidecar(fleet);
    await fleet.get(serving).end('SIGKILL');
    const body = await answer.body;
    expect(body).not.toContain('[DONE]');
    expect(errorOf(body)).toMatchObject({
      kind: expect.stringMatching(/./) as string,
      disposition: 'mayHaveRun',
    });
    const before = await countRequests(fleet, serving);
    const next = await streamChat(url, {
      workspace: 'demo',
      chat: 'killed',
      messages: [{role: 'user', content: 'Which voucher fits killed?'}],
      maxTokens: SHORT_TOKENS,
    });
    expect(next).toMatchObject({status: 200, whole: true});
    expect(await countRequests(fleet, serving)).toBe(before);
  });
});
