import {type ServerCrash, SERVER_STATE} from '@lovagepond/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {GatewayCrashWatch, REACHABILITY} from '../../gateway_crash_watch.js';
import {ServerState} from '../../gateway_server_state.js';
import {makeBackendServer} from './backend_servers.js';

describe('GatewayCrashWatch', () => {
  let crashes: ServerCrash[];
  let watch: GatewayCrashWatch;
  let state: ServerState;

  beforeEach(() => {
    crashes = [];
    watch = new GatewayCrashWatch(crash => crashes.push(crash));
    state = new ServerState(makeBackendServer('s'));
  });

  function probe(now: number, accepts: boolean): void {
    for (const {server} of watch.takeProbes(now)) {
      const {ACCEPTS, REFUSES} = REACHABILITY;
      watch.noteProbe(server.name, accepts ? ACCEPTS : REFUSES, now);
    }
  }

  it('takes a server that refuses connections for crashed', () => {
    watch.noteBroken(state, 'a', 0);
    watch.noteBroken(state, 'b', 1);
    expect(crashes).toEqual([]);
    expect(watch.undecided('a')).toBe(1);
    probe(2, false);
    expect(crashes).toEqual([
      {server: 's', requests: ['a', 'b'], crashedAt: 0},
    ]);
    expect(watch.undecided('a')).toBe(0);
  });

  // Guards against a lost answer being taken for a crash.
  it('takes a server that goes on accepting connections for alive', () => {
    watch.noteBroken(state, 'a', 0);
    for (let now = 0; now <= 1_000; now += 100) probe(now, true);
    expect(watch.undecided('a')).toBe(0);
    watch.noteListed(new Set(), 1_000);
    expect(crashes).toEqual([]);
  });

  it('adds requests that break off later', () => {
    watch.noteBroken(state, 'a', 0);
    watch.noteEnded('s', 1);
    watch.noteBroken(state, 'b', 2);
    expect(crashes.at(-1)?.requests).toEqual(['a', 'b']);
    expect(crashes.at(-1)?.crashedAt).toBe(0);
  });

  it('takes a server that is listed no more for crashed', () => {
    watch.noteBroken(state, 'a', 0);
    watch.noteListed(new Set(['s']), 1);
    expect(crashes).toEqual([]);
    watch.noteListed(new Set(), 2);
    expect(crashes).toHaveLength(1);
  });

  // Guards against the end of a release being put down to the requests it cuts.
  it('does not take a server that left for crashed', () => {
    watch.noteBroken(state, 'a', 0);
    state.server = {...state.server, state: SERVER_STATE.DRAINING};
    watch.noteBroken(state, 'b', 1);
    watch.noteListed(new Set(), 2);
    expect(crashes).toEqual([]);
    expect(watch.undecided('a')).toBe(0);
  });

  it('forgets what stays undecided', () => {
    watch.noteBroken(state, 'a', 0);
    watch.takeProbes(10_000);
    watch.noteListed(new Set(), 10_001);
    expect(crashes).toEqual([]);
  });
});
