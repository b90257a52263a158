import {describe, expect, it} from 'vitest';
import {
  VirtualPool,
  type VirtualPoolOptions,
  type VirtualRequest,
} from './load_virtual_pool.js';

/** Requests per second of four servers with four slots of 40 ms. */
const CAPACITY = 400;
const GOODPUT_PART = 0.85;
/** An eighth of the target. */
const TOLD_MS = 25;
/** Service is as usual two seconds after the load has changed. */
const SETTLED_MS = 2_000;
const END_MS = 6_000;
/** By then, all requests have been answered or refused. */
const DRAINED_MS = 8_000;

function makePool(
  options: Omit<VirtualPoolOptions, 'seed'>,
  seed = 1,
): VirtualPool {
  return new VirtualPool({...options, seed});
}

/** @returns part in target of the requests that match, over several seeds */
function partInTarget(
  gateways: number,
  matches: (req: VirtualRequest) => boolean,
  addLoads: (pool: VirtualPool) => void,
): number {
  let offered = 0;
  let inTarget = 0;
  for (const seed of [1, 2, 3, 4]) {
    const pool = makePool({gateways}, seed);
    addLoads(pool);
    pool.time.runUntil(DRAINED_MS);
    const figures = pool.summary(SETTLED_MS, END_MS, matches);
    offered += figures.offered;
    inTarget += figures.inTarget;
  }
  return inTarget / offered;
}

describe.each([2, 20])('a pool with %i gateways', gateways => {
  // Guards against servers' queues full of requests that will be late, which
  // left 0.06 of the capacity as goodput without admission control.
  it.each([
    [0.5, 24],
    [1, 24],
    [1.75, 24],
    [3, 24],
    [0.5, 400],
    [1, 400],
    [1.75, 400],
    [3, 400],
  ])('keeps its goodput at %f x capacity, queues of %i', (load, queueLimit) => {
    const pool = makePool({gateways, queueLimit});
    pool.add({rate: load * CAPACITY, until: END_MS});
    pool.time.runUntil(DRAINED_MS);
    const {goodput, offered, toldMs} = pool.summary(SETTLED_MS, END_MS);
    const offeredRate = (offered * 1_000) / (END_MS - SETTLED_MS);
    const possible = Math.min(CAPACITY, offeredRate);
    expect(goodput).toBeGreaterThanOrEqual(GOODPUT_PART * possible);
    expect(toldMs).toBeLessThanOrEqual(TOLD_MS);
  });

  // Guards against admission control that delays or refuses without overload.
  it('serves all requests in target at half of its capacity', () => {
    const pool = makePool({gateways});
    pool.add({rate: CAPACITY / 2, until: END_MS});
    pool.time.runUntil(DRAINED_MS);
    expect(pool.summary(0, END_MS).part).toBeGreaterThanOrEqual(0.99);
  });

  // Guards against a large workspace that displaces a small one.
  it('serves a small workspace beside a large one', () => {
    const part = partInTarget(
      gateways,
      ({workspace}) => workspace === 'small',
      pool => {
        pool.add({rate: 2 * CAPACITY, until: END_MS, workspace: 'large'});
        pool.add({rate: CAPACITY / 4, until: END_MS, workspace: 'small'});
      },
    );
    expect(part).toBeGreaterThanOrEqual(0.95);
  });

  // Guards against a low-priority surge that displaces high priorities.
  it('serves a high priority beside a low one', () => {
    const part = partInTarget(
      gateways,
      ({priority}) => priority === 8,
      pool => {
        pool.add({rate: 2 * CAPACITY, until: END_MS, priority: 2});
        pool.add({rate: CAPACITY / 4, until: END_MS, priority: 8});
      },
    );
    expect(part).toBeGreaterThanOrEqual(0.95);
  });

  // Guards against windows and queues that stay small or full after a surge.
  it('serves as before two seconds after a surge', () => {
    const pool = makePool({gateways});
    const surgeEnd = 4_000;
    const end = surgeEnd + SETTLED_MS + 4_000;
    pool.add({rate: 0.6 * CAPACITY, until: end});
    pool.add({rate: 2.4 * CAPACITY, from: 2_000, until: surgeEnd});
    pool.time.runUntil(end + 2_000);
    const before = pool.summary(0, 2_000).part;
    const after = pool.summary(surgeEnd + SETTLED_MS, end).part;
    expect(before).toBeGreaterThanOrEqual(0.99);
    expect(after).toBeGreaterThanOrEqual(0.99);
    for (const {admission} of pool.gateways) {
      expect(admission.isCongested(pool.time.now)).toBe(false);
    }
  });

  // Guards against capacity that stays reserved for gateways that are gone.
  it('replaces half of its gateways within a second', () => {
    const pool = makePool({gateways});
    pool.add({rate: 1.75 * CAPACITY, until: END_MS});
    pool.time.runUntil(SETTLED_MS);
    for (const gateway of pool.gateways.slice(gateways / 2)) {
      gateway.alive = false;
    }
    pool.time.runUntil(DRAINED_MS);
    const {goodput} = pool.summary(SETTLED_MS + 1_000, END_MS);
    expect(goodput).toBeGreaterThanOrEqual(GOODPUT_PART * CAPACITY);
  });

  // Guards against slow servers that get requests which will be late there, and
  // against slow servers that stay idle while their service time isn't known.
  it.each([
    ['below', 200],
    ['above', 700],
  ])('copes with slow servers at a load %s the capacity', (_name, rate) => {
    const pool = makePool({gateways});
    const end = 10_000;
    pool.add({rate, until: end});
    pool.time.runUntil(SETTLED_MS);
    for (const server of pool.servers.slice(2)) server.slowdown = 3;
    pool.time.runUntil(end + 2_000);
    const slowCapacity = (CAPACITY / 2) * (1 + 1 / 3);
    const {goodput} = pool.summary(2 * SETTLED_MS, end);
    const possible = Math.min(rate, slowCapacity);
    expect(goodput).toBeGreaterThanOrEqual(GOODPUT_PART * possible);
  });

  // Guards against servers that are idle while requests for them wait.
  it('keeps all servers busy at 3 x capacity', () => {
    const pool = makePool({gateways});
    pool.add({rate: 3 * CAPACITY, until: END_MS});
    pool.time.runUntil(SETTLED_MS);
    const before = pool.servers.map(({busyMs}) => busyMs);
    pool.time.runUntil(END_MS);
    const possibleMs = 4 * (END_MS - SETTLED_MS);
    for (const [index, {busyMs}] of pool.servers.entries()) {
      const part = (busyMs - before[index]!) / possibleMs;
      expect(part).toBeGreaterThanOrEqual(GOODPUT_PART);
    }
  });
});
