import {CRASH_RULES} from '@lovagepond/core';
import {describe, expect, it} from 'vitest';
import {
  toCrashesPayload,
  toQuarantineUpdate,
} from '../../crash_report_codec.js';

const FINGERPRINT = '00112233445566778899aabbccddeeff';
const REQUEST = Buffer.from(FINGERPRINT, 'hex');
const REPORT = {
  crashes: [
    {
      backendServer: 's1',
      requests: [REQUEST, Buffer.alloc(0)],
      parts: [{ids: ['a', 'b']}, {ids: ['c']}],
      ageMs: 4,
    },
  ],
  answered: [REQUEST],
  answeredParts: ['d'],
};

describe('reports of crashes', () => {
  it('name the parts of each request', () => {
    const payload = toCrashesPayload(REPORT, CRASH_RULES.BY_SUBJECT);
    const requests = [[FINGERPRINT, 'part:a', 'part:b'], ['part:c']];
    expect(payload.crashes).toEqual([{server: 's1', requests, ageMs: 4}]);
    expect(payload.answered).toEqual([FINGERPRINT, 'part:d']);
  });

  // Guards against a command that members of the release before can't apply.
  it('name whole requests only while a member is of the release before', () => {
    const payload = toCrashesPayload(REPORT, CRASH_RULES.COUNTED_ONCE);
    const requests = [FINGERPRINT];
    expect(payload.crashes).toEqual([{server: 's1', requests, ageMs: 4}]);
  });

  it('are accepted from routers that know whole requests only', () => {
    const crashes = [{backendServer: 's1', requests: [REQUEST]}];
    const payload = toCrashesPayload({crashes}, CRASH_RULES.BY_SUBJECT);
    const requests = [[FINGERPRINT]];
    expect(payload.crashes).toEqual([{server: 's1', requests, ageMs: 0}]);
  });
});

describe('the list of suspects', () => {
  it('has requests and parts apart', () => {
    const one = {crashes: 3, quarantinedForMs: 10, companions: []};
    const update = toQuarantineUpdate([
      {...one, request: FINGERPRINT},
      {...one, request: 'part:a', companions: ['part:b', FINGERPRINT]},
    ]);
    expect(update.suspects).toEqual([
      {request: REQUEST, crashes: 3, quarantinedForMs: 10},
    ]);
    expect(update.parts).toEqual([
      {id: 'a', crashes: 3, quarantinedForMs: 10, companions: ['b']},
    ]);
  });
});
