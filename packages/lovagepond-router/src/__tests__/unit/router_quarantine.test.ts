import {CrashEvidence} from '@lovagepond/core';
import {expect, test} from 'vitest';
import {fingerprintOf, RequestQuarantine} from '../../router_quarantine.js';

const CONTENT = {
  method: 'POST',
  path: '/chat?x=1',
  workspace: 'nord',
  body: Buffer.from('hello'),
};
const BAD = fingerprintOf(CONTENT);
const HOUR_MS = 3_600_000;

function crash(server: string, crashedAt: number) {
  return {server, requests: [[BAD]], crashedAt};
}

test('a fingerprint covers the method, the path, the workspace and the body', () => {
  expect(BAD).toMatch(/^[0-9a-f]{32}$/);
  expect(fingerprintOf({...CONTENT})).toBe(BAD);
  const others = [
    {method: 'PUT'},
    {path: '/chat?x=2'},
    {workspace: 'sud'},
    {body: Buffer.from('hellO')},
  ];
  for (const other of others) {
    expect(fingerprintOf({...CONTENT, ...other})).not.toBe(BAD);
  }
});

// Guards against a router that, cut off from the control plane, crashes all of
// its servers.
test('crashes that the control plane has not recorded count locally', () => {
  const quarantine = new RequestQuarantine();
  for (const at of [1, 2, 3]) {
    quarantine.noteCrash(crash(`s${at}`, at * 1_000), at * 1_000);
    quarantine.takeReport(at * 1_000);
    quarantine.endReport(false);
  }
  expect(quarantine.quarantinedForMs([BAD], 3_000)).toBe(HOUR_MS);
});

// Guards against a crash that is never counted because the leader failed before
// it recorded the report.
test('a report that is not recorded is sent again', () => {
  const quarantine = new RequestQuarantine();
  quarantine.noteCrash(crash('s1', 0), 0);
  expect(quarantine.takeReport(10)?.crashes).toEqual([
    {
      backendServer: 's1',
      requests: [Buffer.from(BAD, 'hex')],
      parts: [{ids: []}],
      ageMs: 10,
    },
  ]);
  expect(quarantine.takeReport(20)).toBeUndefined();
  quarantine.noteCrash(crash('s2', 15), 15);
  quarantine.endReport(false);
  const again = quarantine.takeReport(30)?.crashes ?? [];
  expect(again.map(one => one.backendServer)).toEqual(['s1', 's2']);
  quarantine.endReport(true);
  expect(quarantine.takeReport(40)).toBeUndefined();
});

test('an operator can lift a quarantine that this router has reported', () => {
  const quarantine = new RequestQuarantine();
  for (const at of [1, 2, 3]) {
    quarantine.noteCrash(crash(`s${at}`, at * 1_000), at * 1_000);
  }
  quarantine.takeReport(3_000);
  quarantine.apply({suspects: []}, 3_000);
  expect(quarantine.quarantinedForMs([BAD], 3_000)).toBeDefined();
  quarantine.endReport(true);
  const request = Buffer.from(BAD, 'hex');
  const fromControl = {request, crashes: 3, quarantinedForMs: HOUR_MS};
  expect(quarantine.apply({suspects: [fromControl]}, 3_100)).toMatchObject([
    {subject: BAD},
  ]);
  expect(quarantine.apply({suspects: [fromControl]}, 3_200)).toEqual([]);
  quarantine.apply({suspects: []}, 3_300);
  expect(quarantine.quarantinedForMs([BAD], 3_300)).toBeUndefined();
});

// Guards against quarantining a frequent request that many servers were running
// when they lost power.
test('a recently answered request is not counted for a crash', () => {
  const quarantine = new RequestQuarantine();
  quarantine.noteAnswered([BAD], 0);
  quarantine.noteCrash(crash('s1', 59_000), 59_000);
  expect(quarantine.takeReport(59_000)?.crashes).toMatchObject([
    {backendServer: 's1', requests: []},
  ]);
  quarantine.endReport(true);
  const request = Buffer.from(BAD, 'hex');
  const fromControl = {request, crashes: 3, quarantinedForMs: HOUR_MS};
  expect(quarantine.apply({suspects: [fromControl]}, 59_500)).toEqual([]);
  expect(quarantine.quarantinedForMs([BAD], 59_500)).toBeUndefined();
  expect(quarantine.takeReport(59_500)?.answered).toEqual([request]);
  quarantine.noteCrash(crash('s2', 61_000), 61_000);
  expect(quarantine.crashesOf([BAD], 61_000)).toBe(1);
});

