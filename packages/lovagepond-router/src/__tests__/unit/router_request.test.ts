import {answerFor, DISPOSITION} from '@lovagepond/core';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {AnswerAssembler} from '../../router_answer.js';
import {RequestWorld, textOf} from '../fakes/request_world.js';

const SEED = 20261202;

/**
 * Checks that the request ended once and correctly.
 *
 * @returns the error kind, or `whole` after a complete answer
 */
function checkFinalAnswer(world: RequestWorld, nonRepeatable: boolean): string {
  expect(world.finals).toHaveLength(1);
  const final = world.finals[0]!;
  const texts = Array.from({length: world.dispatches}, (_, index) =>
    textOf(index + 1),
  );
  const matchingTexts = texts.filter(text => text.startsWith(world.text));
  if (world.text !== '') expect(matchingTexts).not.toHaveLength(0);
  if (nonRepeatable) expect(world.dispatches).toBeLessThanOrEqual(1);
  if (final.kind !== 'fail') {
    expect(texts).toContain(world.text);
    return 'whole';
  }
  const {kind} = final.failure;
  const notRun = answerFor(kind).disposition === DISPOSITION.NOT_RUN;
  if (notRun) expect(world.dispatches).toBe(0);
  return kind;
}

// Guards against four failures: a caller receives "not run" and repeats the
// request while a sidecar still has it, a non-repeatable call is dispatched
// twice, an answer is truncated, or an answer is joined from two. Connections
// break or go silent at any time. Refusals, acceptances and revocations are
// lost or cross with dispatches, and sidecars restart. At the end, all messages
// in transit still arrive.
test('an answer is final, complete and truthful despite any lost messages', () => {
  const step = fc.tuple(fc.nat(31), fc.nat(11));
  const steps = fc.array(step, {maxLength: 120, size: 'max'});
  const finals = new Map<string, number>();
  const property = fc.property(
    fc.boolean(),
    fc.boolean(),
    steps,
    (nonRepeatable, recovers, choices) => {
      const world = new RequestWorld(nonRepeatable);
      for (const [choice, detail] of choices) world.step(choice, detail);
      if (recovers) world.runWithoutFaults();
      world.settle();
      const name = checkFinalAnswer(world, nonRepeatable);
      finals.set(name, (finals.get(name) ?? 0) + 1);
    },
  );
  fc.assert(property, {numRuns: 4_000, seed: SEED});
  console.info('seed', SEED, Object.fromEntries(finals));
});

// Guards against a "not run" for a request that a server runs after its router
// has asked for it back because of its own exit.
test('an answer is truthful when its router exits soon', () => {
  const step = fc.tuple(fc.nat(31), fc.nat(11));
  const steps = fc.array(step, {maxLength: 120, size: 'max'});
  let drained = 0;
  const property = fc.property(
    fc.boolean(),
    fc.nat(10),
    steps,
    (nonRepeatable, latestRunAt, choices) => {
      const world = new RequestWorld(nonRepeatable);
      world.machine.limitRun(latestRunAt * 100);
      for (const [choice, detail] of choices) world.step(choice, detail);
      world.settle();
      const kind = checkFinalAnswer(world, nonRepeatable);
      if (kind === 'draining') drained += 1;
    },
  );
  fc.assert(property, {numRuns: 2_000, seed: SEED});
  expect(drained).toBeGreaterThan(0);
});

// Two attempts of one request generate different texts. If the second attempt
// continued at the offset where the first one ended, the caller would read
// a sentence that no engine generated.
test('the bytes of two attempts are never joined', () => {
  const answer = new AnswerAssembler();
  const first = {attemptId: 'r.1', incarnation: 'a.0'};
  const piece = Buffer.from('abc');
  expect(answer.accept(first, 0, piece).kind).toBe('deliver');
  const second = {attemptId: 'r.2', incarnation: 'b.0'};
  expect(answer.accept(second, 3, piece).kind).toBe('foreign');
  const restarted = {attemptId: 'r.1', incarnation: 'a.1'};
  expect(answer.accept(restarted, 3, piece).kind).toBe('foreign');
});
