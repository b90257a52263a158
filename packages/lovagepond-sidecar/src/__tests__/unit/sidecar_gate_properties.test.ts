import {Random} from '@lovagepond/core';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  DEFAULT_GATE_SETTINGS,
  type GateAction,
  SidecarGate,
} from '../../index.js';
import {makeOffer} from './sidecar_test_utils.js';

const SEED = 730_114;
const FLOOR = 1_000;

/** Events of a router, an engine and the ledger for one attempt. */
const STEPS = [
  'offer',
  'revoke',
  'callerGone',
  'grant',
  'deny',
  'done',
  'failed',
  'notRun',
  'handOver',
  'tick',
  'drain',
] as const;

const step = fc.record({
  kind: fc.constantFrom(...STEPS),
  attempt: fc.nat(7),
  tokens: fc.integer({min: 1, max: 700}),
  gapMs: fc.nat(1_500),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Tracks the gate's actions for each attempt and fails on a contradiction. */
class ActionTrace {
  readonly dispatched = new Map<string, number>();
  readonly running = new Map<string, number>();
  readonly claiming = new Set<string>();
  readonly notRun = new Set<string>();
  readonly tokens = new Map<string, number>();

  note(actions: readonly GateAction[]): void {
    for (const {kind, attemptId} of actions) {
      if (kind === 'dispatch') {
        expect(this.notRun).not.toContain(attemptId);
        expect(this.dispatched.get(attemptId) ?? 0).toBe(0);
        this.dispatched.set(attemptId, 1);
        this.running.set(attemptId, this.tokens.get(attemptId) ?? 0);
        this.claiming.delete(attemptId);
      }
      if (kind === 'claim') this.claiming.add(attemptId);
      if (kind === 'releaseClaim') this.claiming.delete(attemptId);
      if (kind === 'refuse') {
        expect(this.running.has(attemptId)).toBe(false);
        this.notRun.add(attemptId);
      }
    }
  }
}

function perform(
  gate: SidecarGate,
  trace: ActionTrace,
  now: number,
  s: Step,
): void {
  const attemptId = `attempt-${s.attempt}`;
  const running = trace.running.has(attemptId);
  const claiming = trace.claiming.has(attemptId);
  const end = (kind: 'done' | 'failed' | 'notRun'): void => {
    if (!running) return;
    trace.running.delete(attemptId);
    trace.note(gate.finish(attemptId, {kind, message: ''}, now));
  };
  const handlers: Record<Step['kind'], () => void> = {
    offer: () => {
      const nonRepeatable = s.attempt % 3 === 0;
      const workspace = `workspace-${s.attempt % 2}`;
      if (!trace.tokens.has(attemptId)) trace.tokens.set(attemptId, s.tokens);
      const {tokens} = s;
      // On both sides of the drain limit.
      const deadlineAt = now + 1_000 * (1 + (s.attempt % 4));
      trace.note(
        gate.offer(
          makeOffer(attemptId, {nonRepeatable, workspace, tokens, deadlineAt}),
          now,
        ),
      );
    },
    revoke: () => {
      const {outcome, actions} = gate.revoke(attemptId, now);
      if (outcome === 'revoked') {
        expect(running).toBe(false);
        trace.claiming.delete(attemptId);
        trace.notRun.add(attemptId);
      }
      if (running) expect(outcome).toBe('dispatched');
      trace.note(actions);
    },
    callerGone: () => trace.note(gate.callerGone(attemptId, now)),
    grant: () => {
      if (claiming) trace.note(gate.claimGranted(attemptId, now));
    },
    deny: () => {
      if (!claiming) return;
      trace.claiming.delete(attemptId);
      trace.note(gate.claimDenied(attemptId, now));
      trace.notRun.add(attemptId);
    },
    done: () => end('done'),
    failed: () => end('failed'),
    notRun: () => end('notRun'),
    handOver: () => trace.note(gate.handOver('taker', 700, now).actions),
    tick: () => trace.note(gate.tick(now)),
    drain: () => trace.note(gate.startDraining(now, 3_000)),
  };
  handlers[s.kind]();
}

describe('the gate under any order of events', () => {
  // Routers offer, repeat, revoke and disconnect; claims are granted late; runs
  // end in every way; takers ask for work; the server drains. In any order, an
  // attempt reported as "not run" is never dispatched, none is dispatched
  // twice, and no tokens remain counted once all work has ended.
  it('dispatches nothing twice and nothing reported as "not run"', () => {
    const property = fc.property(
      fc.array(step, {minLength: 20, maxLength: 120}),
      steps => {
        const gate = new SidecarGate(
          {
            ...DEFAULT_GATE_SETTINGS,
            backendServer: 'engine-1',
            incarnation: 'inc-1',
            floorTokens: FLOOR,
          },
          new Random(1),
        );
        const trace = new ActionTrace();
        let now = 0;
        for (const s of steps) {
          now += s.gapMs;
          perform(gate, trace, now, s);
        }
        for (let round = 0; round < 20; round += 1) {
          now += 1_000;
          for (const attemptId of [...trace.claiming]) {
            trace.claiming.delete(attemptId);
            trace.note(gate.claimDenied(attemptId, now));
          }
          for (const attemptId of [...trace.running.keys()]) {
            trace.running.delete(attemptId);
            trace.note(gate.finish(attemptId, {kind: 'done'}, now));
          }
          trace.note(gate.tick(now));
        }
        expect(gate.idle).toBe(true);
        expect(gate.load(now)).toEqual({
          runningTokens: 0,
          queuedTokens: 0,
          queuedRequests: 0,
        });
      },
    );
    fc.assert(property, {seed: SEED, numRuns: 500});
  });
});
