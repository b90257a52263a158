import {lovagepond} from '@lovagepond/protocol';
import fc from 'fast-check';
import protobuf from 'protobufjs';
import {describe, expect, it} from 'vitest';
import {
  type ReadingReport,
  type RunningRequests,
} from '../../reading_report_log.js';
import {RunningRequestFeed} from '../../running_request_feed.js';
import {RunningRequestTotals} from '../../running_request_totals.js';
import {UpdateEncoder} from '../../update_encoder.js';
import {readReadings} from '../../wire_utils.js';

const SERVERS = Array.from({length: 80}, (_, at) => `i-${at}fa2c1b07`);

function reportOf(
  node: string,
  backendServer: string,
  requests: number,
  outcomes = {ended: 0, failed: 0},
  prefillTokens = 0,
): ReadingReport {
  const running = [{backendServer, requests, prefillTokens, ...outcomes}];
  return {node, readings: [], running};
}

/** A router that keeps the numbers that it receives. */
class Router {
  readonly known = new Map<string, RunningRequests>();
  readonly #feed: RunningRequestFeed;

  constructor(name: string) {
    this.#feed = new RunningRequestFeed(name);
  }

  take(totals: RunningRequestTotals, now: number): readonly RunningRequests[] {
    const sent = this.#feed.next(totals, now);
    for (const one of sent) this.known.set(one.backendServer, one);
    return sent;
  }
}

describe('RunningRequestFeed', () => {
  it('sends the sum of all other routers', () => {
    const report = fc.record({
      router: fc.nat(4),
      server: fc.nat(2),
      requests: fc.nat(9),
    });
    fc.assert(
      fc.property(fc.array(report, {maxLength: 40}), reports => {
        const totals = new RunningRequestTotals();
        const routers = [0, 1, 2, 3, 4].map(at => new Router(`r${at}`));
        const counts = new Map<string, number>();
        let now = 0;
        for (const {router, server, requests} of reports) {
          now += 10;
          totals.record(reportOf(`r${router}`, `s${server}`, requests), now);
          counts.set(`${router} ${server}`, requests);
          for (const one of routers) one.take(totals, now);
        }
        routers.forEach((one, at) => {
          one.take(totals, now + 200);
          for (const server of [0, 1, 2]) {
            const others = [0, 1, 2, 3, 4].filter(router => router !== at);
            const sum = others.reduce(
              (all, router) => all + (counts.get(`${router} ${server}`) ?? 0),
              0,
            );
            expect(one.known.get(`s${server}`)?.requests ?? 0).toBe(sum);
          }
        });
      }),
    );
  });

  // A gateway is killed with requests in flight and can't report their end. If
  // these still counted, the others would keep avoiding their servers.
  it('expires the requests of a router that stopped', () => {
    const totals = new RunningRequestTotals();
    const router = new Router('b');
    totals.record(reportOf('a', 's', 7), 0);
    router.take(totals, 0);
    expect(router.known.get('s')?.requests).toBe(7);
    totals.expireReports(3_100);
    router.take(totals, 3_100);
    expect(router.known.get('s')?.requests).toBe(0);
    expect(totals.countOtherRouters('b')).toBe(0);
  });

  // Routers discard a number that isn't updated for some seconds.
  it('resends an unchanged number', () => {
    const totals = new RunningRequestTotals();
    const router = new Router('b');
    totals.record(reportOf('a', 's', 7), 0);
    expect(router.take(totals, 0)).toHaveLength(1);
    expect(router.take(totals, 500)).toHaveLength(0);
    expect(router.take(totals, 1_100)).toHaveLength(1);
  });

  it('sends each failure once, and none from before the start', () => {
    const totals = new RunningRequestTotals();
    const failed = (now: number): void => {
      totals.record(reportOf('a', 's', 0, {ended: 2, failed: 1}), now);
    };
    failed(0);
    const router = new Router('b');
    router.take(totals, 0);
    expect(router.known.get('s')?.failed ?? 0).toBe(0);
    failed(100);
    failed(150);
    const sent = router.take(totals, 200);
    expect(sent).toMatchObject([{ended: 4, failed: 2}]);
    expect(router.take(totals, 400)).toHaveLength(0);
    totals.record(reportOf('b', 's', 0, {ended: 1, failed: 1}), 500);
    expect(router.take(totals, 600)).toHaveLength(0);
  });

  // Every gateway has requests at every server, and all numbers keep changing.
  // The bytes that a gateway receives must not grow with the number of
  // gateways.
  it('sends updates whose size does not grow with the routers', () => {
    const bytesOfASecond = (routers: number): number => {
      const totals = new RunningRequestTotals();
      const feed = new RunningRequestFeed('r0');
      const encoder = new UpdateEncoder();
      let bytes = 0;
      for (let now = 0; now < 1_000; now += 50) {
        for (let router = 0; router < routers; router += 1) {
          SERVERS.forEach((server, at) => {
            const requests = (now / 50 + router + at) % 4;
            totals.record(reportOf(`r${router}`, server, requests), now);
          });
        }
        const running = feed.next(totals, now);
        const reports = [{node: '', readings: [], running}];
        bytes += encoder.encode({kind: 'readings', reports}).length;
      }
      return bytes;
    };
    const few = bytesOfASecond(10);
    expect(bytesOfASecond(300)).toBeLessThan(1.5 * few);
  });

  // Gateways would send prompts to an engine that is busy with those of others.
  it('sends the pending prompt tokens of all other routers', () => {
    const totals = new RunningRequestTotals();
    const router = new Router('c');
    const outcomes = {ended: 0, failed: 0};
    totals.record(reportOf('a', 's', 2, outcomes, 3_000), 0);
    totals.record(reportOf('b', 's', 1, outcomes, 500), 0);
    totals.record(reportOf('c', 's', 1, outcomes, 900), 0);
    router.take(totals, 0);
    expect(router.known.get('s')).toMatchObject({prefillTokens: 3_500});
    totals.record(reportOf('a', 's', 2, outcomes, 0), 100);
    router.take(totals, 100);
    expect(router.known.get('s')).toMatchObject({prefillTokens: 500});
  });

  // A gateway restarts under its name. What its former process reported must
  // not count in addition, and what a killed one reported must not stay.
  it('replaces and expires the tokens of a former process', () => {
    const totals = new RunningRequestTotals();
    const router = new Router('b');
    const outcomes = {ended: 0, failed: 0};
    totals.record(reportOf('a', 's', 5, outcomes, 5_000), 0);
    totals.record(reportOf('a', 's', 1, outcomes, 1_000), 10);
    router.take(totals, 100);
    expect(router.known.get('s')).toMatchObject({prefillTokens: 1_000});
    totals.expireReports(3_200);
    router.take(totals, 3_200);
    expect(router.known.get('s')).toMatchObject({prefillTokens: 0});
  });

  // The number changes with each prompt and each first token. If each change
  // were sent, the bytes would grow with the rate of requests.
  it('sends a change of the tokens alone only if it is large', () => {
    const totals = new RunningRequestTotals();
    const router = new Router('b');
    const takeAt = (now: number, tokens: number): number => {
      const outcomes = {ended: 0, failed: 0};
      totals.record(reportOf('a', 's', 1, outcomes, tokens), now);
      return router.take(totals, now).length;
    };
    expect(takeAt(0, 4_000)).toBe(1);
    expect(takeAt(100, 5_000)).toBe(0);
    expect(takeAt(200, 5_001)).toBe(1);
    expect(takeAt(300, 4_800)).toBe(0);
    expect(takeAt(400, 0)).toBe(1);
    expect(takeAt(500, 256)).toBe(0);
    expect(takeAt(600, 257)).toBe(1);
  });

  // The field has 32 bits. Larger sums would wrap to small numbers.
  it('bounds the sum of absurd numbers of tokens', () => {
    const running = [{...BUSY, prefillTokens: 3 * 2 ** 32}];
    const digest = decodeReadings(running);
    expect(digest.prefillTokens).toBe(2 ** 32 - 1);
  });
});

