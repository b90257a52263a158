import {Random} from '@lovagepond/core';
import {describe, expect, it} from 'vitest';
import {
  DEFAULT_GATE_POLICY,
  DEFAULT_GATE_SETTINGS,
  type GateAction,
  type GatePolicy,
  type GateSettings,
  type RefuseAction,
  SidecarGate,
} from '../../index.js';
import {makeOffer} from './sidecar_test_utils.js';

const SETTINGS: GateSettings = {
  ...DEFAULT_GATE_SETTINGS,
  backendServer: 'engine-1',
  incarnation: 'inc-1',
  floorTokens: 1_000,
};

function makeGate(policy: Partial<GatePolicy> = {}): SidecarGate {
  const gate = new SidecarGate(SETTINGS, new Random(7));
  gate.configure({...DEFAULT_GATE_POLICY, ...policy}, 0);
  return gate;
}

function kinds(actions: readonly GateAction[]): string[] {
  return actions.map(({kind, attemptId}) => `${kind} ${attemptId}`);
}

function refusals(actions: readonly GateAction[]): RefuseAction[] {
  return actions.filter(action => action.kind === 'refuse');
}

/** A server in virtual time that finishes its oldest run on request. */
class VirtualServer {
  readonly #gate: SidecarGate;
  readonly #runs: string[] = [];
  readonly heldMs = new Map<string, number>();
  readonly refused: RefuseAction[] = [];

  constructor(gate: SidecarGate) {
    this.#gate = gate;
  }

  note(actions: readonly GateAction[]): void {
    for (const action of actions) {
      if (action.kind === 'refuse') this.refused.push(action);
      if (action.kind !== 'dispatch') continue;
      this.#runs.push(action.attemptId);
      this.heldMs.set(action.attemptId, action.heldMs);
    }
  }

