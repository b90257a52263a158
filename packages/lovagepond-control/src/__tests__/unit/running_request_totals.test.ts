import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  type ReadingReport,
  type RunningRequests,
} from '../../reading_report_log.js';
import {RunningRequestFeed} from '../../running_request_feed.js';
import {RunningRequestTotals} from '../../running_request_totals.js';
import {UpdateEncoder} from '../../update_encoder.js';

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
});
