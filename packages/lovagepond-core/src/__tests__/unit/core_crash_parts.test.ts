import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {CRASH_RULES, CrashEvidence} from '../../core_crash_evidence.js';
import {
  partIdOf,
  type RequestSubjects,
  toRequestSubjects,
} from '../../core_crash_subjects.js';

const SECOND_MS = 1_000;

/** Records the crash of server `s<number>` at `number` seconds. */
function crash(
  evidence: CrashEvidence,
  number: number,
  ...requests: RequestSubjects[]
): readonly string[] {
  const crashedAt = number * SECOND_MS;
  return evidence.noteCrash(
    {server: `s${number}`, requests, crashedAt},
    crashedAt,
  );
}

/** A request that differs from all others, with these shared parts. */
function prompt(number: number | string, ...parts: string[]): RequestSubjects {
  return toRequestSubjects(`f${number}`, [...parts, `last-${number}`]);
}

function companionsOf(
  evidence: CrashEvidence,
  subject: string,
): readonly string[] | undefined {
  return evidence.find(subject, 0)?.companions;
}

describe('subjects of a request', () => {
  it('are its fingerprint and all parts but the last, each once', () => {
    expect(toRequestSubjects('f', ['a', 'b', 'a', 'c'])).toEqual([
      'f',
      'part:a',
      'part:b',
    ]);
    expect(toRequestSubjects('f', ['a'])).toEqual(['f']);
    expect(partIdOf('part:a')).toBe('a');
    expect(partIdOf('f')).toBeUndefined();
  });

  it('leave out ids that are too long to keep', () => {
    expect(toRequestSubjects('f', ['x'.repeat(65), 'b', 'c'])).toEqual([
      'f',
      'part:b',
    ]);
  });
});

