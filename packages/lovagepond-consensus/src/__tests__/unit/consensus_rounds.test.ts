import {expect, test} from 'vitest';
import {ConfirmationRounds} from '../../consensus_rounds.js';
import {DEFAULT_CONSENSUS_TIMINGS} from '../../consensus_types.js';

/** A leader whose first round is confirmed. */
function startRounds(): ConfirmationRounds {
  const rounds = new ConfirmationRounds(DEFAULT_CONSENSUS_TIMINGS, 0);
  rounds.start(0);
  rounds.confirm(1);
  return rounds;
}

// Dozens of gateways ask twice a second for the newest revision. A round of
// messages for each would be many times the heartbeats.
test('a read that may wait asks for no round, and shares the next one', () => {
  const rounds = startRounds();
  rounds.addRead(1, true);
  rounds.addRead(2, true);
  expect(rounds.needsRound()).toBe(false);
  expect(rounds.takeConfirmedReads()).toEqual([]);
  rounds.start(45);
  rounds.confirm(2);
  expect(rounds.takeConfirmedReads()).toEqual([1, 2]);
});

test('a read that may not wait asks for a round, also beside one that may', () => {
  const rounds = startRounds();
  rounds.addRead(1, true);
  rounds.addRead(2, false);
  expect(rounds.needsRound()).toBe(true);
});

test('a read is not answered by a round that began before it', () => {
  const rounds = startRounds();
  rounds.start(45);
  rounds.addRead(1, true);
  rounds.confirm(2);
  expect(rounds.takeConfirmedReads()).toEqual([]);
});