test('a complete answer clears a suspect and is reported to the control plane', () => {
  const quarantine = new RequestQuarantine();
  quarantine.noteAnswered([BAD], -HOUR_MS);
  expect(quarantine.takeReport(0)).toBeUndefined();
  const request = Buffer.from(BAD, 'hex');
  quarantine.apply({suspects: [{request, crashes: 2}]}, 0);
  quarantine.noteAnswered([BAD], 0);
  expect(quarantine.suspicionsOf([BAD], 0)).toEqual([]);
  expect(quarantine.takeReport(0)?.answered).toEqual([request]);
});

// Guards against a router that counts a crash again for a request that was
// answered since, because control has not yet recorded the crash.
test('an unreported crash does not count for a request answered since', () => {
  const quarantine = new RequestQuarantine();
  quarantine.noteCrash(crash('s1', 1_000), 1_000);
  quarantine.noteAnswered([BAD], 2_000);
  quarantine.apply({suspects: []}, 3_000);
  expect(quarantine.suspicionsOf([BAD], 3_000)).toEqual([]);
});

// Guards against a quarantine by crashes from before an answer: one router
// reports the answer, another one reports an earlier crash later.
test('a late report of an earlier crash does not outweigh an answer', () => {
  const control = new CrashEvidence();
  const [answering, late] = [new RequestQuarantine(), new RequestQuarantine()];
  const report = (from: RequestQuarantine, now: number): void => {
    const {crashes = [], answered = []} = from.takeReport(now) ?? {};
    from.endReport(true);
    for (const bytes of answered ?? []) {
      control.forget(Buffer.from(bytes).toString('hex'), now);
    }
    for (const {backendServer, ageMs} of crashes ?? []) {
      const crashedAt = now - (ageMs ?? 0);
      control.noteCrash(
        {server: backendServer ?? '', requests: [[BAD]], crashedAt},
        now,
      );
    }
  };
  late.noteCrash(crash('s1', 1_000), 1_000);
  late.noteCrash(crash('s2', 1_500), 1_500);
  answering.noteCrash(crash('s0', 1_800), 1_800);
  answering.noteAnswered([BAD], 2_000);
  report(answering, 2_100);
  report(late, 3_000);
  expect(control.find(BAD, 3_000)).toBeUndefined();
  answering.noteCrash(crash('s3', 70_000), 70_000);
  report(answering, 70_100);
  expect(control.find(BAD, 70_100)?.crashes).toBe(1);
});

// Guards against a gateway that refuses sound prompts because they share one of
// the parts that were always together when servers crashed.
test('a quarantined part covers only prompts that have its companions', () => {
  const quarantine = new RequestQuarantine();
  const parts = [
    {id: 'a', crashes: 3, quarantinedForMs: HOUR_MS, companions: ['b']},
  ];
  expect(quarantine.apply({parts}, 0)).toMatchObject([{subject: 'part:a'}]);
  expect(quarantine.quarantinedForMs([BAD, 'part:a'], 0)).toBeUndefined();
  const both = [BAD, 'part:a', 'part:c', 'part:b'];
  expect(quarantine.quarantinedForMs(both, 0)).toBe(HOUR_MS);
  expect(quarantine.crashesOf([BAD, 'part:a'], 0)).toBe(0);
  const alone = [{...parts[0], companions: []}];
  expect(quarantine.apply({parts: alone}, 10)).toHaveLength(1);
  expect(quarantine.quarantinedForMs([BAD, 'part:a'], 10)).toBe(HOUR_MS);
});

test('crashes are reported with the parts that were not answered lately', () => {
  const quarantine = new RequestQuarantine();
  quarantine.noteAnswered(['f0', 'part:popular'], 0);
  const requests = [[BAD, 'part:popular', 'part:bad']];
  quarantine.noteCrash({server: 's1', requests, crashedAt: 1_000}, 1_000);
  expect(quarantine.takeReport(1_000)?.crashes).toMatchObject([
    {requests: [Buffer.from(BAD, 'hex')], parts: [{ids: ['bad']}]},
  ]);
});