describe('CrashEvidence for parts of prompts', () => {
  // Guards against a part that crashes servers under requests that all differ.
  it('quarantines a part that three different requests shared', () => {
    const evidence = new CrashEvidence();
    crash(evidence, 1, prompt(1, 'a', 'bad'), prompt('x', 'a', 'c'));
    crash(evidence, 2, prompt(2, 'd', 'bad'));
    expect(crash(evidence, 3, prompt(3, 'a', 'bad'))).toEqual(['part:bad']);
    expect(companionsOf(evidence, 'part:bad')).toEqual([]);
    expect(evidence.find('part:a', 0)).toBeUndefined();
  });

  // Guards against refusing sound prompts with a part that only ever came
  // together with the one that crashes servers.
  it('limits a quarantine to prompts with all parts that were together', () => {
    const evidence = new CrashEvidence();
    crash(evidence, 1, prompt(1, 'a', 'bad'));
    crash(evidence, 2, prompt(2, 'a', 'bad'));
    expect(crash(evidence, 3, prompt(3, 'a', 'bad'))).toEqual([
      'part:a',
      'part:bad',
    ]);
    expect(companionsOf(evidence, 'part:a')).toEqual(['part:bad']);
    expect(companionsOf(evidence, 'part:bad')).toEqual(['part:a']);
  });

  it('extends it once one of them crashes a server without the other', () => {
    const evidence = new CrashEvidence();
    for (const at of [1, 2, 3]) crash(evidence, at, prompt(at, 'a', 'bad'));
    crash(evidence, 4, prompt(4, 'c', 'bad'));
    expect(companionsOf(evidence, 'part:bad')).toEqual([]);
    expect(crash(evidence, 5, prompt(5, 'e', 'bad'))).toEqual([]);
    expect(evidence.find('part:e', 0)).toBeUndefined();
  });

  it('extends it once one of them was answered without the other', () => {
    const evidence = new CrashEvidence();
    for (const at of [1, 2, 3]) crash(evidence, at, prompt(at, 'a', 'bad'));
    evidence.forget('part:a', 4 * SECOND_MS);
    expect(companionsOf(evidence, 'part:bad')).toEqual([]);
    expect(evidence.find('part:bad', 0)?.quarantinedUntil).toBeDefined();
  });

  // Guards against refusing all prompts with a part because one request with
  // it, repeated by its caller, crashes servers.
  it('blames a repeated request rather than the parts of its prompt', () => {
    const evidence = new CrashEvidence();
    const same = prompt('same', 'a', 'b');
    crash(evidence, 1, same);
    crash(evidence, 2, same);
    expect(crash(evidence, 3, same)).toEqual(['fsame']);
    expect(evidence.find('part:a', 0)).toBeUndefined();
  });

  // Guards against refusing a part that ran beside the guilty one by chance.
  it('waits while parts of two requests are involved in the same crashes', () => {
    const evidence = new CrashEvidence();
    for (const at of [1, 2, 3]) {
      crash(evidence, at, prompt(at, 'bad'), prompt(`x${at}`, 'beside'));
    }
    expect(evidence.find('part:bad', 0)?.quarantinedUntil).toBeUndefined();
    expect(crash(evidence, 4, prompt(4, 'bad'))).toEqual(['part:bad']);
    expect(evidence.find('part:beside', 0)).toBeUndefined();
  });

  it('does not count a crash under a quarantined part against others', () => {
    const evidence = new CrashEvidence();
    for (const at of [1, 2, 3]) crash(evidence, at, prompt(at, 'bad'));
    crash(evidence, 4, prompt(4, 'c', 'bad'), prompt('x', 'd'));
    expect(evidence.find('part:c', 0)).toBeUndefined();
    expect(evidence.find('part:d', 0)).toBeUndefined();
    expect(evidence.find('part:bad', 0)?.crashes).toBe(4);
  });

  it('restores companions, and requests that older releases stored', () => {
    const evidence = new CrashEvidence();
    for (const at of [1, 2, 3]) crash(evidence, at, prompt(at, 'a', 'bad'));
    const copy = new CrashEvidence();
    copy.restore(JSON.parse(JSON.stringify(evidence.snapshot())) as never);
    expect(companionsOf(copy, 'part:bad')).toEqual(['part:a']);
    const crashes = [{server: 's1', at: 1_000}];
    copy.restore({
      evidence: [
        {request: 'r', crashes, quarantinedUntil: undefined, quarantines: 0},
      ],
      recent: [{server: 's1', requests: ['r'], crashedAt: 1_000}],
    });
    crash(copy, 1, ['r'], ['q']);
    expect(copy.find('r', 0)?.crashes).toBe(1);
    crash(copy, 2, ['r']);
    expect(crash(copy, 3, ['r'])).toEqual(['r']);
  });

  // Gateways report one crash in any order and with any of its requests.
  it('refuses no request unless each of its crashes could be blamed on it', () => {
    const part = fc.constantFrom('a', 'b', 'c', 'bad');
    const request = fc.uniqueArray(part, {minLength: 1, maxLength: 3});
    const step = fc.record({
      requests: fc.array(request, {minLength: 1, maxLength: 4}),
      answered: fc.option(fc.constantFrom('a', 'b', 'c'), {nil: undefined}),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 30}), steps => {
        const evidence = new CrashEvidence();
        const crashesSince = new Map<string, number>();
        for (const [at, {requests, answered}] of steps.entries()) {
          if (answered) {
            evidence.forget(`part:${answered}`, at * SECOND_MS - 1);
            crashesSince.delete(`part:${answered}`);
          }
          const prompts = requests.map((parts, nth) =>
            prompt(`${at}-${nth}`, ...parts),
          );
          const quarantined = [
            ...crash(evidence, at, ...prompts.slice(1)),
            ...crash(evidence, at, ...prompts.slice(0, 1)),
          ];
          for (const one of new Set(prompts.flat())) {
            crashesSince.set(one, (crashesSince.get(one) ?? 0) + 1);
          }
          for (const one of quarantined) {
            expect(crashesSince.get(one)).toBeGreaterThanOrEqual(3);
          }
        }
      }),
      {seed: 20_261_204},
    );
  });

  it('counts whole requests as before by the rules of the earlier release', () => {
    const evidence = new CrashEvidence();
    for (const at of [1, 2, 3]) {
      const requests = [['r'], [`x${at}`]];
      const one = {server: `s${at}`, requests, crashedAt: at * SECOND_MS};
      evidence.noteCrash(one, at * SECOND_MS, CRASH_RULES.COUNTED_ONCE);
    }
    expect(evidence.find('r', 0)?.quarantinedUntil).toBeDefined();
    expect(evidence.find('x1', 0)).toBeUndefined();
  });
});
