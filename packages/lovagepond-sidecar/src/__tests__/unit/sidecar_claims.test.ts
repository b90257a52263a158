import {Random} from '@lovagepond/core';
import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  DEFAULT_GATE_SETTINGS,
  type GateAction,
  SidecarGate,
} from '../../index.js';
import {
  type ClaimAction,
  type ClaimAnswer,
  SidecarClaims,
} from '../../sidecar_claims.js';
import {makeOffer} from './sidecar_test_utils.js';

const SEED = 88_021;
const KEY = 'redeem-1';

/** Control's ledger for one key, bound to one attempt. */
class FakeLedger {
  #entry: {attempt: string; incarnation: string; state: string} | undefined;
  readonly #released = new Set<string>();
  #incarnation = '';

  register(incarnation: string): void {
    this.#incarnation = incarnation;
    const open = this.#entry?.state === 'open';
    if (open && this.#entry) this.#entry.state = 'outcomeUnknown';
  }

  claim(attempt: string, incarnation: string): string {
    const entry = this.#entry;
    if (entry?.state === 'open') {
      return entry.attempt === attempt ? 'granted' : 'inProgress';
    }
    if (entry) return entry.state;
    if (this.#released.has(attempt)) return 'revoked';
    if (incarnation !== this.#incarnation) return 'wrongIncarnation';
    this.#entry = {attempt, incarnation, state: 'open'};
    return 'granted';
  }

  record(attempt: string, outcome: string): boolean {
    if (outcome === 'notRun') this.#released.add(attempt);
    const entry = this.#entry;
    if (entry?.attempt !== attempt) return outcome === 'notRun';
    if (outcome === 'notRun') this.#entry = undefined;
    else entry.state = outcome === 'ran' ? 'recorded' : 'outcomeUnknown';
    return true;
  }
}

/** A message in transit, which the test delivers, drops or defers. */
interface Message {
  readonly deliver: () => void;
  /** The transport may deliver it again. */
  readonly repeatable: boolean;
}

/** Callers, one sidecar at a time, the ledger and a run-counting service. */
class Harness {
  readonly ledger = new FakeLedger();
  readonly messages: Message[] = [];
  readonly reported = new Map<string, string>();
  runs = 0;
  readonly dispatchedAttempts = new Set<string>();
  attempts = 0;
  #incarnation = 0;
  #gate!: SidecarGate;
  #claims!: SidecarClaims;
  now = 0;

  constructor() {
    this.restart();
  }

  /** Restarts the sidecar without its state; messages in transit remain. */
  restart(): void {
    this.#incarnation += 1;
    this.ledger.register(this.#name);
    this.#gate = new SidecarGate(
      {
        ...DEFAULT_GATE_SETTINGS,
        backendServer: 'service-1',
        incarnation: this.#name,
      },
      new Random(1),
    );
    this.#claims = new SidecarClaims({
      claimTimeoutMs: 1_000,
      recordTimeoutMs: 10_000,
      retryMs: 100,
    });
  }

  get #name(): string {
    return `inc-${this.#incarnation}`;
  }

  /** Retries the call under a new attempt. */
  offer(): void {
    this.attempts += 1;
    const attemptId = this.attemptId;
    const incarnation = this.#name;
    const offer = makeOffer(attemptId, {incarnation, nonRepeatable: true});
    this.#perform(this.#gate.offer(offer, this.now));
  }

  get attemptId(): string {
    return `${KEY}.${this.attempts}`;
  }

  revoke(): void {
    const {attemptId} = this;
    const {outcome, actions} = this.#gate.revoke(attemptId, this.now);
    if (outcome === 'revoked') this.reported.set(attemptId, 'notRun');
    this.#perform(actions);
  }

  tick(): void {
    this.now += 150;
    this.#performClaims(this.#claims.tick(this.now));
    this.#perform(this.#gate.tick(this.now));
  }

  /** Posts a message that only the incarnation that sent it can receive. */
  #post(run: () => void): void {
    const sender = this.#incarnation;
    this.messages.push({
      repeatable: true,
      deliver: () => {
        if (sender === this.#incarnation) run();
      },
    });
  }

