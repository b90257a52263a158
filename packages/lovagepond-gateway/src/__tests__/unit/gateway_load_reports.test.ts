import {describe, expect, it} from 'vitest';
import {GatewayFleet} from '../../gateway_fleet.js';
import {PrefillRate} from '../../gateway_prefill_rate.js';
import {GatewayLoadReports} from '../../gateway_load_reports.js';
import {type ServerState} from '../../gateway_server_state.js';
import {makeBackendServer} from './backend_servers.js';

/** A gateway with a hundred servers. */
class Gateway {
  readonly fleet = new GatewayFleet();
  readonly readings: GatewayLoadReports;
  readonly name: string;

  constructor(name: string) {
    this.name = name;
    this.readings = new GatewayLoadReports(
      name,
      this.fleet,
      new PrefillRate(40),
    );
    const names = Array.from({length: 100}, (_, at) => `server-${at}`);
    const list = names.map(
      server => [server, makeBackendServer(server)] as const,
    );
    this.fleet.useMembership({version: 1, servers: new Map(list)});
  }

  server(at: number): ServerState {
    return this.fleet.find(`server-${at}`)!;
  }

  /** Distributes a report as control does. */
  reportTo(other: Gateway, now: number): boolean {
    const report = this.readings.takeReport(now);
    if (!report) return false;
    const digest = {reports: [{...report, node: this.name}]};
    other.readings.apply(digest, now);
    this.readings.apply(digest, now);
    return true;
  }
}

describe('GatewayLoadReports', () => {
  // Many gateways send one request each to the same server. Each one alone sees
  // a server with one request, while together they overload it.
  it('counts the requests of all gateways at a server', () => {
    const here = new Gateway('here');
    const there = new Gateway('there');
    there.server(3).inFlight = 5;
    here.server(3).inFlight = 2;
    expect(there.reportTo(here, 1_000)).toBe(true);
    expect(here.server(3).load(1_000)).toBe(7);
    expect(there.server(3).load(1_000)).toBe(5);
    there.server(3).inFlight = 0;
    expect(there.reportTo(here, 2_000)).toBe(true);
    expect(here.server(3).load(2_000)).toBe(2);
  });

  // With a hundred servers, a report every 20 ms from each gateway to each
  // other one would be most of their traffic. Prefill reports can't wait that
  // long.
  it('reports request counts less often with more servers', () => {
    const here = new Gateway('here');
    const there = new Gateway('there');
    here.server(0).inFlight = 1;
    expect(here.reportTo(there, 1_000)).toBe(true);
    here.server(0).inFlight = 2;
    expect(here.reportTo(there, 1_399)).toBe(false);
    const tokens = {newTokens: 900, prefillTokens: 800};
    here.readings.notePrefill(here.server(1), ['a'], tokens);
    expect(here.reportTo(there, 1_399)).toBe(true);
    expect(there.server(0).load(1_399)).toBe(2);
    expect(there.server(1).prefillWaitMs(40, 1_399)).toBe(20);
    expect(here.reportTo(there, 2_898)).toBe(false);
  });

  // Members of control are upgraded one by one, and gateways switch between
  // them. One release reports each gateway separately, the other one the sum of
  // all. Counted twice, the busiest servers would look overloaded.
  it('counts requests once when members of two releases report', () => {
    const here = new Gateway('here');
    const tell = (node: string, requests: number, now: number): void => {
      const running = [{backendServer: 'server-3', requests}];
      here.readings.apply({reports: [{node, running}]}, now);
    };
    tell('x', 2, 0);
    tell('y', 3, 0);
    expect(here.server(3).load(0)).toBe(5);
    tell('', 5, 100);
    expect(here.server(3).load(100)).toBe(5);
    tell('x', 2, 200);
    tell('y', 3, 200);
    expect(here.server(3).load(200)).toBe(5);
  });

  // Guards against servers that look idle while long requests occupy them.
  it('keeps counting long-running requests', () => {
    const here = new Gateway('here');
    const there = new Gateway('there');
    there.server(0).inFlight = 4;
    for (let now = 0; now <= 10_000; now += 100) {
      there.reportTo(here, now);
      here.fleet.expire(now);
      expect(here.server(0).load(now)).toBe(4);
    }
  });

  // A gateway is killed with requests in flight, and can't withdraw its report.
  it('drops the counts of a gateway that stopped', () => {
    const here = new Gateway('here');
    const stopped = new Gateway('gone');
    stopped.server(0).inFlight = 9;
    stopped.reportTo(here, 0);
    here.fleet.expire(2_900);
    expect(here.server(0).load(2_900)).toBe(9);
    here.fleet.expire(3_100);
    expect(here.server(0).load(3_100)).toBe(0);
  });
});
