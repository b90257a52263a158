import {Random} from '@lovagepond/core';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {GatewayAdmission} from '../../gateway_admission.js';
import {ConfigurationAuthority} from '../../gateway_authority.js';
import {EventStream} from '../../gateway_event_stream.js';
import {headersForServer, readFacts} from '../../gateway_headers.js';
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
