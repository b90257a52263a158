/**
 * Steps in which engines join, leave and flap.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type ScenarioWorld} from '../world/scenario_world.js';

const MS_PER_SECOND = 1_000;
const SETTLE_MS = 10_000;
/** A join counts as a flap; its penalty has decayed after this time. */
const FLAP_DECAY_MS = 120_000;

Given<ScenarioWorld>(
  '{int} engines announce themselves each second',
  function (count) {
    const engines = this.createEngines();
    for (let number = 1; number <= count; number++) {
      engines.start(`engine-${number}`);
    }
    this.timeline.advance(SETTLE_MS + FLAP_DECAY_MS);
    assert.equal(engines.count('ready'), count);
  },
);

When<ScenarioWorld>('{word} starts to announce itself', function (name) {
  this.engines.start(name);
});

When<ScenarioWorld>('{word} stops announcing itself', function (name) {
  this.engines.stopAnnouncing(name);
});

When<ScenarioWorld>(
  'the engines {int} to {int} stop announcing themselves',
  function (first, last) {
    for (let number = first; number <= last; number++) {
      this.engines.stopAnnouncing(`engine-${number}`);
    }
  },
);

When<ScenarioWorld>('{word} announces that it is draining', function (name) {
  this.engines.leave(name);
});

When<ScenarioWorld>('an operator drains {word}', function (name) {
  this.engines.drain(name);
});

When<ScenarioWorld>(
  '{word} restarts {int} times within {int} seconds',
  function (name, times, seconds) {
    for (let count = 0; count < times; count++) {
      this.engines.restart(name);
      this.timeline.advance((seconds / times) * MS_PER_SECOND);
    }
  },
);

Then<ScenarioWorld>(
  '{word} is in the list as {string}',
  function (name, state) {
    assert.equal(this.engines.stateOf(name), state);
  },
);

When<ScenarioWorld>(
  'the engines {int} to {int} restart {int} times within {int} seconds',
  function (first, last, times, seconds) {
    for (let count = 0; count < times; count++) {
      for (let number = first; number <= last; number++) {
        this.engines.restart(`engine-${number}`);
      }
      this.timeline.advance((seconds / times) * MS_PER_SECOND);
    }
  },
);

Then<ScenarioWorld>('{word} is not in the list', function (name) {
  assert.equal(this.engines.stateOf(name), undefined);
});

Then<ScenarioWorld>(
  '{int} engines are in the list as {string}',
  function (count, state) {
    assert.equal(this.engines.count(state), count);
  },
);

Then<ScenarioWorld>(
  'at least {int} engines are in the list as {string}',
  function (count, state) {
    const found = this.engines.count(state);
    assert.ok(found >= count, `${found} engines`);
  },
);

Then<ScenarioWorld>(
  'at most {int} engines are in the list as {string}',
  function (count, state) {
    const found = this.engines.count(state);
    assert.ok(found <= count, `${found} engines`);
  },
);

Then<ScenarioWorld>(
  'the mean load is taken over {int} engines',
  function (count) {
    assert.equal(this.engines.readyServers, count);
  },
);
