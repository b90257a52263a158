import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {PoolMeans} from '../../load_pool_means.js';
import {
  type RequestWork,
  ServerCapacity,
  type ServerLoadView,
} from '../../load_server_capacity.js';

const INITIAL_RATE = 40;
const CALL: RequestWork = {kind: 'call', prefillTokens: 0, isStream: false};
const PROMPT: RequestWork = {
  kind: 'chat',
  prefillTokens: 1_000,
  isStream: true,
};

function viewOf(load: number, pendingPrefillTokens = 0): ServerLoadView {
  return {slots: 4, load, pendingPrefillTokens};
}

/** Observes the same service time several times, at an idle server. */
function observeCalls(
  capacity: ServerCapacity,
  durationMs: number,
  count: number,
  now: number,
): void {
  for (let at = 0; at < count; at += 1) {
    capacity.noteService('call', durationMs, 0, 4, now);
  }
}

describe('ServerCapacity', () => {
  // Engines slower than the setting got prompts as if they were four times as
  // fast, and their first tokens were late.
  it('learns the prefill rate of an engine slower than the setting', () => {
    const capacity = new ServerCapacity(INITIAL_RATE);
    expect(capacity.prefillTokensPerMs(0)).toBe(INITIAL_RATE);
    capacity.notePrefill(1_000, 100, 0);
    expect(capacity.prefillTokensPerMs(0)).toBeCloseTo(10);
    for (let at = 0; at < 20; at += 1) capacity.notePrefill(3_000, 300, at);
    expect(capacity.prefillTokensPerMs(20)).toBeCloseTo(10);
    expect(capacity.predict(viewOf(0, 2_000), PROMPT, 20)).toMatchObject({
      startMs: 200,
      firstResponseMs: 300,
    });
  });

  // A response that waited for a stalled disk or network says nothing about the
  // next one. It must not make the server look a hundred times slower.
  it('is moved little by one stalled response', () => {
    const capacity = new ServerCapacity(INITIAL_RATE);
    for (let at = 0; at < 10; at += 1) capacity.notePrefill(1_000, 100, at);
    capacity.notePrefill(1_000, 30_000, 10);
    expect(capacity.prefillTokensPerMs(10)).toBeCloseTo(9);
    observeCalls(capacity, 40, 10, 0);
    observeCalls(capacity, 30_000, 1, 10);
    expect(capacity.serviceMs('call', 10)).toBeCloseTo(48);
  });

  // The time to the first token of a cached prompt isn't prefill: engines far
  // away looked slower than they are.
  it('separates the latency of first tokens from the prefill', () => {
    const capacity = new ServerCapacity(10);
    for (let at = 0; at < 40; at += 1) {
      capacity.notePrefill(100, 100, at);
      capacity.notePrefill(1_000, 200, at);
    }
    expect(capacity.prefillTokensPerMs(40)).toBeGreaterThan(9);
    expect(capacity.prefillTokensPerMs(40)).toBeLessThan(11);
    const {startMs, firstResponseMs} = capacity.predictIdle(PROMPT, 40);
    expect(startMs).toBe(0);
    expect(firstResponseMs).toBeGreaterThan(180);
    expect(firstResponseMs).toBeLessThan(220);
  });

  // The first short prompt may be the stalled one. With long prompts alone after
  // it, the engine's first tokens were predicted a minute late for ever.
  it('recovers from a wrong first latency without short prompts', () => {
    const capacity = new ServerCapacity(INITIAL_RATE);
    capacity.notePrefill(100, 60_000, 0);
    for (let at = 0; at < 80; at += 1) capacity.notePrefill(3_000, 300, at);
    const {firstResponseMs} = capacity.predictIdle(PROMPT, 80);
    expect(firstResponseMs).toBeLessThan(600);
  });

  // The first response of a server may be the stalled one.
  it('recovers from a wrong first observation', () => {
    const capacity = new ServerCapacity(INITIAL_RATE);
    observeCalls(capacity, 4_000, 1, 0);
    observeCalls(capacity, 40, 40, 1);
    expect(capacity.serviceMs('call', 1)).toBeLessThan(50);
  });

  // Time in the queue of a full server would count as work, and the predicted
  // wait would count it once more.
  it('does not take the wait for a slot for work', () => {
    const capacity = new ServerCapacity(INITIAL_RATE);
    for (let at = 0; at < 10; at += 1) {
      capacity.noteService('call', 120, 11, 4, at);
    }
    expect(capacity.serviceMs('call', 10)).toBeCloseTo(40);
    const {startMs, doneMs} = capacity.predict(viewOf(11), CALL, 10);
    expect(startMs).toBeCloseTo(80);
    expect(doneMs).toBeCloseTo(120);
    expect(capacity.predictIdle(CALL, 10).doneMs).toBeCloseTo(40);
    expect(capacity.workMs(CALL, 4, 10)).toBeCloseTo(10);
  });

  // A prompt at an engine with no free slot waits until a stream ends, even if
  // no prefill is pending.
  it('predicts the wait for a slot of an engine', () => {
    const capacity = new ServerCapacity(10);
    for (let at = 0; at < 8; at += 1) capacity.noteRun('chat', 1_000, at);
    const {startMs, firstResponseMs, doneMs} = capacity.predict(
      viewOf(4),
      PROMPT,
      10,
    );
    expect([startMs, firstResponseMs, doneMs]).toEqual([250, 350, 1_350]);
    expect(capacity.predict(viewOf(3), PROMPT, 10).startMs).toBe(0);
    expect(capacity.workMs(PROMPT, 4, 10)).toBe(100);
  });

  // A request kind that was never seen must not be refused or held back.
  it('predicts nothing from unknown estimates', () => {
    const capacity = new ServerCapacity(INITIAL_RATE);
    expect(capacity.serviceMs('call', 0)).toBeUndefined();
    expect(capacity.runMs('chat', 0)).toBeUndefined();
    const nothing = {startMs: 0, firstResponseMs: 0, doneMs: 0};
    expect(capacity.predict(viewOf(400), CALL, 0)).toEqual(nothing);
    expect(capacity.workMs(CALL, 4, 0)).toBe(0);
  });

  // A server that reports a slow phase must not look slow after it, and the
  // slow responses must not change what is known of its usual speed.
  it('forgets a reported slowdown', () => {
    const capacity = new ServerCapacity(INITIAL_RATE);
    observeCalls(capacity, 40, 10, 0);
    capacity.noteSlowdown(300, 100);
    expect(capacity.serviceMs('call', 100)).toBeCloseTo(120);
    observeCalls(capacity, 120, 10, 100);
    expect(capacity.serviceMs('call', 100)).toBeCloseTo(120);
    expect(capacity.slowdown(800)).toBeCloseTo(2);
    expect(capacity.serviceMs('call', 8_000)).toBeCloseTo(40, 0);
  });

  // A broken server reports nonsense; only its observed times must count.
  it('ignores implausible slowdowns', () => {
    const capacity = new ServerCapacity(INITIAL_RATE);
    for (const percent of [0, 9, -300, 10_001, 1e300, NaN, Infinity]) {
      capacity.noteSlowdown(percent, 0);
      expect(capacity.slowdown(0)).toBe(1);
    }
    capacity.noteSlowdown(10, 0);
    expect(capacity.slowdown(0)).toBeCloseTo(0.1);
  });

  // Callers' token estimates are untrusted: one of 0 or 10^9 tokens must not
  // make an engine look idle, blocked, or a million times faster.
  it('ignores implausible numbers of tokens', () => {
    const capacity = new ServerCapacity(INITIAL_RATE);
    for (const tokens of [0, 199, -5, 1e9, NaN, Infinity]) {
      capacity.notePrefill(tokens, 50, 0);
      const work = {...PROMPT, prefillTokens: tokens};
      const {firstResponseMs} = capacity.predict(viewOf(0, tokens), work, 0);
      expect(firstResponseMs).toBeGreaterThanOrEqual(0);
      expect(firstResponseMs).toBeLessThan(Infinity);
    }
    expect(capacity.prefillTokensPerMs(0)).toBe(INITIAL_RATE);
  });

  // One NaN or negative value would stay in an average forever.
  it('predicts finite times from any input', () => {
    const anyNumber = fc.oneof(
      fc.double(),
      fc.integer(),
      fc.constantFrom(0, 1e9, -1, Infinity, NaN),
    );
    const observation = fc.tuple(anyNumber, anyNumber, anyNumber, anyNumber);
    fc.assert(
      fc.property(fc.array(observation, {maxLength: 30}), observations => {
        const capacity = new ServerCapacity(INITIAL_RATE);
        let now = 0;
        for (const [one, other, load, slots] of observations) {
          now += 1_000;
          capacity.noteSlowdown(one, now);
          capacity.notePrefill(one, other, now);
          capacity.noteService('call', one, load, slots, now);
          capacity.noteRun('chat', other, now);
          const view = {slots, load, pendingPrefillTokens: one};
          for (const work of [CALL, {...PROMPT, prefillTokens: other}]) {
            const times = [
              ...Object.values(capacity.predict(view, work, now)),
              ...Object.values(capacity.predictIdle(work, now)),
              capacity.workMs(work, slots, now),
            ] as number[];
            for (const time of times) {
              expect(time).toBeGreaterThanOrEqual(0);
              expect(time).toBeLessThan(Infinity);
            }
          }
        }
      }),
    );
  });

  // Request kinds come from the configuration, which changes at run time.
  it('keeps the most recent of any number of kinds', () => {
    const capacity = new ServerCapacity(INITIAL_RATE);
    for (let at = 0; at < 1_000; at += 1) {
      capacity.noteService(`kind-${at}`, 40, 0, 4, at);
      capacity.noteService('often', 20, 0, 4, at);
    }
    const {serviceMs} = capacity.describe(1_000);
    expect(Object.keys(serviceMs)).toHaveLength(64);
    expect(serviceMs).toMatchObject({often: 20, 'kind-999': 40});
  });
});