const BUSY = {
  backendServer: 's',
  requests: 2,
  ended: 3,
  failed: 1,
  prefillTokens: 5_000,
};

/** Sends counts of one server to a router, and decodes them there. */
function decodeReadings(
  running: readonly RunningRequests[],
): lovagepond.v1.RunningRequests {
  const reports = [{node: '', readings: [], running}];
  const bytes = new UpdateEncoder().encode({kind: 'readings', reports});
  const {readings} = lovagepond.v1.ControlUpdate.decode(bytes);
  return readings!.reports![0]!.running![0] as lovagepond.v1.RunningRequests;
}

// Members and gateways are upgraded one by one.
describe('RunningRequests of two releases', () => {
  const former = protobuf.parse(`
    syntax = "proto3";
    message RunningRequests {
      string backend_server = 1;
      uint32 requests = 2;
      uint32 ended = 3;
      uint32 failed = 4;
    }
    message ReadingReport {
      string node = 1;
      repeated RunningRequests running = 3;
    }
  `).root;
  const formerCounts = former.lookupType('RunningRequests');
  const formerReport = former.lookupType('ReadingReport');

  it('a report of the present one is read by the previous one', () => {
    const report = {node: 'a', running: [BUSY]};
    const bytes = lovagepond.v1.ReadingReport.encode(report).finish();
    const {prefillTokens, ...counts} = BUSY;
    expect(prefillTokens).toBe(5_000);
    expect(formerReport.toObject(formerReport.decode(bytes))).toMatchObject({
      node: 'a',
      running: [counts],
    });
  });

  it('an update of the present one is read by the previous one', () => {
    const {prefillTokens, ...counts} = BUSY;
    const bytes = lovagepond.v1.RunningRequests.encode(BUSY).finish();
    const decoded = formerCounts.toObject(formerCounts.decode(bytes));
    expect(decoded).toMatchObject(counts);
    expect(prefillTokens).toBe(5_000);
  });

  it('a report of the previous one counts no tokens', () => {
    const {prefillTokens, ...counts} = BUSY;
    const bytes = formerReport.encode({node: 'a', running: [counts]}).finish();
    const wire = lovagepond.v1.ReadingReport.decode(bytes);
    const totals = new RunningRequestTotals();
    totals.record(readReadings(wire), 0);
    const present = {...counts, prefillTokens};
    totals.record({node: 'b', readings: [], running: [present]}, 0);
    expect(totals.others('c', 's')).toEqual({
      requests: 4,
      ended: 6,
      failed: 2,
      prefillTokens: 5_000,
    });
  });

  // With the setting off at all gateways, messages are the same bytes.
  it('a message without tokens is that of the previous one', () => {
    const {prefillTokens, ...counts} = BUSY;
    const bytes = formerCounts.encode(counts).finish();
    expect(prefillTokens).toBe(5_000);
    const decoded = decodeReadings([{...BUSY, prefillTokens: 0}]);
    const present = lovagepond.v1.RunningRequests.encode(decoded).finish();
    expect(Buffer.from(present)).toEqual(Buffer.from(bytes));
  });
});
