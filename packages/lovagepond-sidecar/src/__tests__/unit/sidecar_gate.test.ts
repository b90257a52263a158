import {Random} from '@lovagepond/core';
import {describe, expect, it} from 'vitest';
import {type GateAction} from '../../sidecar_types.js';
import {DEFAULT_GATE_SETTINGS, SidecarGate} from '../../index.js';
import {makeOffer} from './sidecar_test_utils.js';

const SETTINGS = {
  ...DEFAULT_GATE_SETTINGS,
  backendServer: 'engine-1',
  incarnation: 'inc-1',
  floorTokens: 1_000,
};

function makeGate(): SidecarGate {
  const gate = new SidecarGate(SETTINGS, new Random(7));
  gate.admission.setPoolMean(
    {meanTokens: 0, ageMs: 0, readyServers: 6, ownTokens: 0},
    0,
  );
  return gate;
}

function kinds(actions: readonly GateAction[]): string[] {
  return actions.map(action => `${action.kind} ${action.attemptId}`);
}

describe('the gate', () => {
  it('dispatches within the floor, holds the next and serves it in turn', () => {
    const gate = makeGate();
    expect(kinds(gate.offer(makeOffer('a'), 0))).toEqual([
      'accept a',
      'dispatch a',
    ]);
    expect(kinds(gate.offer(makeOffer('b'), 1))).toEqual(['accept b']);
    expect(gate.load(1)).toEqual({
      runningTokens: 600,
      queuedTokens: 600,
      queuedRequests: 1,
    });
    expect(kinds(gate.finish('a', {kind: 'done'}, 50))).toEqual(['dispatch b']);
  });

  // A revoke arrives at the moment the engine gets capacity. Exactly one of
  // revoke and dispatch must succeed: a dispatched request must not be reported
  // as not run, nor a revoked one be dispatched.
  it('lets exactly one of revoke and dispatch win', () => {
    const gate = makeGate();
    gate.offer(makeOffer('a'), 0);
    gate.offer(makeOffer('b'), 0);
    expect(gate.revoke('a', 1).outcome).toBe('dispatched');
    const revoked = gate.revoke('b', 1);
    expect(revoked.outcome).toBe('revoked');
    expect(kinds(revoked.actions)).toEqual(['refuse b']);
    expect(kinds(gate.finish('a', {kind: 'done'}, 2))).toEqual([]);
    expect(gate.revoke('never-came', 3).outcome).toBe('revoked');
    expect(kinds(gate.offer(makeOffer('never-came'), 4))).toEqual([
      'refuse never-came',
    ]);
  });
});
