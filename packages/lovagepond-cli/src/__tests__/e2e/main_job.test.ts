import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Fleet, streamChat} from '../../../../../scripts/fleet_processes.mjs';

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
