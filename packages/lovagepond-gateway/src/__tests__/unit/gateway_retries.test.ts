import fc from 'fast-check';
import {RETRY_ANSWER_MS, RETRY_VALID_MS} from '@lovagepond/core';
import {type lovagepond} from '@lovagepond/protocol';
import {describe, expect, it} from 'vitest';
import {ExchangeRetry} from '../../gateway_exchange_retry.js';
import {OwnRetries} from '../../gateway_own_retries.js';
import {
  GatewayRetries,
  RETRY_REFUSAL,
  type RetryDecision,
} from '../../gateway_retries.js';

type Answer = lovagepond.v1.RetryResponse.$Properties | undefined;

const ALLOWANCE = {fraction: 0.2, windowMs: 10_000};

/** A gateway whose questions the test answers. */
class Play {
  at = {now: 0, wallTime: 1_000_000};
  readonly questions: {
    wanted: number;
    requests: number;
    answer: (res: Answer) => void;
  }[] = [];
  readonly #callbacks: {dueAt: number; run: () => void}[] = [];
  readonly decisions: RetryDecision[] = [];
  readonly retries = new GatewayRetries(ALLOWANCE, {
    process: 1,
    readClock: () => this.at,
    ask: ({wanted, requests}, answer) => {
      const counts = requests?.pools?.flatMap(one => one.counts ?? []) ?? [];
      this.questions.push({
        wanted: wanted?.[0]?.count ?? 0,
        requests: counts.reduce((sum, count) => sum + count, 0),
        answer,
      });
    },
    schedule: (delayMs, run) => {
      this.#callbacks.push({dueAt: this.at.now + delayMs, run});
    },
  });

  pass(ms: number): void {
    this.at = {now: this.at.now + ms, wallTime: this.at.wallTime + ms};
    const due = this.#callbacks.filter(({dueAt}) => dueAt <= this.at.now);
    for (const one of due) {
      this.#callbacks.splice(this.#callbacks.indexOf(one), 1);
      one.run();
    }
  }

  acquire(count = 1): void {
    for (let nth = 0; nth < count; nth += 1) {
      this.retries.acquire('p', this.at, decision => {
        this.decisions.push(decision);
      });
    }
  }

  answer(count: number, intervalMs = 0): void {
    const granted = [{pool: 'p', count, left: 0}];
    this.questions.at(-1)?.answer({answered: true, granted, intervalMs});
  }

  get refusals(): (string | undefined)[] {
    return this.decisions.map(({refusal}) => refusal);
  }
}

describe('GatewayRetries', () => {
  it('asks for all that wait together, and refuses those without a grant', () => {
    const play = new Play();
    play.acquire();
    play.acquire(3);
    expect(play.questions.map(({wanted}) => wanted)).toEqual([1]);
    play.answer(1);
    expect(play.questions.map(({wanted}) => wanted)).toEqual([1, 3]);
    play.answer(2);
    const {NONE_LEFT} = RETRY_REFUSAL;
    expect(play.refusals).toEqual([undefined, undefined, undefined, NONE_LEFT]);
  });

  it('tells control its requests, those of before an unanswered question too', () => {
    const play = new Play();
    for (let nth = 0; nth < 7; nth += 1) play.retries.noteRequest('p', 0);
    play.acquire();
    expect(play.questions[0]?.requests).toBe(7);
    play.questions[0]?.answer(undefined);
    play.pass(2_000);
    play.acquire();
    expect(play.questions[1]?.requests).toBe(7);
  });

  // Guards against a credit of an answer that came too late to be counted.
  it('ignores an answer that comes too late, by either clock', () => {
    for (const clock of ['now', 'wallTime'] as const) {
      const play = new Play();
      play.acquire();
      play.at = {...play.at, [clock]: play.at[clock] + RETRY_ANSWER_MS + 1};
      play.answer(1);
      expect(play.refusals).toEqual([RETRY_REFUSAL.UNANSWERED]);
    }
  });

  it('does not wait for control that never answers', () => {
    const play = new Play();
    play.acquire();
    play.pass(RETRY_ANSWER_MS);
    expect(play.refusals).toEqual([RETRY_REFUSAL.UNANSWERED]);
    play.acquire();
    expect(play.refusals).toHaveLength(2);
    expect(play.questions).toHaveLength(1);
  });

  // Guards against requests that back a retry here and another one at control.
  it('counts each request either for itself or for control', () => {
    const play = new Play();
    play.acquire();
    play.questions[0]?.answer(undefined);
    for (let nth = 0; nth < 30; nth += 1) play.retries.noteRequest('p', 1);
    play.acquire(2);
    const {UNANSWERED} = RETRY_REFUSAL;
    expect(play.refusals).toEqual([UNANSWERED, undefined, UNANSWERED]);
    play.pass(2_000);
    play.acquire();
    expect(play.questions[1]?.requests).toBe(0);
  });

  it('asks again only after the interval that control tells', () => {
    const play = new Play();
    play.acquire();
    play.answer(1, 200);
    play.acquire();
    expect(play.questions).toHaveLength(1);
    play.pass(200);
    expect(play.questions).toHaveLength(2);
  });

  it('gives a retry that was not sent to another request, while it is valid', () => {
    const play = new Play();
    play.acquire();
    play.answer(1);
    const [first] = play.decisions;
    if (first?.credit) play.retries.release('p', first.credit);
    play.pass(RETRY_VALID_MS);
    play.acquire();
    expect(play.refusals).toEqual([undefined, undefined]);
    if (first?.credit) play.retries.release('p', first.credit);
    play.pass(1);
    play.acquire();
    expect(play.questions).toHaveLength(2);
  });
});

