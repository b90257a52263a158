/**
 * Steps of orders with fencing tokens, from the leader to a sidecar whose
 * backend server does no checks of its own.
 */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {ORDER_ACTION, type OrderView} from '@lovagepond/control';
import {
  ORDER_COMMAND,
  ORDER_OUTCOME_COMMAND,
} from '@lovagepond/control/deciders';
import {ORDER_VERDICT, SidecarFencing} from '@lovagepond/sidecar';
import {type ScenarioWorld} from '../world/scenario_world.js';

/** A sidecar's fencing and the models that its backend server loaded. */
class FencedServer {
  fencing = new SidecarFencing();
  readonly loaded: string[] = [];
  delayed: OrderView | undefined;

  deliverToServer(order: OrderView): void {
    if (this.fencing.check(order) !== ORDER_VERDICT.PASS) return;
    this.loaded.push(order.arguments['model'] ?? '');
    this.fencing.finish(order.orderId, {outcome: 'done', message: ''});
  }
}

const COMMIT_MS = 200;
const NO_FLOOR = 0;

const servers = new WeakMap<ScenarioWorld, FencedServer>();

function serverOf(world: ScenarioWorld): FencedServer {
  const existing = servers.get(world);
  if (existing) return existing;
  const server = new FencedServer();
  server.fencing.raiseFloor(NO_FLOOR);
  servers.set(world, server);
  return server;
}

function issueOrder(
  world: ScenarioWorld,
  server: string,
  model: string,
): OrderView {
  const {leader} = world.consensus;
  const orderId = `load-${model}`;
  world.consensus.propose(leader, ORDER_COMMAND, {
    orderId,
    backendServer: server,
    action: ORDER_ACTION.LOAD_MODEL,
    arguments: {model},
  });
  world.timeline.advance(COMMIT_MS);
  const order = leader.machine.orders.find(orderId);
  assert.ok(order, 'the order was not accepted');
  return order;
}

When<ScenarioWorld>(
  'the leader orders {word} to load {string} and the order is delayed',
  function (server, model) {
    serverOf(this).delayed = issueOrder(this, server, model);
  },
);

/** Delivers an order to the sidecar and its outcome to the leader. */
function deliver(world: ScenarioWorld, order: OrderView): void {
  serverOf(world).deliverToServer(order);
  const {orderId, fencingToken, backendServer} = order;
  const {leader} = world.consensus;
  const outcome = serverOf(world).fencing.resultOf(orderId);
  if (!outcome) return;
  world.consensus.propose(leader, ORDER_OUTCOME_COMMAND, {
    orderId,
    fencingToken,
    backendServer,
    ...outcome,
  });
  world.timeline.advance(COMMIT_MS);
}

When<ScenarioWorld>(
  'the leader orders {word} to load {string}',
  function (server, model) {
    deliver(this, issueOrder(this, server, model));
  },
);

When<ScenarioWorld>(
  'the delayed order arrives at {word} twice',
  function (_server) {
    const server = serverOf(this);
    assert.ok(server.delayed, 'no order is delayed');
    server.deliverToServer(server.delayed);
    server.deliverToServer(server.delayed);
  },
);

When<ScenarioWorld>(
  'the sidecar of {word} restarts without any record of orders',
  function (_server) {
    serverOf(this).fencing = new SidecarFencing();
  },
);

When<ScenarioWorld>(
  'the sidecar of {word} receives the fencing floor from the leader',
  function (name) {
    const {orders} = this.consensus.leader.machine;
    serverOf(this).fencing.raiseFloor(orders.floorOf(name));
  },
);

Then<ScenarioWorld>('{word} loads {string}', function (_server, model) {
  assert.equal(serverOf(this).loaded.at(-1), model);
});

Then<ScenarioWorld>(
  '{word} has loaded only {string}',
  function (_server, model) {
    assert.deepEqual(serverOf(this).loaded, [model]);
  },
);