  #perform(actions: readonly GateAction[]): void {
    for (const {kind, attemptId} of actions) {
      if (kind === 'claim') {
        this.#performClaims(this.#claims.start(attemptId, this.now));
      }
      if (kind === 'releaseClaim') {
        this.#performClaims(this.#claims.release(attemptId, this.now));
      }
      if (kind === 'refuse') this.reported.set(attemptId, 'notRun');
      if (kind === 'dispatch') this.#dispatch(attemptId);
    }
  }

  #dispatch(attemptId: string): void {
    this.dispatchedAttempts.add(attemptId);
    // The service may receive the call after its sidecar has crashed.
    this.messages.push({repeatable: false, deliver: () => (this.runs += 1)});
    this.#post(() => {
      const finished = this.#claims.finished(attemptId, 'ran', this.now);
      this.#performClaims(finished);
      this.#perform(this.#gate.finish(attemptId, {kind: 'done'}, this.now));
    });
  }

  #performClaims(actions: readonly ClaimAction[]): void {
    for (const action of actions) {
      const {attemptId} = action;
      const incarnation = this.#name;
      const perform = (more: readonly GateAction[]): void =>
        this.#perform(more);
      if (action.kind === 'sendClaim') {
        this.messages.push({
          repeatable: true,
          deliver: () => {
            const outcome = this.ledger.claim(attemptId, incarnation);
            const rest = {status: 200, answer: Buffer.of(), contentType: ''};
            this.#postAnswer(incarnation, attemptId, {outcome, ...rest});
          },
        });
      }
      if (action.kind === 'sendRecord') {
        const {outcome} = action;
        this.messages.push({
          repeatable: true,
          deliver: () => {
            const recorded = this.ledger.record(attemptId, outcome);
            if (incarnation !== this.#name) return;
            this.#claims.recordAnswered(attemptId, recorded, this.now);
          },
        });
      }
      if (action.kind === 'granted') {
        perform(this.#gate.claimGranted(attemptId, this.now));
      }
      if (action.kind === 'denied') {
        if (action.failure.kind === 'ledgerUnavailable') {
          this.reported.set(attemptId, 'notRun');
        }
        perform(this.#gate.claimDenied(attemptId, this.now));
      }
      if (action.kind === 'replay') {
        perform(this.#gate.claimDenied(attemptId, this.now));
      }
    }
  }

  #postAnswer(sender: string, attemptId: string, answer: ClaimAnswer): void {
    this.messages.push({
      repeatable: true,
      deliver: () => {
        if (sender !== this.#name) return;
        const next = this.#claims.answered(attemptId, answer, this.now);
        this.#performClaims(next);
      },
    });
  }
}

type Move =
  | 'deliver'
  | 'twice'
  | 'drop'
  | 'later'
  | 'crash'
  | 'tick'
  | 'revoke'
  | 'retry';

function runMoves(harness: Harness, moves: readonly Move[]): void {
  const handlers: Record<Move, () => void> = {
    deliver: () => harness.messages.shift()?.deliver(),
    twice: () => {
      const message = harness.messages.shift();
      message?.deliver();
      // A call to the service has no second copy, as it is sent over one
      // stream.
      if (message?.repeatable) harness.messages.push(message);
    },
    drop: () => void harness.messages.shift(),
    later: () => {
      const message = harness.messages.shift();
      if (message) harness.messages.push(message);
    },
    crash: () => {
      harness.restart();
      harness.offer();
    },
    tick: () => harness.tick(),
    revoke: () => harness.revoke(),
    retry: () => harness.offer(),
  };
  for (const move of moves) handlers[move]();
}

describe('a non-repeatable call', () => {
  // The sidecar crashes between any two steps of claim, grant, dispatch, answer
  // and record, and a router retries the call. The service must never run it
  // twice, nor after "not run" was reported.
  it('runs at most once whichever step the sidecar crashes after', () => {
    for (let steps = 0; steps < 12; steps += 1) {
      const harness = new Harness();
      const before = Array.from({length: steps}, (): Move => 'deliver');
      const after = Array.from({length: 30}, (): Move => 'deliver');
      runMoves(harness, ['retry', ...before, 'crash', ...after]);
      expect(harness.runs).toBeLessThanOrEqual(1);
      expect(harness.dispatchedAttempts.size).toBeLessThanOrEqual(1);
    }
  });

  // Claims, answers and records are also lost, duplicated and delayed, and
  // routers revoke attempts, in a seeded random order.
  it('runs at most once with lost, late and duplicated messages', () => {
    const move = fc.constantFrom<Move>(
      'deliver',
      'deliver',
      'deliver',
      'twice',
      'drop',
      'later',
      'crash',
      'tick',
      'revoke',
      'retry',
    );
    const moves = fc.array(move, {minLength: 10, maxLength: 80});
    const property = fc.property(moves, list => {
      const harness = new Harness();
      runMoves(harness, list);
      for (let round = 0; round < 60; round += 1) {
        runMoves(harness, ['deliver', 'deliver', 'tick']);
      }
      expect(harness.runs).toBeLessThanOrEqual(1);
      for (const attemptId of harness.dispatchedAttempts) {
        expect(harness.reported.get(attemptId)).not.toBe('notRun');
      }
    });
    fc.assert(property, {seed: SEED, numRuns: 1_000});
  });

  // The ledger granted the claim, but its answers are lost. The call must be
  // refused as not run in time and recorded as such, so that a repeat can run.
  it('is refused as not run when the claim is not confirmed', () => {
    const harness = new Harness();
    harness.offer();
    harness.messages.shift()?.deliver();
    harness.messages.length = 0;
    for (let round = 0; round < 8; round += 1) {
      harness.tick();
      if (harness.reported.has(`${KEY}.1`)) break;
      harness.messages.length = 0;
    }
    expect(harness.reported.get(`${KEY}.1`)).toBe('notRun');
    while (harness.messages.length > 0) harness.messages.shift()?.deliver();
    harness.offer();
    while (harness.messages.length > 0) harness.messages.shift()?.deliver();
    expect(harness.runs).toBe(1);
    expect([...harness.dispatchedAttempts]).toEqual([`${KEY}.2`]);
  });
});
