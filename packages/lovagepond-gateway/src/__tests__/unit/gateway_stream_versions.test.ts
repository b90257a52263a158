import {afterEach, describe, expect, it} from 'vitest';
import {beginStream, GatewayHarness, type Script} from './gateway_harness.js';

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
  res.end(eventsFrom(Number(req.headers['last-event-id']) + 1, 4));
};

async function startFleet(
  servers: readonly (readonly [version: string, script: Script])[],
): Promise<GatewayHarness> {
  harness = await GatewayHarness.start(
    servers.map(([, script]) => script),
    {listed: at => ({labels: {version: servers[at]?.[0] ?? ''}})},
  );
  return harness;
}

const CHAT = {path: '/chat/a', method: 'POST'};

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
});
