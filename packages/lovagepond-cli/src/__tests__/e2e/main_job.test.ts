import {readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Fleet, streamChat} from '../../../../../scripts/fleet_processes.mjs';

/** By a label whose values appear only once something went wrong. */
const MAY_BE_EMPTY: ReadonlySet<string> = new Set([
  'lovagepond_failures_total',
  'lovagepond_frames_dropped_total',
  'lovagepond_refusals_total',
]);

// Separate processes over loopback, each from its own file of
// examples/loopback: two routers, three sidecars with a stand-in for a model
// engine each, one control member.
describe('the main job', () => {
  const fleet = new Fleet();
  const question = {role: 'user', content: 'Which voucher fits? '.repeat(40)};

  beforeAll(async () => {
    await fleet.start('examples/loopback');
  });

  afterAll(async () => {
    await fleet.end();
  });

  it('brings a chat back to its context through another router', async () => {
    const chat = {workspace: 'demo', chat: 'chat-1'};
    const first = await streamChat(fleet.callersUrl('router-1'), {
      ...chat,
      messages: [question],
    });
    expect(first).toMatchObject({status: 200, whole: true, cachedTokens: 0});
    const second = await streamChat(fleet.callersUrl('router-2'), {
      ...chat,
      messages: [
        question,
        {role: 'assistant', content: first.text},
        {role: 'user', content: 'And in autumn?'},
      ],
    });
    expect(second).toMatchObject({status: 200, whole: true});
    expect(second.cachedTokens).toBeGreaterThan(0);
  });

  it('counts reuse, skew, control traffic and refusals by kind', async () => {
    const url = fleet.callersUrl('router-2');
    const stranger = await streamChat(url, {
      workspace: 'stranger',
      chat: 'chat-1',
      messages: [question],
    });
    expect(stranger.status).toBe(403);
    const path = '/v1/chat/completions';
    const malformed = await fetch(url + path, {method: 'POST', body: '{'});
    expect(malformed.status).toBe(400);
    const text = await fleet.metrics('router-2');
    const valueOf = (name: string, labels = ''): number => {
      const pattern = `^lovagepond_${name}\\{[^}]*${labels}[^}]*\\} (\\S+)$`;
      return Number(new RegExp(pattern, 'm').exec(text)?.[1]);
    };
    expect(valueOf('returning_chats_total')).toBe(1);
    expect(valueOf('returning_chats_warm_total')).toBe(1);
    for (const direction of ['received', 'sent']) {
      const label = `direction="${direction}"`;
      expect(valueOf('control_bytes_total', label)).toBeGreaterThan(0);
    }
    expect(valueOf('load_skew_ratio', 'pool="chat-models"')).toBeGreaterThan(0);
    expect(valueOf('refusals_total', 'kind="unknownWorkspace"')).toBe(1);
    expect(valueOf('refusals_total', 'kind="badRequest"')).toBe(1);
  });

  // Metrics are read from the dumps of packages that change on their own: a
  // renamed field would leave its metric without a value and nobody would see.
  it.each(['router-2', 'sidecar-1', 'control-1'])(
    'finds a value for each metric of %s',
    async name => {
      const text = await fleet.metrics(name);
      const names = [...text.matchAll(/^# TYPE (lovagepond_\S+)/gm)];
      const empty = names
        .map(([, metric = '']) => metric)
        .filter(metric => !text.includes(`\n${metric}{`))
        .filter(metric => !MAY_BE_EMPTY.has(metric));
      expect(names.length).toBeGreaterThan(5);
      expect(empty).toEqual([]);
    },
  );

  // An operator signals a running router: SIGUSR2 for a dump, SIGHUP after an
  // edit. Neither may end the process; the dump holds no text of any chat.
  it('dumps and reloads by signal, and dumps by ctl', async () => {
    const router = fleet.get('router-2');
    const {dataFolder = '', address = ''} = router.settings!['platform']!;
    expect(await fleet.ctl('dump', address)).toMatchObject({
      [address]: {version: 1, role: 'router'},
    });
    router.signal('SIGUSR2');
    await router.printed('state dumped');
    const [file = ''] = readdirSync(dataFolder);
    const dump = readFileSync(join(dataFolder, file), 'utf8');
    expect(JSON.parse(dump)).toMatchObject({version: 1, role: 'router'});
    expect(dump).not.toContain('voucher');

    const text = readFileSync(router.file!, 'utf8');
    const edited = text
      .replace('[platform]', '[platform]\nlogLevel = debug')
      .replace('[callers]', '[callers]\nmaxBody = 2MB');
    writeFileSync(router.file!, edited);
    router.signal('SIGHUP');
    await router.printed('needs a restart');
    expect(router.output).toMatch(/"key":"logLevel".*setting taken over/);
    expect(router.output).toMatch(/"key":"maxBody".*needs a restart/);
  });

  // The only control host loses its power. Callers notice nothing: routers
  // serve on with the configuration they hold. It comes back with its disk;
  // the accepted configuration must be there, or routers would later be given
  // an older one than they hold.
  it('keeps the configuration over the death of a control host', async () => {
    await fleet.get('control-1').end('SIGKILL');
    const answer = await streamChat(fleet.callersUrl('router-2'), {
      workspace: 'demo',
      chat: 'chat-3',
      messages: [question],
    });
    expect(answer).toMatchObject({status: 200, whole: true});
    await fleet.restart('control-1');
    const configuration = await fleet.ctl('configuration');
    expect(configuration).toMatchObject({revision: 1});
  });

  // A caller streams an answer longer than the router's announce delay and
  // grace time while that router is told to stop. Readiness goes first, so
  // that the balancer sends nobody new; then the address closes. The answer
  // must still arrive whole, and the process must end by itself with code 0.
  it('stops a router without cutting the answer in flight', async () => {
    const router = fleet.get('router-1');
    const answer = streamChat(fleet.callersUrl('router-1'), {
      workspace: 'demo',
      chat: 'chat-2',
      messages: [question],
      maxTokens: 200,
    });
    const exited = router.end('SIGTERM');
    expect(await answer).toMatchObject({status: 200, whole: true});
    expect(await exited).toBe(0);
    expect(router.output).toMatch(/readiness withdrawn[^]*draining[^]*ended/);
  });
});
