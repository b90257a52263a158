import {type ServerCrash, SERVER_STATE} from '@lovagepond/core';
import {beforeEach, describe, expect, it} from 'vitest';
import {
  GatewayCrashDetector,
  REACHABILITY,
} from '../../gateway_crash_detector.js';
import {ServerState} from '../../gateway_server_state.js';
import {makeBackendServer} from './backend_servers.js';

describe('GatewayCrashDetector', () => {
  let crashes: ServerCrash[];
  let detector: GatewayCrashDetector;
  let state: ServerState;

  beforeEach(() => {
    crashes = [];
    detector = new GatewayCrashDetector(crash => crashes.push(crash));
    state = new ServerState(makeBackendServer('s'));
  });

  function probe(now: number, accepts: boolean): void {
    for (const {server} of detector.takeDueProbes(now)) {
      const {ACCEPTS, REFUSES} = REACHABILITY;
      detector.noteProbe(server.name, accepts ? ACCEPTS : REFUSES, now);
    }
  }

  it('reports a server that refuses connections as crashed', () => {
    detector.noteConnectionLost(state, ['a'], 0);
    detector.noteConnectionLost(state, ['b'], 1);
    expect(crashes).toEqual([]);
    expect(detector.undecided('a')).toBe(1);
    probe(2, false);
    expect(crashes).toEqual([
      {server: 's', requests: [['a'], ['b']], crashedAt: 0},
    ]);
    expect(detector.undecided('a')).toBe(0);
  });

  // Guards against a lost response being counted as a crash.
  it('does not report a server that keeps accepting connections', () => {
    detector.noteConnectionLost(state, ['a'], 0);
    for (let now = 0; now <= 1_000; now += 100) probe(now, true);
    expect(detector.undecided('a')).toBe(0);
    detector.noteListed(new Set(), 1_000);
    expect(crashes).toEqual([]);
  });

  it('adds requests whose connections are lost later', () => {
    detector.noteConnectionLost(state, ['a'], 0);
    detector.noteExited('s', 1);
    detector.noteConnectionLost(state, ['b'], 2);
    expect(crashes.at(-1)?.requests).toEqual([['a'], ['b']]);
    expect(crashes.at(-1)?.crashedAt).toBe(0);
  });

  it('reports a server that is no longer listed as crashed', () => {
    detector.noteConnectionLost(state, ['a'], 0);
    detector.noteListed(new Set(['s']), 1);
    expect(crashes).toEqual([]);
    detector.noteListed(new Set(), 2);
    expect(crashes).toHaveLength(1);
  });

  // Guards against blaming requests for the planned exit of a server that cuts
  // them off, as in a rollout.
  it('does not report a server that was draining as crashed', () => {
    detector.noteConnectionLost(state, ['a'], 0);
    state.server = {...state.server, state: SERVER_STATE.DRAINING};
    detector.noteConnectionLost(state, ['b'], 1);
    detector.noteListed(new Set(), 2);
    expect(crashes).toEqual([]);
    expect(detector.undecided('a')).toBe(0);
  });

  it('drops a server that stays undecided for too long', () => {
    detector.noteConnectionLost(state, ['a'], 0);
    detector.takeDueProbes(10_000);
    detector.noteListed(new Set(), 10_001);
    expect(crashes).toEqual([]);
  });
});
