import {afterEach, describe, expect, it} from 'vitest';
import {
  type BackendServer,
  type ConfigurationContent,
  SERVER_STATE,
} from '@lovagepond/core';
import {
  beginStream,
  CONTENT,
  GatewayHarness,
  type HarnessOptions,
  NAMES,
  type Script,
} from './gateway_harness.js';
import {makeHistory, type StreamHistory} from './listed_versions.js';

let harness: GatewayHarness | undefined;

afterEach(() => {
  harness?.stop();
  harness = undefined;
});

function eventsFrom(first: number, last: number): string {
  let text = '';
  for (let id = first; id <= last; id += 1) text += `id: ${id}\ndata: x\n\n`;
  return text;
}

const breaks: Script = (req, res) => {
  beginStream(req, res);
  res.write(eventsFrom(1, 2), () => {
    req.socket.end();
  });
};

const resumes: Script = (req, res) => {
  beginStream(req, res);
  res.end(eventsFrom(Number(req.headers['last-event-id'] ?? 0) + 1, 4));
};

const breaksAndExits: Script = (req, res) => {
  const port = req.socket.localPort ?? 0;
  beginStream(req, res);
  res.write(eventsFrom(1, 2), () => {
    harness?.crash(port);
  });
};

const OTHER_KEY = 'key-of-sued';

const TWO_WORKSPACES = {
  ...CONTENT,
  workspaces: [
    ...CONTENT.workspaces,
    {name: 'sued', apiKeys: [OTHER_KEY], priority: 0},
  ],
} as ConfigurationContent;

/** The selectors send to two pools alike. */
const SPLIT_CONTENT: ConfigurationContent = {
  ...CONTENT,
  pools: CONTENT.pools.flatMap(pool => [pool, {...pool, name: 'others'}]),
  selectors: CONTENT.selectors.map(selector => ({
    ...selector,
    poolWeights: [
      {pool: 'servers', weight: 1},
      {pool: 'others', weight: 1},
    ],
  })),
};

async function startFleet(
  servers: readonly (readonly [version: string, script: Script])[],
  more: (at: number) => Partial<BackendServer> = () => ({}),
  content: ConfigurationContent = TWO_WORKSPACES,
  options: Pick<HarnessOptions, 'history'> = {},
): Promise<GatewayHarness> {
  harness = await GatewayHarness.start(
    servers.map(([, script]) => script),
    {
      ...options,
      content,
      listed: at => ({
        labels: {version: servers[at]?.[0] ?? ''},
        ...more(at),
      }),
    },
  );
  return harness;
}

const CHAT = {path: '/chat/a', method: 'POST'};

function named(id: string): Record<string, string> {
  return {[NAMES.requestId]: id};
}

function takingUp(first: string, lastEventId: string): Record<string, string> {
  return {[NAMES.resumes]: first, 'last-event-id': lastEventId};
}

// Guards against responses that hold events of two software versions.
describe('a stream that breaks off within a response', () => {
  it('goes on at a server of the version that began it', async () => {
    const fleet = await startFleet([
      ['v1.1', breaks],
      ['v1', resumes],
      ['v1', resumes],
      ['v1', resumes],
      ['v1.1', resumes],
    ]);
    const res = await fleet.call(CHAT);
    expect(res).toMatchObject({body: eventsFrom(1, 4), whole: true});
    expect(fleet.arrivals).toEqual(['server-0', 'server-4']);
  });

  it('is cut off if no server of its version is left', async () => {
    const fleet = await startFleet([
      ['v1.1', breaksAndExits],
      ['v1', resumes],
    ]);
    const res = await fleet.call(CHAT);
    expect(res).toMatchObject({body: eventsFrom(1, 2), whole: false});
    expect(fleet.arrivals).toEqual(['server-0']);
  });

  // The connection was lost, but the server still runs.
  it('goes on at the same server if no other has its version', async () => {
    let calls = 0;
    const breaksOnce: Script = (...exchange) => {
      calls += 1;
      (calls === 1 ? breaks : resumes)(...exchange);
    };
    const fleet = await startFleet([
      ['v1.1', breaksOnce],
      ['v1', resumes],
    ]);
    const res = await fleet.call(CHAT);
    expect(res).toMatchObject({body: eventsFrom(1, 4), whole: true});
    expect(fleet.arrivals).toEqual(['server-0', 'server-0']);
  });

  it('goes on at a server that began to leave, if no other can', async () => {
    const fleet = await startFleet([
      ['v1.1', breaksAndExits],
      ['v1', resumes],
      ['v1.1', resumes],
    ]);
    fleet.relist('server-2', {state: SERVER_STATE.DRAINING});
    const res = await fleet.call(CHAT);
    expect(res).toMatchObject({body: eventsFrom(1, 4), whole: true});
    expect(fleet.arrivals).toEqual(['server-0', 'server-2']);
  });

  // The first server has sent no event, so the stream begins at the second.
  it('is bound to the server of its first event', async () => {
    const exitsBefore: Script = req => {
      req.socket.destroy();
    };
    const fleet = await startFleet([
      ['v1.1', exitsBefore],
      ['v1', resumes],
    ]);
    const first = await fleet.call({...CHAT, headers: named('first')});
    expect(first.whole).toBe(true);
    expect(fleet.arrivals.at(-1)).toBe('server-1');
    const next = await fleet.call({...CHAT, headers: takingUp('first', '2')});
    expect(next).toMatchObject({status: 200, body: eventsFrom(3, 4)});
    expect(fleet.arrivals.at(-1)).toBe('server-1');
  });
});

