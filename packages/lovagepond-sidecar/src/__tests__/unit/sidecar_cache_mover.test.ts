import {Random} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {loadKeyHasher} from '@lovagepond/router';
import {expect, it} from 'vitest';
import {DEFAULT_GATE_SETTINGS, SidecarGate} from '../../index.js';
import {SidecarCacheMover} from '../../sidecar_cache_mover.js';
import {SidecarPeers} from '../../sidecar_peers.js';
import {CLOCK, EchoEngine, LOG, makeOffer} from './sidecar_test_utils.js';

/** Peers that record the moves of caches. */
class RecordingPeers extends SidecarPeers {
  readonly moved: string[] = [];

  override moveCache(
    address: string,
    {chat}: lovagepond.v1.MoveCacheRequest.$Properties,
  ): Promise<boolean> {
    this.moved.push(`${chat} to ${address}`);
    return Promise.resolve(true);
  }
}

// A chat's answer ends only during the drain. Its cache must be moved then, as
// the caches of finished chats are at the start; otherwise its context would be
// rebuilt on its return.
it('also moves chats whose answers end during the drain', async () => {
  const gate = new SidecarGate(
    {
      ...DEFAULT_GATE_SETTINGS,
      backendServer: 'engine-1',
      incarnation: 'inc-1',
    },
    new Random(1),
  );
  const peers = new RecordingPeers('engine-1', 'chat', 100);
  const member = {pool: 'chat', state: 'ready', address: 'x:2'};
  peers.updateMembership({members: [{...member, backendServer: 'engine-2'}]});
  const mover = new SidecarCacheMover({
    gate,
    backend: {kind: 'engine', engine: new EchoEngine()},
    peers,
    clock: CLOCK,
    log: LOG,
    hasher: await loadKeyHasher(),
    moveBytesPerSecond: 1e6,
    maxMovedChats: 10,
  });
  gate.offer(makeOffer('a', {chat: 'done'}), 0);
  gate.finish('a', {kind: 'done'}, 1);
  mover.recent.note({workspace: 'bakery', chat: 'done'});
  gate.offer(makeOffer('b', {chat: 'late'}), 2);
  const run = mover.run(new AbortController().signal);
  await expect.poll(() => peers.moved).toEqual(['done to x:2']);
  gate.finish('b', {kind: 'done'}, 3);
  mover.recent.note({workspace: 'bakery', chat: 'late'});
  await run;
  expect(peers.moved).toEqual(['done to x:2', 'late to x:2']);
});
