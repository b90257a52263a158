/**
 * Steps of one request in a router: pieces, ends, silence and refusals.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {answerFor, DISPOSITION} from '@lovagepond/core';
import {type FrameSource} from '../world/routed_request.js';
import {type ScenarioWorld} from '../world/scenario_world.js';

const MS_PER_SECOND = 1_000;
const PAST_DEADLINE_MS = 31_000;
const FORMER_ATTEMPT = 'request-1.1';
/** Has the length of the first answer, so that their pieces' offsets match. */
const OTHER_GENERATION = 'One croissant with each coffee until evening';

Given<ScenarioWorld>("a shopper's request is sent to engine-1", function () {
  const request = this.createRequest();
  assert.equal(request.lastOffer.attempt.target.backendServer, 'engine-1');
});

Given<ScenarioWorld>("the engine's answer is {string}", function (text) {
  this.request.answer = text;
});

When<ScenarioWorld>('{word} reports that it has started', function (server) {
  const {request} = this;
  assert.equal(request.lastOffer.attempt.target.backendServer, server);
  request.frame({kind: 'accepted', expectedWaitMs: 0});
  request.frame({kind: 'started', warm: true, cachedTokens: 10});
});

When<ScenarioWorld>(/^these pieces arrive: (.+)$/, function (list: string) {
  for (const number of list.split(', ')) this.request.piece(Number(number));
});

When<ScenarioWorld>('the end of the answer arrives', function () {
  this.request.end();
});

When<ScenarioWorld>(
  "a piece of another request's attempt arrives",
  function () {
    const source = {attemptId: 'request-2.1'};
    this.request.piece(2, source, OTHER_GENERATION);
  },
);

When<ScenarioWorld>(
  'piece {int} of the former attempt arrives late',
  function (number) {
    const source = {attemptId: FORMER_ATTEMPT, incarnation: 'engine-1-1'};
    this.request.piece(number, source, OTHER_GENERATION);
  },
);

When<ScenarioWorld>(
  'the sidecar restarts and sends piece {int} of a new generation',
  function (number) {
    const source = {incarnation: 'engine-1-2'};
    this.request.piece(number, source, OTHER_GENERATION);
  },
);

When<ScenarioWorld>('{word} fails', function (_server) {
  const errorKind = 'backendFailed';
  this.request.frame({
    kind: 'failed',
    errorKind,
    message: '',
    retryAfterMs: 0,
    crashedLife: '',
  });
});

function refuse(
  world: ScenarioWorld,
  errorKind: 'unreachable' | 'draining' | 'wrongIncarnation',
  source: FrameSource = {},
): void {
  const refusal = {
    kind: 'refused',
    errorKind,
    message: '',
    retryAfterMs: 0,
    pointer: '',
    configuration: new Uint8Array(),
  } as const;
  world.request.frame(refusal, source);
}

When<ScenarioWorld>('{word} fails before it started', function (_server) {
  refuse(this, 'unreachable');
});

When<ScenarioWorld>('a late refusal of the same attempt arrives', function () {
  refuse(this, 'draining');
});

When<ScenarioWorld>(
  'the sidecar reports that its engine never received the request',
  function () {
    refuse(this, 'unreachable');
  },
);

When<ScenarioWorld>(
  'the restarted sidecar refuses the attempt of its former incarnation',
  function () {
    const {attempt} = this.request.lastOffer;
    const incarnation = `${attempt.target.backendServer}-2`;
    refuse(this, 'wrongIncarnation', {incarnation});
  },
);

When<ScenarioWorld>('every other server refuses the request', function () {
  while (!this.request.failure) refuse(this, 'draining');
});

When<ScenarioWorld>(
  '{word} is silent on every connection until the deadline',
  function (_server) {
    this.request.revokeOutcome = 'lost';
    this.timeline.advance(PAST_DEADLINE_MS);
  },
);

When<ScenarioWorld>(
  'the connection stays silent for {int} seconds',
  function (seconds) {
    this.timeline.advance(seconds * MS_PER_SECOND);
  },
);

When<ScenarioWorld>(
  'the sidecar reports over a new connection that it revoked the request',
  function () {
    this.request.revokeOutcome = 'revoked';
    this.request.answerRevoke();
  },
);

When<ScenarioWorld>(
  'the sidecar reports over a new connection that it dispatched the request',
  function () {
    this.request.revokeOutcome = 'dispatched';
    this.request.answerRevoke();
  },
);

Then<ScenarioWorld>(
  'the shopper has received the whole answer once',
  function () {
    const {deliveredText, answer, ended, failure} = this.request;
    assert.equal(failure, undefined);
    assert.equal(deliveredText, answer);
    assert.ok(ended, 'the end of the answer did not arrive');
  },
);

Then<ScenarioWorld>('the shopper has not received a whole answer', function () {
  assert.ok(!this.request.ended, 'the answer looks whole');
});

Then<ScenarioWorld>(
  'the shopper has received nothing of the new generation',
  function () {
    const {deliveredText, answer} = this.request;
    assert.ok(
      answer.startsWith(deliveredText),
      `the shopper received "${deliveredText}"`,
    );
  },
);

Then<ScenarioWorld>(
  'the shopper receives an error that the request may have run',
  function () {
    const {failure, ended} = this.request;
    assert.ok(failure, 'the shopper received no error');
    const {disposition} = answerFor(failure.kind);
    assert.equal(disposition, DISPOSITION.MAY_HAVE_RUN, failure.kind);
    assert.ok(!ended, 'the answer looks whole');
  },
);

Then<ScenarioWorld>('no other server receives the request', function () {
  const servers = this.request.offers.map(
    offer => offer.attempt.target.backendServer,
  );
  assert.deepEqual([...new Set(servers)], ['engine-1']);
});

Then<ScenarioWorld>('{word} receives the request again', function (server) {
  const {offers} = this.request;
  assert.ok(offers.length > 1, 'the request was sent once');
  const {attempt} = this.request.lastOffer;
  assert.equal(attempt.target.backendServer, server);
  assert.notEqual(attempt.attemptId, FORMER_ATTEMPT);
});

function checkResume(world: ScenarioWorld, piece: number): void {
  const {attempt, resumeFrom, freshConnection} = world.request.lastOffer;
  assert.equal(attempt.attemptId, FORMER_ATTEMPT);
  assert.equal(resumeFrom, world.request.endOfPiece(piece));
  assert.ok(freshConnection, 'the silent connection was used again');
}

Then<ScenarioWorld>(
  'the request resumes after piece {int} over a new connection',
  function (piece) {
    checkResume(this, piece);
  },
);

Then<ScenarioWorld>(
  'the request resumes from its beginning over a new connection',
  function () {
    checkResume(this, 0);
  },
);
