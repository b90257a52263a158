/**
 * Routes that read and change the configuration, as a whole or by object.
 */
import {
  type Configuration,
  CONFIGURATION_SECTIONS,
  type ConfigurationSection,
} from '@lovagepond/core';
import {type RequestedChange} from '@lovagepond/control';
import {
  type AdministrationCall,
  type CallHandler,
  parseRevision,
  replyToAnswer,
} from './operator_calls.js';
import {
  type AdministrationReply,
  replyWith,
  replyWithError,
} from './operator_http.js';
import {type AdministrationRoute} from './operator_route.js';

const BASE_REVISION_NEEDED =
  'The header If-Match must carry the revision that the change starts from.';

const NOT_CONFIRMED =
  'No majority confirms that this member holds the newest configuration.';

function parseSection(text: string): ConfigurationSection | undefined {
  return CONFIGURATION_SECTIONS.find(section => section === text);
}

function replyWithConfiguration(cfg: Configuration): AdministrationReply {
  return replyWith(cfg, {etag: `"${cfg.revision}"`});
}

async function proposeChange(
  call: AdministrationCall,
  change: RequestedChange,
): Promise<AdministrationReply> {
  const {administration, operationId, baseRevision, dryRun} = call;
  if (baseRevision === undefined) {
    return replyWithError('badRequest', {message: BASE_REVISION_NEEDED});
  }
  return replyToAnswer(
    await administration.change({operationId, baseRevision, dryRun, change}),
  );
}

const getConfiguration: CallHandler = ({administration}) =>
  replyWithConfiguration(administration.getConfiguration());

const putConfiguration: CallHandler = call =>
  proposeChange(call, {kind: 'replace', content: call.body});

const listSection: CallHandler = ({administration, params}) => {
  const section = parseSection(params['section'] ?? '');
  if (!section) return replyWithError('notFound');
  const cfg = administration.getConfiguration();
  return replyWith(cfg.content[section], {etag: `"${cfg.revision}"`});
};

const getObject: CallHandler = ({administration, params}) => {
  const section = parseSection(params['section'] ?? '');
  if (!section) return replyWithError('notFound');
  const cfg = administration.getConfiguration();
  const objects: readonly {readonly name: string}[] = cfg.content[section];
  const found = objects.find(item => item.name === params['name']);
  if (!found) return replyWithError('notFound');
  return replyWith(found, {etag: `"${cfg.revision}"`});
};

const putObject: CallHandler = call => {
  const section = parseSection(call.params['section'] ?? '');
  if (!section) return replyWithError('notFound');
  const {body, params} = call;
  const fields = typeof body === 'object' && body !== null ? body : {};
  const object = {...fields, name: params['name'] ?? ''};
  return proposeChange(call, {kind: 'put', section, object});
};

const deleteObject: CallHandler = call => {
  const section = parseSection(call.params['section'] ?? '');
  if (!section) return replyWithError('notFound');
  const name = call.params['name'] ?? '';
  return proposeChange(call, {kind: 'delete', section, name});
};

const listHistory: CallHandler = ({administration}) =>
  replyWith(administration.history());

const getRevision: CallHandler = ({administration, params}) => {
  const revision = parseRevision(params['revision']);
  if (revision === undefined) return replyWithError('notFound');
  const cfg = administration.getRevision(revision);
  return cfg ? replyWithConfiguration(cfg) : replyWithError('notFound');
};

const restoreRevision: CallHandler = async call => {
  const {administration, params, operationId, baseRevision, dryRun} = call;
  const revision = parseRevision(params['revision']);
  if (revision === undefined) return replyWithError('notFound');
  if (baseRevision === undefined) {
    return replyWithError('badRequest', {message: BASE_REVISION_NEEDED});
  }
  return replyToAnswer(
    await administration.restoreRevision({
      operationId,
      baseRevision,
      dryRun,
      revision,
    }),
  );
};

/**
 * Answers a read only after a majority has confirmed the configuration. With
 * `unconfirmed=true` it returns the configuration of this member, which may be
 * stale, and marks the reply as unconfirmed.
 */
function requireConfirmation(handle: CallHandler): CallHandler {
  return async call => {
    if (call.query['unconfirmed'] === 'true') {
      const reply = await handle(call);
      const headers = {...reply.headers, 'lovagepond-unconfirmed': 'true'};
      return {...reply, headers};
    }
    if (await call.administration.confirmNewest()) return handle(call);
    return replyWithError('notLeader', {message: NOT_CONFIRMED});
  };
}

/** Routes under `/v1/configuration` and `/v1/history`. */
export const CONFIGURATION_ROUTES: readonly AdministrationRoute[] = [
  {
    method: 'get',
    path: '/v1/configuration',
    handle: requireConfirmation(getConfiguration),
  },
  {method: 'put', path: '/v1/configuration', handle: putConfiguration},
  {
    method: 'get',
    path: '/v1/configuration/:section',
    handle: requireConfirmation(listSection),
  },
  {
    method: 'get',
    path: '/v1/configuration/:section/:name',
    handle: requireConfirmation(getObject),
  },
  {
    method: 'put',
    path: '/v1/configuration/:section/:name',
    handle: putObject,
  },
  {
    method: 'delete',
    path: '/v1/configuration/:section/:name',
    handle: deleteObject,
  },
  {
    method: 'get',
    path: '/v1/history',
    handle: requireConfirmation(listHistory),
  },
  {
    method: 'get',
    path: '/v1/history/:revision',
    handle: requireConfirmation(getRevision),
  },
  {
    method: 'post',
    path: '/v1/history/:revision/restore',
    handle: restoreRevision,
  },
];
