import {readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Fleet, streamChat} from '../../../../../scripts/fleet_processes.mjs';

/** Metrics whose label values appear only after a failure. */
const MAY_BE_EMPTY: ReadonlySet<string> = new Set([
  'lovagepond_failures_total',
  'lovagepond_frames_dropped_total',
  'lovagepond_refusals_total',
  // By pool of the gateways, of which there are none here.
  'lovagepond_retries_left',
  'lovagepond_control_retries_granted_total',
  'lovagepond_control_retries_refused_total',
]);

// Separate processes over loopback, each with its own settings file of
// examples/loopback: two routers, three sidecars with a fake model engine each,
// and one control member.
describe('the main job', () => {
  const fleet = new Fleet();
  const question = {role: 'user', content: 'Which voucher fits? '.repeat(40)};

  beforeAll(async () => {
    await fleet.start('examples/loopback');
  });

  afterAll(async () => {
    await fleet.end();
  });

  it('routes a returning chat to its context at another router', async () => {
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

  it('exports reuse, skew, control traffic and refusals by kind', async () => {
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

  // Metrics are read by name from the state dumps of other packages. A renamed
  // field of a dump would silently leave its metric without a value.
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

  // SIGUSR2 writes a state dump and SIGHUP reloads the settings file. Neither
  // may end the process, and the dump must not contain text of any chat.
  it('dumps and reloads on signals, and dumps through ctl', async () => {
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

  // The only control host loses power, and routers keep serving callers with
  // the configuration in use. After a restart with its disk, control must still
  // have the accepted configuration: otherwise it would send routers an older
  // one.
  it('keeps the configuration when the control host fails', async () => {
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

  // A router gets SIGTERM while it streams an answer that takes longer than its
  // announce delay and grace time. It first withdraws readiness, so that the
  // load balancer sends no new callers, then stops listening. The answer must
  // arrive complete, and the process must exit with code 0.
  it('stops a router without breaking the answer in flight', async () => {
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
