import {Random} from '@lovagepond/core';
import {afterEach, expect, it, vi} from 'vitest';
import {
  answer,
  beginStream,
  clock,
  GatewayHarness,
  NAMES,
  refuse,
  type Script,
} from './gateway_harness.js';
import {contentWith} from './overloaded_pool.js';

const SERVERS = 3;
const CALLS = 240;
const KINDS = ['low', 'read', 'high'];

/** Servers' own queues may use little of a request's time. */
const CLOSED = {serverQueuePart: 0.05};

/** Short enough that some calls end by their deadline, milliseconds. */
const DEADLINE_MS = 400;

let gateway: GatewayHarness | undefined;

afterEach(() => {
  gateway?.stop();
});

/** Estimated duration of a call at first, milliseconds. */
const SLOW_MS = 300;

interface PoolState {
  readonly waiting: number;
  readonly windows: Readonly<Record<string, {readonly inFlight: number}>>;
}

/** Each of them is met by one request in twenty. */
const FAULTS: readonly Script[] = [
  (req, res) => {
    res.setHeader(NAMES.serverLoad, '1,4,1');
    refuse(req, res);
  },
  refuse,
  (_req, res) => {
    res.destroy();
  },
  (req, res) => {
    answer(req, res, 500, 'failed');
  },
  (req, res) => {
    beginStream(req, res);
    res.write('cut');
    setTimeout(() => res.destroy(), 1);
  },
  // Answers never.
  () => {},
];

function faulty(random: Random): Script {
  return (req, res, body) => {
    const fault = FAULTS[random.below(20)];
    if (fault) {
      fault(req, res, body);
      return;
    }
    const healthy = (): void => {
      if (!res.destroyed) answer(req, res, 200, 'whole');
    };
    setTimeout(healthy, 5 + random.below(30));
  };
}

/** What happens at the gateway while the calls run. */
function disturb(one: GatewayHarness, random: Random): void {
  const {overload, gatewayFleet: fleet} = one;
  const events = [
    () => overload.useConfiguration(contentWith(undefined)),
    () =>
      overload.useConfiguration(contentWith({...CLOSED, maxQueuedRequests: 4})),
    () => overload.useConfiguration(contentWith(CLOSED)),
    () => {
      const state = fleet.find(`server-${random.below(SERVERS)}`);
      if (!state) return;
      const signals = {isLeaving: false, pauseMs: 20};
      if (fleet.noteSignals(state, signals, clock.now())) {
        overload.noteServersChanged();
      }
    },
    () => overload.keepOnly(new Set(['server-0'])),
  ];
  events[random.below(events.length)]?.();
}

// Guards against calls without an answer, requests that stay in a queue, and
// work that a window counts for ever, whatever servers and callers do.
it.each([1, 2, 3])(
  'gives each call one answer and forgets it, with faults of seed %i',
  async seed => {
    const random = new Random(seed);
    const scripts = Array.from({length: SERVERS}, () => faulty(random));
    const one = await GatewayHarness.start(scripts, {
      content: contentWith(CLOSED),
      listed: () => ({directSlots: 1}),
    });
    gateway = one;
    // While the estimates are this high, a busy server is closed.
    for (const {capacity} of one.gatewayFleet.all()) {
      for (const kind of KINDS) {
        capacity.noteService(kind, SLOW_MS, 0, 1, clock.now());
      }
    }
    const calls: Promise<number>[] = [];
    for (let nth = 0; nth < CALLS; nth += 1) {
      const path = `/${KINDS[random.below(KINDS.length)] ?? ''}/${nth}`;
      const key = `key-${random.below(9)}`;
      const deadline = String(DEADLINE_MS);
      const headers = {[NAMES.apiKey]: key, [NAMES.deadlineMs]: deadline};
      const abort =
        random.below(10) === 0 ? AbortSignal.timeout(20) : undefined;
      calls.push(
        one
          .call({path, headers, ...(abort && {abort})})
          .then(({status}) => status)
          .catch(() => 0),
      );
      if (random.below(12) === 0) disturb(one, random);
      await new Promise(resolve => setTimeout(resolve, random.below(6)));
    }
    const statuses = await Promise.all(calls);
    expect(statuses).toHaveLength(CALLS);
    expect(new Set(statuses)).toContain(200);
    await vi.waitFor(() => {
      expect(one.server.inFlight).toBe(0);
    });
    const ended = Object.values(one.counters.read().endedByOutcome);
    const refused = Object.values(one.counters.read().refusedByKind);
    const sum = [...ended, ...refused].reduce((all, count) => all + count, 0);
    expect(sum).toBe(CALLS);
    const {pools, waitedRequests} = one.overload.describe(clock.now());
    expect(waitedRequests).toBeGreaterThan(0);
    for (const state of Object.values(pools as Record<string, PoolState>)) {
      expect(state.waiting).toBe(0);
      const windows = Object.values(state.windows);
      expect(windows.map(({inFlight}) => inFlight)).toEqual(
        windows.map(() => 0),
      );
    }
    for (const state of one.gatewayFleet.all()) expect(state.inFlight).toBe(0);
  },
);
