import {EMPTY_CONFIGURATION} from '@lovagepond/core';
import {describe, expect, it} from 'vitest';
import {SidecarAttempts} from '../../sidecar_attempts.js';
import {SidecarCacheIndex} from '../../sidecar_cache_index.js';
import {SidecarFencing} from '../../sidecar_fencing.js';
import {ByteRate, planMoves} from '../../sidecar_kv_moves.js';
import {REVISION_CHECK, SidecarRevisions} from '../../sidecar_revisions.js';

describe('the cache index', () => {
  // The engine's events arrive late or never. A chat stored before the gap may
  // have been evicted during it: marked as warm, it would be held for a lost
  // context; marked as cold, it would be sent away from a cached one.
  it('reports everything older than a gap as unknown', () => {
    const index = new SidecarCacheIndex(8);
    index.apply(1, 'w', 'old', 100);
    expect(index.read('w', 'old')).toEqual({warmth: 'warm', tokens: 100});
    expect(index.read('w', 'never')).toEqual({warmth: 'cold', tokens: 0});
    index.apply(5, 'w', 'new', 50);
    expect(index.read('w', 'old')).toEqual({warmth: 'unknown', tokens: 100});
    expect(index.read('w', 'never').warmth).toBe('unknown');
    expect(index.read('w', 'new').warmth).toBe('warm');
    index.apply(3, 'w', 'new', 0);
    expect(index.read('w', 'new').warmth).toBe('warm');
    index.apply(6, 'w', 'old', 0);
    expect(index.read('w', 'old').warmth).toBe('unknown');
    index.noteGap(7);
    expect(index.read('w', 'new').warmth).toBe('unknown');
    // After an engine restart the sequence starts again, so its events are not
    // duplicates.
    index.noteGap(0);
    index.apply(1, 'w', 'new', 60);
    expect(index.read('w', 'new')).toEqual({warmth: 'warm', tokens: 60});
    index.reset();
    expect(index.read('w', 'new')).toEqual({warmth: 'unknown', tokens: 0});
  });

  it('marks a served chat as warm only after an event', () => {
    const index = new SidecarCacheIndex(2);
    index.noteServed('w', 'a', 70);
    expect(index.read('w', 'a')).toEqual({warmth: 'unknown', tokens: 70});
    index.apply(1, 'w', 'a', 80);
    index.noteServed('w', 'a', 90);
    expect(index.read('w', 'a')).toEqual({warmth: 'warm', tokens: 90});
  });

  it('is bounded and reports evicted chats as unknown', () => {
    const index = new SidecarCacheIndex(2);
    for (const [sequence, chat] of ['a', 'b', 'c'].entries()) {
      index.apply(sequence + 1, 'w', chat, 10);
    }
    expect(index.size).toBe(2);
    expect(index.read('w', 'a').warmth).toBe('unknown');
  });
});

describe('fencing of orders', () => {
  // An order of a deposed leader arrives late, right after the sidecar
  // restarted and lost its record of a newer order. No order may pass before
  // the floor of a majority is known, and the old one never.
  it('passes nothing after a restart before the floor is known', () => {
    const fencing = new SidecarFencing();
    const stale = {orderId: 'old', fencingToken: 7};
    expect(fencing.check(stale)).toBe('wait');
    fencing.raiseFloor(9);
    expect(fencing.check(stale)).toBe('fenced');
    const next = {orderId: 'new', fencingToken: 10};
    expect(fencing.check(next)).toBe('pass');
    expect(fencing.check(next)).toBe('running');
    expect(fencing.check({orderId: 'x', fencingToken: 11})).toBe('wait');
    fencing.finish('new', {outcome: 'done', message: ''});
    expect(fencing.check(next)).toBe('ended');
    expect(fencing.check({orderId: 'y', fencingToken: 10})).toBe('fenced');
    fencing.raiseFloor(3);
    expect(fencing.floor).toBe(10);
  });
});

describe('revisions', () => {
  // A restarted sidecar gets an old configuration from a router. It must not
  // serve with it before a majority has confirmed a revision, and revisions
  // must never decrease.
  it('only increase, and allow requests once a majority confirmed one', () => {
    const revisions = new SidecarRevisions({serveUnconfirmed: false});
    revisions.install({...EMPTY_CONFIGURATION, revision: 5});
    expect(revisions.mayServe()).toBe(false);
    revisions.confirm(7);
    expect(revisions.mayServe()).toBe(false);
    expect(revisions.install({...EMPTY_CONFIGURATION, revision: 7})).toBe(true);
    expect(revisions.mayServe()).toBe(true);
    expect(revisions.install({...EMPTY_CONFIGURATION, revision: 6})).toBe(
      false,
    );
    expect(revisions.revision).toBe(7);
    expect(revisions.compare(6)).toBe(REVISION_CHECK.ROUTER_BEHIND);
    expect(revisions.compare(8)).toBe(REVISION_CHECK.SIDECAR_BEHIND);
  });
});

describe('attempts', () => {
  // So many attempts end that records are evicted. A revoke of an attempt that
  // ran must not be answered "revoked" because its record is gone.
  it('answer revokes of evicted records as unknown', () => {
    const attempts = new SidecarAttempts({
      refusalRetentionMs: 1_000,
      attemptRetentionMs: 1_000,
      maxAttempts: 2,
    });
    for (const attemptId of ['a', 'b', 'c']) {
      attempts.hold(attemptId);
      attempts.dispatch(attemptId);
      attempts.finish(attemptId, false, 0);
    }
    expect(attempts.size).toBe(2);
    expect(attempts.revoke('a', 500)).toBe('unknown');
    expect(attempts.revoke('b', 500)).toBe('dispatched');
    expect(attempts.revoke('z', 1_500)).toBe('revoked');
  });
});

describe('attempts that were revoked before their arrival', () => {
  // Routers revoke attempts that are still in transit on an unresponsive
  // connection, while many other refusals cause evictions. Each attempt that
  // was answered "revoked" must be refused when it arrives.
  it('are never evicted to save space', () => {
    const attempts = new SidecarAttempts({
      refusalRetentionMs: 1_000,
      attemptRetentionMs: 1_000,
      maxAttempts: 4,
    });
    const outcomes = ['a', 'b', 'c'].map(name => attempts.revoke(name, 0));
    expect(outcomes).toEqual(['revoked', 'revoked', 'unknown']);
    for (let index = 0; index < 10; index += 1) {
      attempts.refuse(`refused-${index}`, 0);
    }
    expect(attempts.stateOf('a')).toBe('notRun');
    expect(attempts.size).toBe(4);
    attempts.expire(1_000);
    expect(attempts.size).toBe(0);
  });
});

describe('cache moves', () => {
  it('start with the chats that save most, within the byte rate', () => {
    const chats = ['a', 'b', 'gone'].map(chat => ({workspace: 'w', chat}));
    const tokens: Record<string, number> = {a: 100, b: 900, gone: 900};
    const moves = planMoves(chats, {
      warmTokens: ({chat}) => tokens[chat] ?? 0,
      nextServer: ({chat}) =>
        chat === 'gone' ? undefined : {name: 'engine-2', address: 'x:1'},
    });
    expect(moves.map(({chat}) => chat)).toEqual(['b', 'a']);
    const rate = new ByteRate(1_000);
    expect(rate.waitMs(0)).toBe(0);
    rate.spend(500, 0);
    rate.spend(500, 0);
    expect(rate.waitMs(400)).toBe(600);
  });
});