describe('ExchangeRetry', () => {
  function makeRetry(): {play: Play; retry: ExchangeRetry} {
    const play = new Play();
    return {play, retry: new ExchangeRetry(play.retries, 'p')};
  }

  // Guards against arrivals that are not counted as their attempt ended unsent.
  it('needs a credit for each send after the first', () => {
    const {play, retry} = makeRetry();
    expect(retry.needsCredit(play.at)).toBe(false);
    retry.noteSent();
    expect(retry.needsCredit(play.at)).toBe(true);
    retry.acquire(play.at, () => {});
    play.answer(1);
    expect(retry.needsCredit(play.at)).toBe(false);
    retry.noteSent();
    expect(retry.maySend(play.at)).toBe(false);
  });

  // Guards against a retry that is sent long after its grant, as the process or its
  // host stood still.
  it.each(['now', 'wallTime'] as const)(
    'does not send with a credit that has run out by %s',
    clock => {
      const {play, retry} = makeRetry();
      retry.noteSent();
      retry.acquire(play.at, () => {});
      play.answer(1);
      expect(retry.maySend(play.at)).toBe(true);
      const late = play.at[clock] + RETRY_VALID_MS + 1;
      expect(retry.maySend({...play.at, [clock]: late})).toBe(false);
    },
  );

  it('gives back what is granted after its request has ended', () => {
    const {play, retry} = makeRetry();
    retry.noteSent();
    let decided = 0;
    retry.acquire(play.at, () => (decided += 1));
    retry.end();
    play.answer(1);
    play.acquire();
    expect(decided).toBe(0);
    expect(play.refusals).toEqual([undefined]);
  });
});

describe('OwnRetries', () => {
  // Guards against processes that are alone and together retry more than the
  // requests of any window, or of the one before, allow.
  it('stay within half of the fraction over two windows, over any restarts', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.nat(400), fc.nat(30)), {maxLength: 300}),
        steps => {
          let own = new OwnRetries(0.2, 1_000);
          const requests: number[] = [];
          const retries: number[] = [];
          let now = 0;
          for (const [gap, restart] of steps) {
            now += gap;
            if (restart === 0) own = new OwnRetries(0.2, 1_000);
            own.noteRequest('p', now);
            requests.push(now);
            if (own.tryTake('p', now)) retries.push(now);
          }
          for (const from of retries) {
            const got = retries.filter(at => at >= from && at < from + 1_000);
            const backing = requests.filter(at => at < from + 1_000);
            const saved = 1;
            const inWindow = backing.filter(at => at >= from).length;
            expect(got.length).toBeLessThanOrEqual(saved + 0.1 * inWindow);
          }
        },
      ),
    );
  });
});
