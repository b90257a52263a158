import {listAgeLimitMs} from '@lovagepond/core';
import {lovagepond} from '@lovagepond/protocol';
import {ControlFreshness} from '@lovagepond/router/control_freshness';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {type FeedUpdate, type FeedView} from '../../subscription_feed.js';
import {SubscriptionHub} from '../../subscription_hub.js';
import {UpdateEncoder} from '../../update_encoder.js';
import {makeView} from '../model/feed_view.js';

const DRAIN_TIMEOUT_MS = 2_000;
const LIMIT_MS = listAgeLimitMs(DRAIN_TIMEOUT_MS, 2_500);
const HEARTBEAT_MS = 400;
/** Interval at which members and routers check their contact, milliseconds. */
const TICK_MS = 100;
/** Interval at which a leader sends followers something, milliseconds. */
const CONTACT_MS = 200;
const STEP_MS = 10;

const SETTINGS = {
  digestIntervalMs: 1_000,
  heartbeatIntervalMs: HEARTBEAT_MS,
  leaderContactLimitMs: LIMIT_MS,
};

/** A follower that loses the leader, and a router that subscribes to it. */
class Chain {
  readonly #encoder = new UpdateEncoder();
  readonly #hub = new SubscriptionHub(SETTINGS, 0);
  readonly #freshness = new ControlFreshness(0);
  #view: FeedView = makeView(1);
  #now = 0;
  #isReachable = true;
  isLeft = false;

  constructor() {
    const router = {
      node: 'r',
      role: 'router',
      pool: '',
      revision: 0,
      takesDeltas: false,
    };
    this.#hub.recordContact(0, 0);
    this.#hub.add(router, {
      isWritable: () => true,
      send: update => {
        this.#deliver(update);
      },
      end: () => {
        this.isLeft ||= this.#isReachable;
      },
    });
  }

  #deliver(update: FeedUpdate): void {
    if (!this.#isReachable) return;
    const bytes = this.#encoder.encode(update);
    const decoded = lovagepond.v1.ControlUpdate.decode(bytes);
    this.#freshness.note(decoded, this.#now);
  }

  /** @param changes whether the configuration changes, which is told at once */
  step(now: number, hasLeader: boolean, changes: boolean): void {
    this.#now = now;
    if (changes) this.#view = makeView(now);
    if (hasLeader && now % CONTACT_MS === 0) this.#hub.recordContact(now, now);
    if (now % TICK_MS === 0) this.#hub.recordContact(-Infinity, now);
    if (changes || now % TICK_MS === 0) this.#hub.flush(this.#view, now);
    const isTick = now % TICK_MS === STEP_MS;
    if (isTick && this.#freshness.ageMs(now) > LIMIT_MS) this.isLeft = true;
  }

  /** The router gets nothing any more, as if the member's host was cut off. */
  cutOff(): void {
    this.#isReachable = false;
  }
}

interface Faults {
  readonly lostAt: number;
  /** When the router gets nothing more from the member. */
  readonly cutAt: number;
  readonly changes: readonly number[];
}

/** @returns time from the loss of the leader until the router moves on, ms */
function leaveAfter({lostAt, cutAt, changes}: Faults): number {
  const chain = new Chain();
  for (let now = STEP_MS; now < 20_000; now += STEP_MS) {
    if (now === cutAt) chain.cutOff();
    chain.step(now, now <= lostAt, changes.includes(now));
    if (chain.isLeft) return now - lostAt;
  }
  return Infinity;
}

const moment = fc.nat(400).map(steps => 2_000 + steps * STEP_MS);

// Guards against routers that send to a server after its drain time, as the member
// that they follow has lost the leader and feeds them all the same.
test('a router leaves a member without a leader within the list age', () => {
  fc.assert(
    fc.property(moment, fc.array(moment), (lostAt, changes) => {
      const leftMs = leaveAfter({lostAt, cutAt: Infinity, changes});
      expect(leftMs).toBeLessThanOrEqual(LIMIT_MS + 2 * TICK_MS);
    }),
  );
});

// Guards against limits that add up: the member is cut off from the router some
// time after it has lost the leader.
test('a router leaves in the drain time if it loses the member as well', () => {
  fc.assert(
    fc.property(moment, fc.nat(300), (lostAt, steps) => {
      const cutAt = lostAt + steps * STEP_MS;
      const leftMs = leaveAfter({lostAt, cutAt, changes: []});
      const boundMs = LIMIT_MS + HEARTBEAT_MS + 2 * TICK_MS;
      expect(leftMs).toBeLessThanOrEqual(boundMs);
      expect(boundMs).toBeLessThan(DRAIN_TIMEOUT_MS);
    }),
  );
});

test('a router stays with a member that hears of the leader again', () => {
  const chain = new Chain();
  for (let now = STEP_MS; now < 20_000; now += STEP_MS) {
    const isElection = now % 5_000 < 1_000;
    chain.step(now, !isElection, false);
  }
  expect(chain.isLeft).toBe(false);
});
