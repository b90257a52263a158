import {type ConfigurationContent, EMPTY_CONFIGURATION} from '@lovagepond/core';
import {describe, expect, it} from 'vitest';
import {FairSharesPlay, type Offer, POOL} from './fair_shares_play.js';

const GATEWAYS = 20;
const CAPACITY = 16_000;

/** Time for two reports and the average of a second. */
const SETTLE_MS = 3_000;

function spread(msPerS: number): Offer {
  return () => msPerS / GATEWAYS;
}

function at(gateway: number, msPerS: number): Offer {
  return one => (one === gateway ? msPerS : 0);
}

function contentOf(weights: Record<string, number>): ConfigurationContent {
  const workspaces = Object.entries(weights).map(([name, weight]) => ({
    name,
    weight,
    priority: 5,
    maxQueuedTokens: 0,
  }));
  return {...EMPTY_CONFIGURATION.content, workspaces};
}

function sumOf(served: Readonly<Record<string, number>>): number {
  return Object.values(served).reduce((sum, one) => sum + one, 0);
}

/** @returns the work served in 5 s after the shares have settled */
function runSettled(play: FairSharesPlay): Readonly<Record<string, number>> {
  play.run(SETTLE_MS);
  play.takeServed();
  play.run(5_000);
  return play.takeServed();
}

describe('shares over 20 gateways', () => {
  // The fault that the exchange of demand is for: all callers of one workspace
  // are connected to one gateway, and the others' work enters at all of them.
  it('serves callers at one gateway like those at all of them', () => {
    const offers = {
      here: at(7, 2 * CAPACITY),
      there: spread(2 * CAPACITY),
      small: at(3, CAPACITY / 8),
    };
    const play = new FairSharesPlay(GATEWAYS, CAPACITY, offers);
    const served = runSettled(play);
    const level = (CAPACITY * 7) / 16;
    expect(served['small']).toBeGreaterThan((0.95 * CAPACITY) / 8);
    expect(served['here']).toBeGreaterThan(0.85 * level);
    expect(served['there']).toBeGreaterThan(0.85 * level);
    expect(sumOf(served)).toBeGreaterThan(0.98 * CAPACITY);

    const unshared = new FairSharesPlay(GATEWAYS, CAPACITY, offers);
    unshared.hasControl = false;
    const before = runSettled(unshared);
    expect(before['here']).toBeLessThan(0.2 * level);
  });

  it('serves a small workspace in full beside one of eight times its load', () => {
    const small = 0.3 * CAPACITY;
    const offers = {small: spread(small), large: spread(8 * small)};
    const play = new FairSharesPlay(GATEWAYS, CAPACITY, offers);
    const served = runSettled(play);
    expect(served['small']).toBeGreaterThan(0.95 * small);
    expect(sumOf(served)).toBeGreaterThan(0.98 * CAPACITY);
  });

  it('leaves the capacity to a large workspace while others need none', () => {
    const offers = {
      small: at(0, 0.05 * CAPACITY),
      large: spread(3 * CAPACITY),
    };
    const served = runSettled(new FairSharesPlay(GATEWAYS, CAPACITY, offers));
    expect(served['small']).toBeGreaterThan(0.95 * 0.05 * CAPACITY);
    expect(served['large']).toBeGreaterThan(0.93 * CAPACITY);
  });

  // A digest lists 32 workspaces. The others, of which every sixth has all its
  // callers at one gateway, must get as much as the listed ones.
  it('serves 60 workspaces alike', () => {
    const workspaces = Array.from({length: 60}, (_, index) => `w-${index}`);
    const offered = (3 * CAPACITY) / workspaces.length;
    const offers = workspaces.map((workspace, index) => {
      const offer = index % 6 === 0 ? at(index / 6, offered) : spread(offered);
      return [workspace, offer] as const;
    });
    const play = new FairSharesPlay(
      GATEWAYS,
      CAPACITY,
      Object.fromEntries(offers),
    );
    play.run(2_000);
    const served = runSettled(play);
    const level = CAPACITY / workspaces.length;
    for (const workspace of workspaces) {
      expect(served[workspace]).toBeGreaterThan(0.85 * level);
      expect(served[workspace]).toBeLessThan(1.15 * level);
    }
  });

  it('divides by the configured weights', () => {
    const offers = {heavy: at(2, 2 * CAPACITY), light: spread(2 * CAPACITY)};
    const play = new FairSharesPlay(GATEWAYS, CAPACITY, offers);
    for (const {shares} of play.gateways) {
      shares.useWorkspaces(contentOf({heavy: 1, light: 3}));
    }
    const served = runSettled(play);
    const ratio = (served['light'] ?? 0) / (served['heavy'] ?? 0);
    expect(ratio).toBeGreaterThan(2.5);
    expect(ratio).toBeLessThan(3.5);
  });

  // The gateway's callers reconnect elsewhere. Its demand and its part of the
  // capacity must not stay reserved.
  it('forgets a gateway that dies after 3 s', () => {
    const isDead = (now: number): boolean => now >= 18_000;
    const play = new FairSharesPlay(GATEWAYS, CAPACITY, {
      moved: (gateway, now) =>
        gateway === (isDead(now) ? 8 : 7) ? 2 * CAPACITY : 0,
      there: spread(2 * CAPACITY),
    });
    play.run(8_000);
    const [dead, next] = [play.gateways[7], play.gateways[8]];
    if (dead) dead.isRunning = false;
    play.takeServed();
    const gatewaysSeen = (): number =>
      next?.shares.describe(0)[0]?.gateways ?? 0;
    play.run(2_900);
    expect(gatewaysSeen()).toBe(GATEWAYS);
    expect(sumOf(play.takeServed())).toBeGreaterThan(0.97 * CAPACITY);
    play.run(1_100);
    expect(gatewaysSeen()).toBe(GATEWAYS - 1);
    play.takeServed();
    play.run(3_000);
    const served = play.takeServed();
    expect(served['moved']).toBeGreaterThan(0.85 * (CAPACITY / 2));
    expect(served['there']).toBeGreaterThan(0.85 * (CAPACITY / 2));
  });

  it('returns to the configured weights while control is gone', () => {
    const offers = {here: at(7, 2 * CAPACITY), there: spread(2 * CAPACITY)};
    const play = new FairSharesPlay(GATEWAYS, CAPACITY, offers);
    play.run(SETTLE_MS);
    const weights = play.gateways[7]?.shares.weightsOf(POOL);
    expect(weights?.gatewayWeight).toBeGreaterThan(4);
    play.hasControl = false;
    play.run(2_400);
    expect(weights?.gatewayWeight).toBeGreaterThan(4);
    play.run(1_600);
    expect(weights?.gatewayWeight).toBe(1);
    expect(weights?.weightOf('here')).toBe(1);
    play.takeServed();
    play.run(2_000);
    expect(sumOf(play.takeServed())).toBeGreaterThan(0.98 * CAPACITY);

    // A new member knows nothing; one report of each gateway is enough.
    play.restartControl();
    play.hasControl = true;
    play.run(1_040);
    expect(weights?.gatewayWeight).toBeGreaterThan(2);
    play.run(1_000);
    expect(weights?.gatewayWeight).toBeGreaterThan(4);
  });
});
