/**
 * Calls about backend servers, orders, control's members, convergence and the
 * state dump.
 */
import {z} from 'zod';
import {ORDER_ACTION} from './operator_administration.js';
import {type CallHandler, replyToOutcome} from './operator_calls.js';
import {replyWith, replyWithError} from './operator_http.js';
import {type AdministrationRoute} from './operator_route.js';

const name = z.string().min(1).max(63);
const address = z.string().regex(/^.+:\d{1,5}$/, 'must be host:port');

const orderSchema = z.strictObject({
  backendServer: name,
  action: z.enum(Object.values(ORDER_ACTION)),
  arguments: z.record(z.string(), z.string()).default({}),
});

const memberSchema = z.discriminatedUnion('action', [
  z.strictObject({action: z.literal('addLearner'), name, address}),
  z.strictObject({action: z.literal('promote'), name}),
  z.strictObject({action: z.literal('remove'), name}),
  z.strictObject({
    action: z.literal('replace'),
    name,
    newName: name,
    address,
  }),
]);

function describeIssues(error: z.ZodError): string {
  return error.issues
    .map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');
}

const listBackendServers: CallHandler = async ({administration}) =>
  replyWith(await administration.listBackendServers());

const drainBackendServer: CallHandler = async call =>
  replyToOutcome(
    await call.administration.drainBackendServer(
      call.params['name'] ?? '',
      call.operationId,
    ),
  );

const resumeBackendServer: CallHandler = async call =>
  replyToOutcome(
    await call.administration.resumeBackendServer(
      call.params['name'] ?? '',
      call.operationId,
    ),
  );

const listOrders: CallHandler = async ({administration}) =>
  replyWith(await administration.listOrders());

const issueOrder: CallHandler = async call => {
  const parsed = orderSchema.safeParse(call.body);
  if (!parsed.success) {
    return replyWithError('badRequest', {
      message: describeIssues(parsed.error),
    });
  }
  const {operationId} = call;
  return replyToOutcome(
    await call.administration.issueOrder({...parsed.data, operationId}),
  );
};

const listMembers: CallHandler = async ({administration}) =>
  replyWith(await administration.listMembers());

const changeMembers: CallHandler = async call => {
  const parsed = memberSchema.safeParse(call.body);
  if (!parsed.success) {
    return replyWithError('badRequest', {
      message: describeIssues(parsed.error),
    });
  }
  return replyToOutcome(
    await call.administration.changeMembers(parsed.data, call.operationId),
  );
};

const getConvergence: CallHandler = async ({administration}) =>
  replyWith(await administration.getConvergence());

const getDump: CallHandler = ({administration}) =>
  Promise.resolve(replyWith(administration.dump()));

/** Routes beside those of the configuration. */
export const FLEET_ROUTES: readonly AdministrationRoute[] = [
  {method: 'get', path: '/v1/backend-servers', handle: listBackendServers},
  {
    method: 'post',
    path: '/v1/backend-servers/:name/drain',
    handle: drainBackendServer,
  },
  {
    method: 'post',
    path: '/v1/backend-servers/:name/resume',
    handle: resumeBackendServer,
  },
  {method: 'get', path: '/v1/orders', handle: listOrders},
  {method: 'post', path: '/v1/orders', handle: issueOrder},
  {method: 'get', path: '/v1/members', handle: listMembers},
  {method: 'post', path: '/v1/members', handle: changeMembers},
  {method: 'get', path: '/v1/convergence', handle: getConvergence},
  {method: 'get', path: '/v1/dump', handle: getDump},
];
