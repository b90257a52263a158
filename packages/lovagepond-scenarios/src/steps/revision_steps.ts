/**
 * Steps of the configuration revisions that routers and sidecars hold.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  type Configuration,
  configurationSchema,
  EMPTY_CONFIGURATION,
} from '@lovagepond/core';
import {DEFAULT_GATE_POLICY} from '@lovagepond/sidecar';
import {makeOffer} from '../world/offer_utils.js';
import {type ScenarioWorld} from '../world/scenario_world.js';

const SETTLE_MS = 2_000;
/** Every third connection goes silent. */
const THIRD = 3;
const SERVER = 'engine-1';

const routerRevisions = new WeakMap<ScenarioWorld, number>();
const sidecarRevisions = new WeakMap<ScenarioWorld, number>();

function makeConfiguration(revision: number): Configuration {
  const pools = [{name: `pool-${revision}`, kind: 'engine'}];
  return {revision, content: configurationSchema.parse({pools})};
}

Given<ScenarioWorld>(
  '{int} routers and {int} sidecars are subscribed to control',
  function (routers, sidecars) {
    const fleet = this.createSubscribers();
    fleet.add('router', routers);
    fleet.add('sidecar', sidecars);
    this.timeline.advance(SETTLE_MS);
  },
);

Given<ScenarioWorld>(
  '{int} changes were accepted one after the other',
  async function (count) {
    for (let number = 1; number <= count; number++) {
      const object = {name: `pool-${number}`, kind: 'engine'};
      const answer = await this.control.leader.change({
        operationId: `change-${number}`,
        baseRevision: number - 1,
        dryRun: false,
        change: {kind: 'put', section: 'pools', object},
      });
      assert.equal(answer.kind, 'accepted');
    }
  },
);

When<ScenarioWorld>(
  '{int} router(s) and {int} sidecar(s) restart',
  function (routers, sidecars) {
    const fleet = this.createSubscribers();
    fleet.add('router', routers);
    fleet.add('sidecar', sidecars);
  },
);

When<ScenarioWorld>(
  'a third of the connections to control go silent',
  function () {
    this.subscribers.nodes.forEach((node, index) => {
      if (index % THIRD === 0) node.isSilent = true;
    });
  },
);

When<ScenarioWorld>(
  'revision {int} arrives late and twice at every router and sidecar',
  function (revision) {
    const late = makeConfiguration(revision);
    for (const {holder} of this.subscribers.nodes) {
      holder.install(late);
      holder.install(late);
    }
  },
);

When<ScenarioWorld>(
  'a router sends revision {int} to every sidecar',
  function (revision) {
    for (const {holder} of this.subscribers.nodes) {
      holder.install(makeConfiguration(revision));
    }
  },
);

When<ScenarioWorld>('{word} restarts from a snapshot', function (name) {
  this.control.restart(name);
});

Then<ScenarioWorld>(
  'every router and sidecar holds revision {int} and accepts work',
  function (revision) {
    const {now} = this.timeline;
    for (const {name, holder} of this.subscribers.nodes) {
      assert.equal(holder.revision(), revision, name);
      assert.ok(holder.mayServe(now), `${name} accepts no work`);
    }
  },
);

Then<ScenarioWorld>('none of them accepts work yet', function () {
  for (const {name, holder} of this.subscribers.nodes) {
    assert.ok(!holder.mayServe(this.timeline.now), `${name} accepts work`);
  }
});

Then<ScenarioWorld>(
  'each of them received {int} configuration',
  function (count) {
    for (const {name, received} of this.subscribers.nodes) {
      assert.equal(received, count, name);
    }
  },
);

Then<ScenarioWorld>(
  '{word} holds revision {int} and replayed {int} changes',
  function (name, revision, count) {
    const {machine, replayed} = this.control.member(name);
    const held = machine.configuration.current.read().revision;
    assert.deepEqual([held, replayed], [revision, count]);
  },
);

Given<ScenarioWorld>(
  'engine-1 uses revision {int} and the router uses revision {int}',
  function (sidecar, router) {
    assert.notEqual(sidecar, EMPTY_CONFIGURATION.revision);
    this.server(SERVER).gate.configure(DEFAULT_GATE_POLICY, sidecar);
    sidecarRevisions.set(this, sidecar);
    routerRevisions.set(this, router);
  },
);

When<ScenarioWorld>(
  'the router sends request {string} to engine-1',
  function (attemptId) {
    const revision = routerRevisions.get(this) ?? 0;
    this.server(SERVER).offer(makeOffer(SERVER, attemptId, {revision}));
  },
);

When<ScenarioWorld>('the router adopts the revision of engine-1', function () {
  routerRevisions.set(this, sidecarRevisions.get(this) ?? 0);
});

When<ScenarioWorld>('engine-1 adopts the revision of the router', function () {
  const revision = routerRevisions.get(this) ?? 0;
  this.server(SERVER).gate.configure(DEFAULT_GATE_POLICY, revision);
});

Then<ScenarioWorld>(
  'the router was refused for its stale revision',
  function () {
    const kinds = this.server(SERVER).refusals.map(
      refusal => refusal.failure.kind,
    );
    assert.deepEqual(kinds, ['staleRevision']);
  },
);
