import {Random} from '@lovagepond/core';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {GatewayAdmission} from '../../gateway_admission.js';
import {ConfigurationAuthority} from '../../gateway_authority.js';
import {EventStream} from '../../gateway_event_stream.js';
import {GatewayPeers} from '../../gateway_peers.js';
import {headersForServer, readFacts} from '../../gateway_headers.js';
import {GatewayRetryBudget} from '../../gateway_retry_budget.js';
import {CONTENT, KEY, NAMES} from './gateway_harness.js';

const BOUND_MS = 5_000;

function at(now: number, wallTime = now): {now: number; wallTime: number} {
  return {now, wallTime};
}

describe('ConfigurationAuthority', () => {
  it('stops trusting keys before the bound without a confirmation', () => {
    const authority = new ConfigurationAuthority(BOUND_MS);
    authority.noteInstalled(3);
    authority.confirm(3, at(1_000), 1_000);
    expect(authority.trustsKeys(at(1_000 + BOUND_MS * 0.8))).toBe(true);
    expect(authority.trustsKeys(at(1_000 + BOUND_MS))).toBe(false);
  });

  // The machine is suspended for six seconds, which its monotonic clock does
  // not count. A request that waited in a socket must not be admitted with a
  // key that was removed meanwhile, so the wall clock counts too.
  it('stops trusting keys after a suspension of the monotonic clock', () => {
    const authority = new ConfigurationAuthority(BOUND_MS);
    authority.noteInstalled(3);
    authority.confirm(3, at(1_000), 1_000);
    expect(authority.trustsKeys(at(1_100, 7_100))).toBe(false);
  });

  // Control confirms a newer revision than the installed one. The confirmation
  // counts only once that revision is installed.
  it('trusts keys only once the confirmed revision is installed', () => {
    const authority = new ConfigurationAuthority(BOUND_MS);
    authority.noteInstalled(3);
    authority.confirm(4, at(1_000), 1_000);
    expect(authority.trustsKeys(at(1_001))).toBe(false);
    authority.noteInstalled(4);
    expect(authority.trustsKeys(at(1_002))).toBe(true);
  });

  // Changes follow in quick succession, so each response names a newer
  // revision. The lag counts from the first response that named a missing one.
  it('switches members half a second after a missing revision', () => {
    const authority = new ConfigurationAuthority(BOUND_MS);
    authority.noteInstalled(3);
    authority.confirm(3, at(500), 510);
    authority.confirm(4, at(1_000), 1_100);
    authority.confirm(5, at(1_400), 1_410);
    expect(authority.shouldSwitchMember(1_599)).toBe(false);
    expect(authority.shouldSwitchMember(1_600)).toBe(true);
    expect(authority.shouldSwitchMember(2_099)).toBe(false);
    expect(authority.shouldSwitchMember(2_100)).toBe(true);
  });

  // The process was stalled between the query and the response. The change
  // arrived together with the response and is only not yet processed.
  it('does not count time in which the process itself was stalled', () => {
    const authority = new ConfigurationAuthority(BOUND_MS);
    authority.noteInstalled(3);
    authority.confirm(4, at(1_000), 4_000);
    expect(authority.shouldSwitchMember(4_000)).toBe(false);
    authority.noteInstalled(4);
    expect(authority.shouldSwitchMember(9_000)).toBe(false);
  });

  it('does not switch members once the confirmed revision is installed', () => {
    const authority = new ConfigurationAuthority(BOUND_MS);
    authority.noteInstalled(3);
    authority.confirm(5, at(1_000), 1_000);
    authority.noteInstalled(4);
    expect(authority.shouldSwitchMember(1_500)).toBe(true);
    authority.noteInstalled(5);
    expect(authority.shouldSwitchMember(9_000)).toBe(false);
  });
});

describe('GatewayAdmission', () => {
  const facts = readFacts({[NAMES.apiKey]: KEY}, NAMES);
  const head = {host: 'shop.example:8080', path: '/read/x?y=1', facts};

  function makeAdmission(): GatewayAdmission {
    const admission = new GatewayAdmission(BOUND_MS, new Random(1));
    admission.install({revision: 1, content: CONTENT});
    return admission;
  }

  // A gateway that can't reach control must not reject a key as invalid, as the
  // key may have been added meanwhile. It responds with "not ready", which
  // means that the request was not run.
  it('rejects an unknown route only while its configuration is recent', () => {
    const admission = makeAdmission();
    const unknown = {...head, path: '/none/'};
    expect(admission.admit(unknown, 0, at(0))).toMatchObject({
      error: 'notReady',
    });
    admission.authority.confirm(1, at(0), 0);
    expect(admission.admit(unknown, 0, at(10))).toMatchObject({
      error: 'notFound',
    });
    expect(admission.admit(head, 0, at(10)).ok).toBe(true);
    expect(admission.admit(head, 0, at(BOUND_MS))).toMatchObject({
      error: 'notReady',
    });
  });
});