describe('PoolMeans', () => {
  function makePool(size: number): ServerCapacity[] {
    const servers: ServerCapacity[] = [];
    const means = new PoolMeans(now =>
      servers.map(server => server.observed(now)),
    );
    for (let at = 0; at < size; at += 1) {
      servers.push(new ServerCapacity(INITIAL_RATE, means));
    }
    return servers;
  }

  // Restarted servers would be sent prompts at the initial rate, four times as
  // many as they can compute.
  it('gives a new server the mean of its pool', () => {
    const [one, other, added] = makePool(3);
    for (let at = 0; at < 10; at += 1) {
      one!.notePrefill(1_000, 100, at);
      other!.notePrefill(1_000, 200, at);
    }
    observeCalls(one!, 40, 10, 10);
    const rates = [one!, other!].map(server => server.prefillTokensPerMs(9));
    const mean = (rates[0]! + rates[1]!) / 2;
    expect(mean).toBeLessThan(8);
    expect(added!.prefillTokensPerMs(2_000)).toBeCloseTo(mean);
    expect(added!.serviceMs('call', 2_000)).toBeCloseTo(40);
  });

  // A server that was slow once gets no requests, so that nothing shows that it
  // has recovered.
  it('draws a server without requests to the others', () => {
    const [busy, unused] = makePool(2);
    observeCalls(unused!, 120, 10, 0);
    for (let now = 0; now <= 180_000; now += 1_000) {
      observeCalls(busy!, 40, 1, now);
    }
    expect(unused!.serviceMs('call', 29_000)).toBeCloseTo(120);
    expect(unused!.serviceMs('call', 91_000)).toBeCloseTo(50);
    expect(unused!.serviceMs('call', 181_000)).toBeLessThan(45);
  });

  it('keeps the last means of a pool without requests', () => {
    const [one, other] = makePool(2);
    observeCalls(one!, 40, 10, 0);
    expect(other!.serviceMs('call', 600_000)).toBeCloseTo(40);
  });
});
