import {Readable} from 'node:stream';
import {type Logger} from '@lovagepond/core';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {request} from 'undici';
import {AdministrationServer, DEFAULT_OPERATOR_SETTINGS} from '../../index.js';
import {FakeAdministration} from './fake_administration.js';

const TOKEN = 'test-token';
const SILENT: Logger = {debug() {}, info() {}, warn() {}, error() {}};

interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown> & {error?: Record<string, unknown>};
}

describe('AdministrationServer', () => {
  let administration: FakeAdministration;
  let server: AdministrationServer;
  let origin: string;

  beforeEach(async () => {
    administration = new FakeAdministration();
    const settings = {
      ...DEFAULT_OPERATOR_SETTINGS,
      port: 0,
      token: TOKEN,
      maxBodyBytes: 4_096,
    };
    server = new AdministrationServer(administration, settings, SILENT);
    origin = `http://127.0.0.1:${await server.start()}`;
  });

  afterEach(() => server.stop());

  async function call(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
  ): Promise<Answer> {
    const res = await request(origin + path, {
      method,
      headers: {authorization: `Bearer ${TOKEN}`, ...headers},
      body: body === undefined ? null : JSON.stringify(body),
    });
    return {
      status: res.statusCode,
      body: (await res.body.json()) as Answer['body'],
    };
  }

  function change(id: string, base: number): Record<string, string> {
    return {'operation-id': id, 'if-match': `"${base}"`};
  }

  // A control member that lost its disk has an empty configuration. A read from
  // it would show every object as deleted.
  it('refuses reads that no majority confirms', async () => {
    administration.isNewest = false;
    for (const path of ['/v1/configuration', '/v1/configuration/pools/chat']) {
      const {status, body} = await call('GET', path);
      expect(status).toBe(503);
      expect(body.error).toMatchObject({kind: 'notLeader'});
    }
    const {status, body} = await call(
      'GET',
      '/v1/configuration?unconfirmed=true',
    );
    expect(status).toBe(200);
    expect(body['revision']).toBe(0);
  });

  // The connection breaks after a change was accepted and before the response
  // arrives. A retry with the same operation id must get the first response and
  // must not create a second revision.
  it('answers a retried change with the first answer', async () => {
    const content = {pools: [{name: 'chat', kind: 'engine'}]};
    const send = (): Promise<Answer> =>
      call('PUT', '/v1/configuration', content, change('op-1', 0));
    const first = await send();
    expect(first.body['revision']).toBe(1);
    expect(await send()).toEqual(first);
    expect(administration.revisions).toHaveLength(2);
  });

  // Two operators change different pools, both based on revision 0. One change
  // is accepted. The other is refused with a conflict that shows the accepted
  // change. No part of the refused change may be applied.
  it('accepts one of two concurrent changes and reports a conflict', async () => {
    const put = (name: string): Promise<Answer> => {
      const path = `/v1/configuration/pools/${name}`;
      return call('PUT', path, {kind: 'engine'}, change(name, 0));
    };
    const answers = await Promise.all([put('left'), put('right')]);
    const accepted = answers.filter(({status}) => status === 200);
    const refused = answers.filter(({status}) => status === 409);
    expect([accepted.length, refused.length]).toEqual([1, 1]);
    const acceptedPool =
      administration.revisions.at(-1)!.content.pools[0]!.name;
    expect(refused[0]!.body.error).toMatchObject({
      kind: 'conflict',
      disposition: 'notRun',
      currentRevision: 1,
      differences: [{place: `pools/${acceptedPool}`}],
    });
    expect(administration.revisions.at(-1)!.content.pools).toHaveLength(1);
  });

  // A configuration has three faults in three places. The response must report
  // all three, and none of the valid parts may be applied.
  it('refuses an invalid configuration and reports every fault', async () => {
    const content = {
      pools: [
        {name: 'chat', kind: 'engine'},
        {name: 'chat', kind: 'engine'},
      ],
      selectors: [
        {name: 's', workspaces: ['nobody'], requestKinds: ['none'], pools: ''},
      ],
    };
    const answer = await call(
      'PUT',
      '/v1/configuration',
      content,
      change('op-1', 0),
    );
    expect(answer.status).toBe(422);
    const faults = answer.body.error!['faults'] as {place: string}[];
    expect(faults.map(fault => fault.place)).toEqual([
      'pools[1].name',
      'selectors[0].workspaces',
      'selectors[0].requestKinds',
    ]);
    expect(administration.revisions).toHaveLength(1);
  });

  // A change of any kind must be refused as unauthorized when it is sent without
  // the operators' token or with a wrong one. Reads over loopback need no token.
  it('refuses changes without the token', async () => {
    const attempts = [
      call('PUT', '/v1/configuration', {}, {authorization: 'Bearer wrong'}),
      call('DELETE', '/v1/configuration/pools/x', undefined, {
        authorization: '',
      }),
      call('POST', '/v1/backend-servers/s/drain', {}, {authorization: TOKEN}),
      call('POST', '/v1/orders', {}, {authorization: 'Bearer '}),
      call('POST', '/v1/members', {}, {authorization: 'Bearer'}),
    ];
    for (const {status, body} of await Promise.all(attempts)) {
      expect([status, body.error!['kind']]).toEqual([401, 'unauthorized']);
    }
    const read = await call('GET', '/v1/dump', undefined, {authorization: ''});
    expect(read.status).toBe(200);
    expect(administration.revisions).toHaveLength(1);
    expect(administration.wanted.size).toBe(0);
  });

  // A body over the limit must be refused with status 413, whether its length
  // is declared or it is sent in chunks.
  it('refuses a body over the limit', async () => {
    const big = JSON.stringify({pools: 'x'.repeat(8_192)});
    const chunks = [
      Buffer.from(big.slice(0, 4_000)),
      Buffer.from(big.slice(4_000)),
    ];
    for (const body of [big, Readable.from(chunks)]) {
      const headers = {
        authorization: `Bearer ${TOKEN}`,
        ...change('op-1', 0),
      };
      const url = `${origin}/v1/configuration`;
      const res = await request(url, {
        method: 'PUT',
        headers,
        body,
      });
      const {error} = (await res.body.json()) as Answer['body'];
      expect([res.statusCode, error!['kind']]).toEqual([
        413,
        'payloadTooLarge',
      ]);
    }
    expect(administration.revisions).toHaveLength(1);
  });

  it('dry-runs, edits objects, restores and lists history', async () => {
    const path = '/v1/configuration/pools/chat';
    const pool = {kind: 'engine', loadBound: 1.4};
    const dry = await call('PUT', `${path}?dryRun=true`, pool, change('d', 0));
    expect(dry.body['differences']).toMatchObject([{place: 'pools/chat'}]);
    expect(administration.revisions).toHaveLength(1);
    await call('PUT', path, pool, change('a', 0));
    await call('DELETE', path, undefined, change('b', 1));
    const back = await call(
      'POST',
      '/v1/history/1/restore',
      undefined,
      change('c', 2),
    );
    expect(back.body['revision']).toBe(3);
    expect((await call('GET', path)).body['loadBound']).toBe(1.4);
    const history = await call('GET', '/v1/history');
    expect(history.body).toHaveLength(4);
  });

  it('names the leader, asks for retries and refuses malformed calls', async () => {
    const drain = (id = 'op-1'): Promise<Answer> =>
      call('POST', '/v1/backend-servers/s1/drain', {}, {'operation-id': id});
    administration.refusal = {kind: 'notLeader', leader: 'control-2'};
    expect((await drain()).body.error).toMatchObject({
      kind: 'notLeader',
      leader: 'control-2',
      retryAfterMs: 500,
    });
    administration.refusal = {kind: 'unknown'};
    expect((await drain()).body.error).toMatchObject({
      kind: 'outcomeUnknown',
      disposition: 'mayHaveRun',
    });
    administration.refusal = undefined;
    expect((await drain('')).status).toBe(400);
    expect((await call('GET', '/v1/nowhere')).body.error!['kind']).toBe(
      'notFound',
    );
    const order = {backendServer: 's1', action: 'explode'};
    const headers = {'operation-id': 'op-2'};
    expect((await call('POST', '/v1/orders', order, headers)).status).toBe(400);
    const member = {kind: 'promote', memberId: ''};
    const promoted = await call('POST', '/v1/members', member, headers);
    expect(promoted.body.error!['kind']).toBe('badRequest');
  });
});
