import {expect, test} from 'vitest';
import {ConfirmationRounds} from '../../consensus_rounds.js';
import {DEFAULT_CONSENSUS_TIMINGS} from '../../consensus_types.js';

/** Starts the rounds of a leader; the first one is confirmed. */
function startRounds(): ConfirmationRounds {
  const rounds = new ConfirmationRounds(DEFAULT_CONSENSUS_TIMINGS, 0);
  rounds.start(0);
  rounds.confirm(1);
  return rounds;
}

// Dozens of gateways read the newest revision twice a second. A round for each
// read would cost many times the messages of the heartbeats.
test('a read that may wait starts no round and shares the next one', () => {
  const rounds = startRounds();
  rounds.addRead(1, true);
  rounds.addRead(2, true);
  expect(rounds.needsRound()).toBe(false);
  expect(rounds.takeConfirmedReads()).toEqual([]);
  rounds.start(45);
  rounds.confirm(2);
  expect(rounds.takeConfirmedReads()).toEqual([1, 2]);
});

test('a read that may not wait starts a round despite one that may', () => {
  const rounds = startRounds();
  rounds.addRead(1, true);
  rounds.addRead(2, false);
  expect(rounds.needsRound()).toBe(true);
});

test('a read is not confirmed by a round that started before it', () => {
  const rounds = startRounds();
  rounds.start(45);
  rounds.addRead(1, true);
  rounds.confirm(2);
  expect(rounds.takeConfirmedReads()).toEqual([]);
});