// Guards against requests that join events of two streams or versions.
describe('a request that resumes a stream', () => {
  it.each([
    ['that no gateway knows', takingUp('never-seen', '2')],
    ['with an id of 8 KB', takingUp('x'.repeat(8_000), '2')],
    ['without naming it', {'last-event-id': '2'}],
    ['with an empty name', takingUp('', '2')],
    ['with two names', takingUp('first, first', '2')],
    ['without an event', {[NAMES.resumes]: 'never-seen'}],
  ])('%s is refused as not run beside two versions', async (_of, headers) => {
    const fleet = await startFleet([
      ['v1.1', resumes],
      ['v1', resumes],
    ]);
    const res = await fleet.call({...CHAT, headers});
    expect(res.status).toBe(503);
    expect(res.headers['retry-after']).toBeUndefined();
    expect(JSON.parse(res.body)).toMatchObject({
      error: {kind: 'streamUnknown'},
    });
    expect(fleet.arrivals).toEqual([]);
  });

  it('without naming it is run where all servers have one version', async () => {
    const fleet = await startFleet([
      ['v1', resumes],
      ['v1', resumes],
    ]);
    const res = await fleet.call({...CHAT, headers: {'last-event-id': '2'}});
    expect(res).toMatchObject({status: 200, body: eventsFrom(3, 4)});
  });

  // Guards against a gateway that knows only what is in service since its start.
  it.each([
    ['named', takingUp('lost', '2')],
    ['not named', {'last-event-id': '2'}],
  ])(
    'whose record is lost and that is %s is run only if there was one version',
    async (_how, headers) => {
      const gone = {pool: 'servers', version: 'v1', goneForMs: 800};
      const left = {pool: 'servers', version: 'v1.1'};
      let history: StreamHistory | undefined;
      const fleet = await startFleet(
        [['v1.1', resumes]],
        undefined,
        undefined,
        {
          history: () => history,
        },
      );
      const statusWith = async (
        versions: Parameters<typeof makeHistory>[0] | undefined,
      ): Promise<number> => {
        history = versions && makeHistory(versions);
        return (await fleet.call({...CHAT, headers})).status;
      };
      expect(await statusWith(undefined)).toBe(503);
      expect(await statusWith([left, gone])).toBe(503);
      expect(await statusWith([gone])).toBe(503);
      expect(fleet.arrivals).toEqual([]);
      expect(await statusWith([left])).toBe(200);
    },
  );

  it('of a kind that can not be resumed is refused', async () => {
    const fleet = await startFleet([['v1', resumes]]);
    const first = {path: '/talk/a', headers: named('first')};
    await fleet.call(first);
    const res = await fleet.call({
      path: '/talk/a',
      headers: takingUp('first', '2'),
    });
    expect(res.status).toBe(503);
    expect(fleet.arrivals).toEqual(['server-0']);
  });

  it('of another workspace is refused', async () => {
    const fleet = await startFleet([
      ['v1', resumes],
      ['v1.1', resumes],
    ]);
    const key = {[NAMES.apiKey]: OTHER_KEY};
    await fleet.call({...CHAT, headers: named('first')});
    const headers = {...takingUp('first', '2'), ...key};
    const res = await fleet.call({...CHAT, headers});
    expect(res.status).toBe(503);
  });

  it('whose version has gone is told when to come back', async () => {
    const fleet = await startFleet([
      ['v1.1', resumes],
      ['v1', resumes],
    ]);
    await fleet.call({...CHAT, headers: named('first')});
    const [first] = fleet.arrivals;
    fleet.removeServer(first ?? '');
    const res = await fleet.call({...CHAT, headers: takingUp('first', '2')});
    expect(res.status).toBe(503);
    expect(Number(res.headers['retry-after'])).toBeGreaterThan(0);
    expect(fleet.arrivals).toEqual([first]);
  });

  // The server runs the stream anew instead of after the caller's last event.
  it('gets no event that it has already', async () => {
    const ignores: Script = (req, res) => {
      beginStream(req, res);
      res.end(eventsFrom(1, 4));
    };
    const fleet = await startFleet([['v1', ignores]]);
    await fleet.call({...CHAT, headers: named('first')});
    const res = await fleet.call({...CHAT, headers: takingUp('first', '2')});
    expect(res.body).not.toContain('id: ');
  });

  it('runs in the pool of the stream although another is drawn', async () => {
    const fleet = await startFleet(
      [
        ['v1', resumes],
        ['v1', resumes],
      ],
      at => ({pool: at === 0 ? 'servers' : 'others'}),
      SPLIT_CONTENT,
    );
    for (let nth = 0; nth < 20; nth += 1) {
      await fleet.call({...CHAT, headers: named(`first-${nth}`)});
      const headers = takingUp(`first-${nth}`, '2');
      const res = await fleet.call({...CHAT, headers});
      expect(res.status).toBe(200);
      expect(fleet.arrivals.at(-1)).toBe(fleet.arrivals.at(-2));
    }
    expect(new Set(fleet.arrivals).size).toBe(2);
  });
});