describe('headersForServer', () => {
  it('drops headers reserved for gateways and hop-by-hop headers', () => {
    const names = {...NAMES, routerOnly: ['x-pin']};
    const headers = headersForServer(
      [
        ...['X-Pin', '1', 'Connection', 'X-Hop', 'X-Hop', '2', 'A', '3'],
        ...[NAMES.contextSource, '10.0.0.1:80'],
      ],
      names,
      {
        deadlineMs: 10.4,
        workspace: 'nord',
        instance: 'i',
        enginePriority: undefined,
        contextSource: undefined,
        lastEventId: undefined,
      },
    );
    expect(headers).toEqual([
      ...['A', '3', NAMES.deadlineMs, '10', NAMES.workspace, 'nord'],
      ...[NAMES.expectedInstance, 'i'],
    ]);
  });
});

describe('GatewayRetryBudget', () => {
  // Every request fails and asks for a retry. In no window may retries exceed
  // the fraction of requests plus this gateway's share of the slack.
  it('limits retries in any window', () => {
    const settings = {
      retryFraction: 0.2,
      retryWindowMs: 1_000,
      retrySlack: 3,
      retryShares: 1,
    };
    fc.assert(
      fc.property(fc.array(fc.integer({min: 0, max: 200})), gaps => {
        const budget = new GatewayRetryBudget(settings, new GatewayPeers());
        const requests: number[] = [];
        const tries: number[] = [];
        let now = 0;
        for (const gap of gaps) {
          now += gap;
          requests.push(now);
          budget.noteRequest('p', now);
          if (budget.trySpend('p', now)) tries.push(now);
          const inWindow = (times: number[]): number =>
            times.filter(time => time >= now - 1_000).length;
          const allowed = inWindow(requests) * 0.2 + 3;
          expect(inWindow(tries)).toBeLessThanOrEqual(allowed);
        }
      }),
    );
  });

  // Guards against retries that are spent in one window and arrive in the next, as
  // they waited for a server with room, a permit or a connection.
  it('limits the arrivals of retries in any window, late as they may be', () => {
    const settings = {
      retryFraction: 0,
      retryWindowMs: 10_000,
      retrySlack: 20,
      retryShares: 1,
    };
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.nat(400), fc.nat(1_000)), {minLength: 60}),
        steps => {
          const budget = new GatewayRetryBudget(settings, new GatewayPeers());
          const arrivals: number[] = [];
          let now = 0;
          for (const [gap, delay] of steps) {
            now += gap;
            if (budget.trySpend('p', now)) arrivals.push(now + delay);
          }
          for (const from of arrivals) {
            const inWindow = arrivals.filter(
              at => at >= from && at < from + 10_000,
            );
            expect(inWindow.length).toBeLessThanOrEqual(20);
          }
        },
      ),
    );
  });

  // All servers of a pool fail every request, so each gateway asks for a retry
  // of each. The retries of all gateways together stay within the common slack,
  // whatever the number of gateways.
  it.each([4, 16, 70, 370])(
    'limits the retries of %i gateways that see each other',
    count => {
      const settings = {
        retryFraction: 0.2,
        retryWindowMs: 10_000,
        retrySlack: 180,
        retryShares: 16,
      };
      const REQUESTS_EACH = 100;
      let tries = 0;
      for (let gateway = 0; gateway < count; gateway += 1) {
        const peers = new GatewayPeers();
        for (let other = 1; other < count; other += 1) {
          peers.note(`g${other}`, 0);
        }
        const budget = new GatewayRetryBudget(settings, peers);
        for (let now = 0; now < REQUESTS_EACH; now += 1) {
          budget.noteRequest('p', now);
          if (budget.trySpend('p', now)) tries += 1;
        }
      }
      const allowed = REQUESTS_EACH * count * 0.2 + settings.retrySlack;
      expect(tries).toBeLessThanOrEqual(allowed);
    },
  );

  it('divides the slack among the gateways seen within the window', () => {
    const settings = {
      retryFraction: 0,
      retryWindowMs: 1_000,
      retrySlack: 8,
      retryShares: 2,
    };
    const peers = new GatewayPeers();
    const budget = new GatewayRetryBudget(settings, peers);
    const spendAll = (now: number): number => {
      let spent = 0;
      while (budget.trySpend('p', now)) spent += 1;
      return spent;
    };
    expect(spendAll(0)).toBe(4);
    for (const other of ['a', 'b', 'c']) peers.note(other, 2_000);
    expect(spendAll(2_001)).toBe(2);
    expect(spendAll(9_000)).toBe(4);
  });
});

describe('EventStream', () => {
  it('returns complete events in order for any chunk boundaries', () => {
    const text = [1, 2, 3].map(id => `id: ${id}\ndata: x\n\n`).join('');
    fc.assert(
      fc.property(fc.array(fc.nat(text.length)), cuts => {
        const places = [0, ...cuts.sort((a, b) => a - b), text.length];
        const stream = new EventStream();
        let out = '';
        places.slice(1).forEach((end, index) => {
          const chunk = Buffer.from(text.slice(places[index], end));
          const piece = stream.take(chunk);
          if (piece.kind === 'events') out += piece.bytes.toString();
        });
        expect(out).toBe(text);
        expect(stream.isAtEventBoundary).toBe(true);
        expect(stream.lastId).toBe(3);
      }),
    );
  });
});