  finishOne(now: number): void {
    const attemptId = this.#runs.shift();
    if (!attemptId) return;
    this.note(this.#gate.finish(attemptId, {kind: 'done'}, now));
  }
}

describe('a surge of one workspace', () => {
  // One workspace sends two thousand requests in a second, and nine others send
  // one each from time to time. The quiet workspaces must wait at most one
  // round, and the surge must be refused early with retry times spread over the
  // server's rate.
  it('does not delay nine quiet workspaces', () => {
    const gate = makeGate();
    const server = new VirtualServer(gate);
    const quiet: string[] = [];
    for (let now = 0; now < 10_000; now += 10) {
      const surging = now < 1_000 ? 20 : 0;
      for (let index = 0; index < surging; index += 1) {
        const workspace = 'surging';
        const offer = makeOffer(`s-${now}-${index}`, {workspace, tokens: 200});
        server.note(gate.offer(offer, now));
      }
      if (now % 200 === 0) {
        const workspace = `quiet-${(now / 200) % 9}`;
        const offer = makeOffer(`q-${now}`, {workspace, tokens: 200});
        quiet.push(offer.attemptId);
        server.note(gate.offer(offer, now));
      }
      server.note(gate.tick(now));
      if (now % 40 === 0) server.finishOne(now);
    }
    const waits = quiet.map(attemptId => server.heldMs.get(attemptId));
    expect(waits).not.toContain(undefined);
    // One round: six requests of the surge fit into a quantum and its
    // remainder, plus one of each quiet workspace, after the run in progress.
    // Each takes 40 ms.
    expect(Math.max(...waits.map(Number))).toBeLessThanOrEqual(16 * 40);
    const times = server.refused.map(({failure}) => failure.retryAfterMs);
    expect(times.length).toBeGreaterThan(1_000);
    // Retries are spread at the server's rate: as many within ten seconds as it
    // can serve.
    const soon = times.filter(time => time < 10_000).length;
    expect(soon).toBeLessThan((10_000 / 40) * 1.5);
  });

  it('keeps a workspace within its limit of outstanding tokens', () => {
    const share = {weight: 1, priority: 5, maxQueuedTokens: 1_500};
    const gate = makeGate({workspaces: new Map([['bakery', share]])});
    gate.offer(makeOffer('a', {tokens: 900}), 0);
    gate.offer(makeOffer('b', {tokens: 500}), 0);
    const [refusal] = refusals(gate.offer(makeOffer('c', {tokens: 200}), 0));
    expect(refusal?.failure.kind).toBe('workspaceLimit');
    expect(refusal?.failure.retryAfterMs).toBeGreaterThan(0);
  });
});

describe('early refusal', () => {
  // The queue is long and the deadline short. A request that can't be served in
  // time must be refused at once with a retry time, and a held one as soon as
  // that is certain, instead of at its deadline.
  it('refuses at once what can not be served in time', () => {
    const gate = makeGate({maxHoldMs: 60_000});
    gate.offer(makeOffer('running', {tokens: 1_000}), 0);
    gate.offer(makeOffer('held', {tokens: 900, deadlineAt: 400}), 0);
    const late = makeOffer('late', {tokens: 900, deadlineAt: 200});
    const [refusal] = refusals(gate.offer(late, 0));
    expect(refusal?.failure.kind).toBe('deadlineUnreachable');
    expect(refusal?.failure.retryAfterMs).toBeGreaterThan(0);
    const given = refusals(gate.tick(300));
    expect(given.map(({attemptId}) => attemptId)).toEqual(['held']);
    expect(given[0]?.failure.retryAfterMs).toBeGreaterThan(0);
  });

  it('holds nothing longer than the limit', () => {
    const gate = makeGate({maxHoldMs: 500});
    gate.offer(makeOffer('running', {tokens: 1_000}), 0);
    gate.offer(makeOffer('held', {tokens: 10}), 0);
    expect(refusals(gate.tick(490))).toEqual([]);
    expect(kinds(gate.tick(500))).toEqual(['refuse held']);
  });
});

describe('draining', () => {
  const RUN_MS = 50;
  const RUNS = 20;
  const START = RUNS * RUN_MS;

  /** A gate whose server has finished enough runs to know how long they take. */
  function makeSeasonedGate(): SidecarGate {
    const gate = makeGate({maxHoldMs: 60_000});
    for (let index = 0; index < RUNS; index += 1) {
      const attemptId = `before-${index}`;
      const now = index * RUN_MS;
      gate.offer(makeOffer(attemptId, {tokens: 500}), now);
      gate.finish(attemptId, {kind: 'done'}, now + RUN_MS);
    }
    return gate;
  }

  // The server drains with one request running, one that fits within the limit,
  // and many that don't. The first must not be interrupted, the second must be
  // served, and the others and all new ones must be refused at once.
  it('refuses what does not fit and interrupts nothing', () => {
    const gate = makeSeasonedGate();
    gate.offer(makeOffer('running', {tokens: 1_000}), START);
    gate.offer(makeOffer('fits', {tokens: 500}), START);
    for (let index = 0; index < 5; index += 1) {
      gate.offer(makeOffer(`long-${index}`, {tokens: 900}), START);
    }
    const leaving = gate.startDraining(START, 600);
    expect(leaving).toHaveLength(5);
    for (const {failure, attemptId} of refusals(leaving)) {
      expect(failure.kind).toBe('draining');
      expect(attemptId).toContain('long');
    }
    const [late] = refusals(gate.offer(makeOffer('late'), START + 1));
    expect(late?.failure.kind).toBe('draining');
    const next = gate.finish('running', {kind: 'done'}, START + 100);
    expect(kinds(next)).toEqual(['dispatch fits']);
    expect(gate.idle).toBe(false);
    gate.finish('fits', {kind: 'done'}, START + 150);
    expect(gate.idle).toBe(true);
  });

  it('holds nothing to cut it at the limit before any run has finished', () => {
    const gate = makeGate({maxHoldMs: 60_000});
    gate.offer(makeOffer('running', {tokens: 1_000}), 0);
    gate.offer(makeOffer('long', {tokens: 500}), 0);
    gate.offer(makeOffer('short', {tokens: 500, deadlineAt: 250}), 0);
    const leaving = gate.startDraining(0, 600);
    expect(kinds(leaving)).toEqual(['refuse long']);
    expect(refusals(leaving)[0]?.failure.kind).toBe('draining');
    const next = gate.finish('running', {kind: 'done'}, 100);
    expect(kinds(next)).toEqual(['dispatch short']);
  });

  it('does not take a slow reader for a slow server', () => {
    const gate = makeSeasonedGate();
    gate.offer(makeOffer('slow', {tokens: 500}), START);
    const end = {kind: 'done', wasReadSlowly: true} as const;
    gate.finish('slow', end, START + 60_000);
    const now = START + 60_000;
    gate.offer(makeOffer('running', {tokens: 1_000}), now);
    gate.offer(makeOffer('fits', {tokens: 500}), now);
    expect(gate.startDraining(now, 600)).toEqual([]);
  });

  it('starts no held request that can not end by the limit any more', () => {
    const gate = makeSeasonedGate();
    gate.offer(makeOffer('running', {tokens: 1_000}), START);
    gate.offer(makeOffer('fits', {tokens: 500}), START);
    expect(gate.startDraining(START, 600)).toEqual([]);
    const next = gate.finish('running', {kind: 'done'}, START + 250);
    expect(kinds(next)).toEqual(['refuse fits']);
    expect(refusals(next)[0]?.failure.kind).toBe('draining');
    expect(gate.idle).toBe(true);
  });

  it('starts no claimed call that can not end by the limit any more', () => {
    const claimed = {nonRepeatable: true, tokens: 500};
    const late = makeSeasonedGate();
    late.offer(makeOffer('call', claimed), START);
    expect(late.startDraining(START, 600)).toEqual([]);
    expect(kinds(late.claimGranted('call', START + 250))).toEqual([
      'releaseClaim call',
      'refuse call',
    ]);
    expect(late.idle).toBe(true);
    const early = makeSeasonedGate();
    early.offer(makeOffer('call', claimed), START);
    early.startDraining(START, 600);
    expect(kinds(early.claimGranted('call', START + 100))).toEqual([
      'dispatch call',
    ]);
  });

  it('starts no call that must not run twice and may be cut', () => {
    const gate = makeGate();
    const claimed = {nonRepeatable: true, tokens: 1};
    gate.offer(makeOffer('call', claimed), 0);
    gate.offer(makeOffer('short', {...claimed, deadlineAt: 5_000}), 0);
    expect(kinds(gate.startDraining(0, 10_000))).toEqual([
      'releaseClaim call',
      'refuse call',
    ]);
    expect(kinds(gate.claimGranted('short', 10))).toEqual(['dispatch short']);
  });

  it('refuses a call whose claim is not answered in time as not run', () => {
    const gate = makeSeasonedGate();
    const claimed = {nonRepeatable: true, tokens: 500};
    gate.offer(makeOffer('call', claimed), START);
    gate.startDraining(START, 600);
    expect(gate.tick(START + 100)).toEqual([]);
    expect(kinds(gate.tick(START + 250))).toEqual([
      'releaseClaim call',
      'refuse call',
    ]);
    expect(gate.claimGranted('call', START + 260)).toEqual([]);
    expect(gate.idle).toBe(true);
  });
});

describe('a backend server that is down', () => {
  // The engine crashes while requests are held for it. They must be refused as
  // not run at once, so that their routers can try another server.
  it('refuses all held requests', () => {
    const gate = makeGate();
    gate.offer(makeOffer('running', {tokens: 1_000}), 0);
    gate.offer(makeOffer('a'), 0);
    gate.offer(makeOffer('b'), 0);
    const gone = refusals(gate.backendDown(1));
    expect(gone.map(({failure}) => failure.kind)).toEqual([
      'notReady',
      'notReady',
    ]);
    expect(gate.load(1).queuedRequests).toBe(0);
  });
});

describe('hold and take', () => {
  // The victim hands a request over, but its answer to Take is lost. The
  // router, which owns the request, sends it to the taker; the taker asks again
  // and gets another one. Each must be dispatched exactly once and not at the
  // victim, and must not be handed over a second time.
  it('hands over exactly once although the answer to Take is lost', () => {
    const victim = makeGate();
    const taker = new SidecarGate(
      {...SETTINGS, backendServer: 'engine-2'},
      new Random(8),
    );
    victim.offer(makeOffer('running', {tokens: 1_000}), 0);
    victim.offer(makeOffer('a', {tokens: 400}), 0);
    victim.offer(makeOffer('b', {tokens: 400}), 0);
    const lost = victim.handOver('engine-2', taker.roomForTake(0), 0);
    const again = victim.handOver('engine-2', taker.roomForTake(1), 1);
    const moved = [...lost.actions, ...again.actions];
    expect(kinds(moved).sort()).toEqual(['refuse a', 'refuse b']);
    for (const {failure, pointer} of refusals(moved)) {
      expect(failure.kind).toBe('handedOver');
      expect(pointer).toBe('engine-2');
    }
    expect(victim.handOver('engine-2', 1_000, 2).attemptIds).toEqual([]);
    const arrive = (name: string): string[] =>
      kinds(
        taker.offer(
          makeOffer(name, {handOvers: 1, firstChoice: 'engine-1', tokens: 400}),
          3,
        ),
      );
    expect(arrive('a.2')).toEqual(['accept a.2', 'dispatch a.2']);
    expect(arrive('b.2')).toEqual(['accept b.2', 'dispatch b.2']);
    expect(kinds(victim.finish('running', {kind: 'done'}, 4))).toEqual([]);
    taker.offer(makeOffer('c.2', {handOvers: 1, tokens: 900}), 5);
    expect(taker.handOver('engine-3', 1_000, 5).attemptIds).toEqual([]);
  });

  // Two requests are held, and the one that waits longer has its context cached
  // here. Handing that one over would cost more for the rebuild than the saved
  // wait.
  it('hands over the request with the least warm context', () => {
    const gate = makeGate();
    gate.cache.apply(1, 'bakery', 'warm', 400_000);
    gate.offer(makeOffer('running', {tokens: 1_000}), 0);
    gate.offer(makeOffer('warm', {chat: 'warm', tokens: 400}), 0);
    gate.offer(makeOffer('cold', {chat: 'cold', tokens: 400}), 1);
    expect(gate.handOver('engine-2', 500, 2).attemptIds).toEqual(['cold']);
    expect(gate.handOver('engine-2', 500, 3).attemptIds).toEqual([]);
  });

  // Capacity is reserved for the request in transit, for a limited time.
  it('reserves capacity for a taken request', () => {
    const gate = makeGate();
    gate.reserve('engine-2', 700, 250);
    expect(kinds(gate.offer(makeOffer('other', {tokens: 600}), 0))).toEqual([
      'accept other',
    ]);
    const taken = makeOffer('taken', {tokens: 700, handOvers: 1});
    expect(kinds(gate.offer(taken, 10))).toContain('accept taken');
    gate.reserve('engine-3', 900, 250);
    expect(kinds(gate.tick(251))).toEqual([]);
  });
});

describe('pointers', () => {
  // A pointer redirects a returning chat to the server that served it last.
  // That server no longer serves the chat, and the request returns. With a
  // second redirect it would bounce until its deadline.
  it('redirects a chat to its warm server, but a request only once', () => {
    const gate = makeGate();
    gate.pointers.put('bakery', 'chat-1', 'engine-9', 0);
    const first = makeOffer('x.1', {requestId: 'x'});
    const [refusal] = refusals(gate.offer(first, 1));
    expect(refusal?.failure.kind).toBe('servedElsewhere');
    expect(refusal?.pointer).toBe('engine-9');
    const second = makeOffer('x.2', {requestId: 'x'});
    expect(kinds(gate.offer(second, 2))).toContain('dispatch x.2');
    expect(gate.pointers.size).toBe(0);
  });

  it('expire and are bounded', () => {
    const {maxPointers, pointerLifetimeMs} = SETTINGS;
    const {pointers} = makeGate();
    for (let index = 0; index <= maxPointers; index += 1) {
      pointers.put('bakery', `chat-${index}`, 'engine-9', 0);
    }
    expect(pointers.size).toBe(maxPointers);
    pointers.expire(pointerLifetimeMs);
    expect(pointers.size).toBe(0);
  });
});
