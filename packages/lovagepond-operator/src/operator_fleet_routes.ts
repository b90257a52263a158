/**
 * Routes for backend servers, orders, quarantined requests, availability zones,
 * control members, convergence and the state dump.
 */
import {z} from '@lovagepond/core';
import {
  ORDER_ACTION,
  WANTED_STATE,
  type WantedState,
} from '@lovagepond/control';
import {
  type AdministrationCall,
  type CallHandler,
  replyToAnswer,
} from './operator_calls.js';
import {replyWith, replyWithError} from './operator_http.js';
import {type AdministrationRoute} from './operator_route.js';

const name = z.string().min(1).max(63);
const address = z.string().regex(/^.+:\d{1,5}$/, 'must be host:port');

const orderSchema = z.strictObject({
  backendServer: name,
  action: z.enum(Object.values(ORDER_ACTION)),
  arguments: z.record(z.string(), z.string()).default({}),
});

const memberSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('addLearner'), memberId: name, address}),
  z.strictObject({kind: z.literal('promote'), memberId: name}),
  z.strictObject({kind: z.literal('remove'), memberId: name}),
  z.strictObject({
    kind: z.literal('replace'),
    formerMemberId: name,
    memberId: name,
    address,
  }),
]);

function describeIssues(error: z.ZodError): string {
  return error.issues
    .map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');
}

/** Validates the body; a body that doesn't match is a bad request. */
function withBody<Body>(
  schema: z.ZodType<Body>,
  handle: (body: Body, call: AdministrationCall) => ReturnType<CallHandler>,
): CallHandler {
  return call => {
    const {success, data, error} = schema.safeParse(call.body);
    return success
      ? handle(data, call)
      : replyWithError('badRequest', {message: describeIssues(error)});
  };
}

const listBackendServers: CallHandler = ({administration}) =>
  replyWith(administration.listBackendServers());

function setWantedState(wantedState: WantedState): CallHandler {
  return async ({administration, params, operationId}) => {
    const backendServer = params['name'] ?? '';
    return replyToAnswer(
      await administration.setWantedState({
        operationId,
        backendServer,
        wantedState,
      }),
    );
  };
}

const listOrders: CallHandler = ({administration}) =>
  replyWith(administration.listOrders());

const issueOrder = withBody(
  orderSchema,
  async (body, {administration, operationId}) => {
    const order = {...body, orderId: operationId};
    return replyToAnswer(await administration.issueOrder(order));
  },
);

const listQuarantine: CallHandler = ({administration}) =>
  replyWith(administration.listQuarantine());

const liftQuarantine: CallHandler = async ({administration, params}) =>
  replyToAnswer(await administration.liftQuarantine(params['request'] ?? ''));

const listZones: CallHandler = ({administration}) =>
  replyWith(administration.listZones());

function setEvacuation(evacuated: boolean): CallHandler {
  return async ({administration, params, operationId}) => {
    const zone = params['zone'] ?? '';
    return replyToAnswer(
      await administration.setEvacuation({operationId, zone, evacuated}),
    );
  };
}

const listMembers: CallHandler = ({administration}) =>
  replyWith(administration.listMembers());

const changeMembers = withBody(memberSchema, async (body, {administration}) =>
  replyToAnswer(await administration.changeMembers(body)),
);

const getConvergence: CallHandler = ({administration}) =>
  replyWith({
    revision: administration.getConfiguration().revision,
    nodes: administration.convergence(),
  });

const getDump: CallHandler = ({administration}) =>
  replyWith(administration.dump());

/** All routes except those of the configuration. */
export const FLEET_ROUTES: readonly AdministrationRoute[] = [
  {method: 'get', path: '/v1/backend-servers', handle: listBackendServers},
  {
    method: 'post',
    path: '/v1/backend-servers/:name/drain',
    handle: setWantedState(WANTED_STATE.DRAINING),
  },
  {
    method: 'post',
    path: '/v1/backend-servers/:name/resume',
    handle: setWantedState(WANTED_STATE.READY),
  },
  {method: 'get', path: '/v1/orders', handle: listOrders},
  {method: 'post', path: '/v1/orders', handle: issueOrder},
  {method: 'get', path: '/v1/quarantine', handle: listQuarantine},
  {
    method: 'post',
    path: '/v1/quarantine/:request/lift',
    handle: liftQuarantine,
  },
  {method: 'get', path: '/v1/zones', handle: listZones},
  {
    method: 'post',
    path: '/v1/zones/:zone/evacuate',
    handle: setEvacuation(true),
  },
  {
    method: 'post',
    path: '/v1/zones/:zone/resume',
    handle: setEvacuation(false),
  },
  {method: 'get', path: '/v1/members', handle: listMembers},
  {method: 'post', path: '/v1/members', handle: changeMembers},
  {method: 'get', path: '/v1/convergence', handle: getConvergence},
  {method: 'get', path: '/v1/dump', handle: getDump},
];
