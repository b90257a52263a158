/**
 * `ctl` commands for backend servers, orders and state dumps.
 */
import {
  ORDER_ACTION,
  type OrderAction,
  type OrderView,
  type ServerView,
} from '@lovagepond/control';
import {OPERATION_OPTIONS, operationIdOf} from './ctl_change_utils.js';
import {formatTable} from './ctl_format_utils.js';
import {type CtlCall, type CtlCommand, type CtlOutput} from './ctl_types.js';
import {UnreachableError} from './operator_client.js';

/** Path of the state dump at the platform address of each process. */
const DUMP_PATH = '/dump';
const DUMP_TIMEOUT_MS = 3_000;

async function listServers(call: CtlCall): Promise<CtlOutput> {
  const views = (await call.client.read(
    '/v1/backend-servers',
  )) as readonly ServerView[];
  const rows = views.map(view => [
    view.server.name,
    view.server.pool,
    view.damped ? `${view.server.state} (damped)` : view.server.state,
    view.wantedState,
    view.server.availabilityZone,
    view.runningTokens,
    view.queuedTokens,
    view.server.models,
  ]);
  const headings = [
    'SERVER',
    'POOL',
    'STATE',
    'WANTED',
    'ZONE',
    'RUNNING',
    'QUEUED',
    'MODELS',
  ];
  return {json: views, lines: formatTable(headings, rows)};
}

function setWantedState(action: 'drain' | 'resume') {
  return async (call: CtlCall): Promise<CtlOutput> => {
    const name = call.args[0] ?? '';
    const operationId = operationIdOf(call);
    const path = `/v1/backend-servers/${encodeURIComponent(name)}/${action}`;
    await call.client.change({method: 'POST', path, operationId});
    const lines = [`${action} of ${name} is accepted`];
    return {json: {server: name, action, operationId}, lines};
  };
}

async function issueOrder(
  call: CtlCall,
  action: OrderAction,
  args: Readonly<Record<string, string>>,
): Promise<CtlOutput> {
  const operationId = operationIdOf(call);
  const backendServer = call.args[0] ?? '';
  const body = {backendServer, action, arguments: args};
  const {fencingToken} = (await call.client.change({
    method: 'POST',
    path: '/v1/orders',
    operationId,
    body,
  })) as {fencingToken: number};
  const json = {...body, orderId: operationId, fencingToken};
  const lines = [`order ${operationId} has fencing token ${fencingToken}`];
  return {json, lines};
}

function orderModel(action: OrderAction) {
  return (call: CtlCall): Promise<CtlOutput> => {
    const {version, adapter} = call.options;
    return issueOrder(call, action, {
      model: call.args[1] ?? '',
      ...(version === undefined ? {} : {version}),
      ...(adapter === undefined ? {} : {adapter}),
    });
  };
}

function orderRole(call: CtlCall): Promise<CtlOutput> {
  const role = call.args[1] ?? '';
  return issueOrder(call, ORDER_ACTION.CHANGE_ROLE, {role});
}

async function listOrders(call: CtlCall): Promise<CtlOutput> {
  const orders = (await call.client.read('/v1/orders')) as readonly OrderView[];
  const rows = orders.map(order => [
    order.orderId,
    order.backendServer,
    order.action,
    order.arguments,
    order.fencingToken,
    order.outcome ?? 'pending',
    order.message,
  ]);
  const headings = [
    'ORDER',
    'SERVER',
    'ACTION',
    'ARGUMENTS',
    'TOKEN',
    'OUTCOME',
    'MESSAGE',
  ];
  return {json: orders, lines: formatTable(headings, rows)};
}

/** Reads the state dump of one process from its platform address. */
async function readDump(address: string): Promise<readonly [string, unknown]> {
  try {
    const signal = AbortSignal.timeout(DUMP_TIMEOUT_MS);
    const res = await fetch(`http://${address}${DUMP_PATH}`, {signal});
    return [address, await res.json()];
  } catch (err) {
    const attempts = new Map([[address, String(err)]]);
    throw new UnreachableError('no state dump could be read', attempts);
  }
}

async function showDump(call: CtlCall): Promise<CtlOutput> {
  const dumps =
    call.args.length > 0
      ? await Promise.all(call.args.map(readDump))
      : await call.client.readAll('/v1/dump');
  const json = Object.fromEntries(dumps);
  return {json, lines: [JSON.stringify(json, undefined, 2)]};
}

const MODEL_OPTIONS = [
  ['--version <version>', 'version of the model'],
  ['--adapter <name>', 'an adapter of the model'],
  ...OPERATION_OPTIONS,
] as const;

const SERVER_COMMANDS: readonly CtlCommand[] = [
  {
    group: 'servers',
    name: 'list',
    description: 'list the announced backend servers',
    example: 'servers list',
    run: listServers,
  },
  {
    group: 'servers',
    name: 'drain',
    args: '<server>',
    description: 'send a server no new requests; accepted ones finish',
    options: OPERATION_OPTIONS,
    example: 'servers drain engine-3',
    run: setWantedState('drain'),
  },
  {
    group: 'servers',
    name: 'resume',
    args: '<server>',
    description: 'send requests to a drained server again',
    options: OPERATION_OPTIONS,
    example: 'servers resume engine-3',
    run: setWantedState('resume'),
  },
];

const ORDER_COMMANDS: readonly CtlCommand[] = [
  {
    group: 'order',
    name: 'load-model',
    args: '<server> <model>',
    description: 'load a model, a version of it or an adapter',
    options: MODEL_OPTIONS,
    example: 'order load-model engine-3 offers --version 7',
    run: orderModel(ORDER_ACTION.LOAD_MODEL),
  },
  {
    group: 'order',
    name: 'unload-model',
    args: '<server> <model>',
    description: 'unload a model, a version of it or an adapter',
    options: MODEL_OPTIONS,
    example: 'order unload-model engine-3 offers',
    run: orderModel(ORDER_ACTION.UNLOAD_MODEL),
  },
  {
    group: 'order',
    name: 'change-role',
    args: '<server> <role>',
    description: 'change the role of a backend server',
    options: OPERATION_OPTIONS,
    example: 'order change-role engine-3 prefill',
    run: orderRole,
  },
  {
    group: 'order',
    name: 'list',
    description: 'list orders and their outcomes, newest first',
    example: 'order list',
    run: listOrders,
  },
];

/** Commands for backend servers, orders and state dumps. */
export const FLEET_COMMANDS: readonly CtlCommand[] = [
  ...SERVER_COMMANDS,
  ...ORDER_COMMANDS,
  {
    name: 'dump',
    args: '[address...]',
    description:
      'show the state dumps of the processes at these platform addresses, or of all control members',
    example: 'dump 10.0.0.21:7411 > router.json',
    run: showDump,
  },
];
