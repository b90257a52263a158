/**
 * Steps of calls that may not be repeated.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {answerFor, DISPOSITION, parseErrorKind} from '@lovagepond/core';
import {type ClaimFault} from '../world/redemption.js';
import {type ScenarioWorld} from '../world/scenario_world.js';

/** After this time a sidecar has given up a claim without an answer. */
const CLAIM_ABANDONED_MS = 3_000;
const ORDINALS = ['first', 'second', 'third'];

Given<ScenarioWorld>(
  'the redemption service runs at {word} and {word}',
  function (first, second) {
    this.createRedemption([first, second]);
  },
);

When<ScenarioWorld>(
  'the check {string} is sent to {word}',
  function (key, server) {
    this.redemption.send(key, server);
  },
);

const CLAIM_FAULTS: Readonly<Record<string, ClaimFault>> = {
  "the ledger's first answer is lost": 'nextAnswerLost',
  "all of the ledger's answers are lost": 'answersLost',
  'its claim is delayed': 'delayed',
};

When<ScenarioWorld>(
  /^the check "([^"]+)" is sent to (\S+) and (.+)$/,
  function (key: string, server: string, fault: string) {
    const claimFault = CLAIM_FAULTS[fault];
    assert.ok(claimFault, `no such fault: ${fault}`);
    this.redemption.claimFault = claimFault;
    this.redemption.send(key, server);
    this.timeline.advance(CLAIM_ABANDONED_MS);
    this.redemption.claimFault = 'none';
  },
);

When<ScenarioWorld>('the delayed claim arrives', function () {
  this.redemption.deliverDelayedClaim();
});

When<ScenarioWorld>(
  'the first attempt is delivered to {word} again',
  function (_server) {
    this.redemption.redeliverFirst();
  },
);

When<ScenarioWorld>('the sidecar of {word} restarts', function (server) {
  this.redemption.restart(server);
});

When<ScenarioWorld>('the caller of the first attempt disconnects', function () {
  this.redemption.callerGone();
});

Then<ScenarioWorld>(
  'the check {string} ran {int} time(s) at the service',
  function (key, count) {
    assert.equal(this.redemption.runsOf(key), count);
  },
);

Then<ScenarioWorld>(
  'the {word} attempt was answered as {string}',
  function (ordinal, answer) {
    const attempt = this.redemption.attemptAt(ORDINALS.indexOf(ordinal));
    assert.equal(attempt.answer, answer);
  },
);

Then<ScenarioWorld>(
  'the {word} attempt was reported as not run',
  function (ordinal) {
    const {answer} = this.redemption.attemptAt(ORDINALS.indexOf(ordinal));
    const {disposition} = answerFor(parseErrorKind(answer));
    assert.equal(disposition, DISPOSITION.NOT_RUN, answer);
  },
);

Then<ScenarioWorld>('the service cancelled no running call', function () {
  assert.equal(this.redemption.cancelled, 0);
});
