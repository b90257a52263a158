/**
 * Steps in which operators change the configuration at control.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {type ChangeAnswer} from '@lovagepond/control';
import {type AnyChangeRequest} from '@lovagepond/control/deciders';
import {type ScenarioWorld} from '../world/scenario_world.js';

interface LastChange {
  readonly request: AnyChangeRequest;
  readonly answer: ChangeAnswer;
}

const changesByOperator = new WeakMap<ScenarioWorld, Map<string, LastChange>>();

const FAULTY_CONTENT = {
  pools: [
    {name: 'offers', kind: 'engine'},
    {name: 'offers', kind: 'engine'},
  ],
  selectors: [
    {name: 'all', workspaces: ['nobody'], requestKinds: ['*'], pools: ''},
  ],
};

function lastChangeOf(world: ScenarioWorld, operator: string): LastChange {
  const lastChange = changesByOperator.get(world)?.get(operator);
  assert.ok(lastChange, `${operator} has sent no change`);
  return lastChange;
}

async function send(
  world: ScenarioWorld,
  operator: string,
  request: AnyChangeRequest,
): Promise<void> {
  const answer = await world.control.leader.change(request);
  const changes = changesByOperator.get(world) ?? new Map<string, LastChange>();
  changesByOperator.set(world, changes.set(operator, {request, answer}));
}

function makeAddition(
  operator: string,
  pool: string,
  baseRevision: number,
): AnyChangeRequest {
  const object = {name: pool, kind: 'engine'};
  return {
    operationId: `${operator}-${pool}`,
    baseRevision,
    dryRun: false,
    change: {kind: 'put', section: 'pools', object},
  };
}

Given<ScenarioWorld>(
  'three control members with {word} as leader',
  function (leader) {
    assert.equal(this.createControl().leader.name, leader);
  },
);

Given<ScenarioWorld>(
  'the pool {string} was accepted as revision {int}',
  async function (pool, revision) {
    await send(this, 'nobody', makeAddition('nobody', pool, revision - 1));
    assert.equal(lastChangeOf(this, 'nobody').answer.kind, 'accepted');
  },
);

When<ScenarioWorld>(
  '{word} adds the pool {string} on revision {int}',
  async function (operator, pool, revision) {
    await send(this, operator, makeAddition(operator, pool, revision));
  },
);

When<ScenarioWorld>(
  '{word} adds the pool {string} on revision {int} and the answer is lost',
  async function (operator, pool, revision) {
    this.control.leader.losesNextAnswer = true;
    await send(this, operator, makeAddition(operator, pool, revision));
    assert.equal(lastChangeOf(this, operator).answer.kind, 'unknown');
  },
);

When<ScenarioWorld>(
  '{word} sends the same change again',
  async function (operator) {
    await send(this, operator, lastChangeOf(this, operator).request);
  },
);

When<ScenarioWorld>(
  '{word} restores revision {int} on revision {int}',
  async function (operator, revision, baseRevision) {
    await send(this, operator, {
      operationId: `${operator}-restore`,
      baseRevision,
      dryRun: false,
      change: {kind: 'restore', revision},
    });
  },
);

When<ScenarioWorld>(
  '{word} replaces the configuration on revision {int} by an invalid one',
  async function (operator, baseRevision) {
    await send(this, operator, {
      operationId: `${operator}-replace`,
      baseRevision,
      dryRun: false,
      change: {kind: 'replace', content: FAULTY_CONTENT},
    });
  },
);

When<ScenarioWorld>(/^(control-\d) stops$/, function (name: string) {
  this.control.stop(name);
});

Then<ScenarioWorld>(
  '{word} change was accepted as revision {int}',
  function (possessive, revision) {
    const {answer} = lastChangeOf(this, possessive.replace("'s", ''));
    assert.equal(answer.kind, 'accepted');
    if (answer.kind === 'accepted') assert.equal(answer.revision, revision);
  },
);

Then<ScenarioWorld>(
  '{word} received a conflict that names {string}',
  function (operator, place) {
    const {answer} = lastChangeOf(this, operator);
    assert.equal(answer.kind, 'conflict');
    if (answer.kind !== 'conflict') return;
    const places = answer.differences.map(difference => difference.place);
    assert.deepEqual(places, [place]);
  },
);

Then<ScenarioWorld>(
  '{word} received validation errors for {string}',
  function (operator, places) {
    const {answer} = lastChangeOf(this, operator);
    assert.equal(answer.kind, 'invalid');
    if (answer.kind !== 'invalid') return;
    const faultPlaces = answer.faults.map(fault => fault.place).join(', ');
    assert.equal(faultPlaces, places);
  },
);

Then<ScenarioWorld>(
  'the pools are {string} on every control member',
  function (names) {
    for (const {machine, name} of this.control.members) {
      const {content} = machine.configuration.current.read();
      const pools = content.pools.map(pool => pool.name).join(', ');
      assert.equal(pools, names, name);
    }
  },
);

Then<ScenarioWorld>('the newest revision is {int}', function (revision) {
  const {machine} = this.control.leader;
  assert.equal(machine.configuration.current.read().revision, revision);
});
