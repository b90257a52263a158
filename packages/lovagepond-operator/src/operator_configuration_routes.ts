/**
 * Calls that read and change the configuration, whole or by object.
 */
import {type Configuration} from '@lovagepond/core';
import {
  type AdministrationCall,
  type CallHandler,
  parseRevision,
  replyToConfigurationOutcome,
} from './operator_calls.js';
import {
  CONFIGURATION_SECTIONS,
  type ConfigurationSection,
} from './operator_differences.js';
import {
  type AdministrationReply,
  replyWith,
  replyWithError,
} from './operator_http.js';
import {type AdministrationRoute} from './operator_route.js';

interface NamedObject {
  readonly name: string;
}

/** Fails the call when the section's path or the object isn't there. */
type ObjectEdit = (
  objects: readonly NamedObject[],
  name: string,
  body: unknown,
) => readonly unknown[] | undefined;

const BASE_REVISION_NEEDED =
  'The header If-Match must carry the revision that the change starts from.';

function parseSection(text: string): ConfigurationSection | undefined {
  return CONFIGURATION_SECTIONS.find(section => section === text);
}

function replyWithConfiguration(cfg: Configuration): AdministrationReply {
  return replyWith(cfg, {etag: `"${cfg.revision}"`});
}

async function putContent(
  call: AdministrationCall,
  content: unknown,
): Promise<AdministrationReply> {
  const {administration, operationId, baseRevision, dryRun} = call;
  if (baseRevision === undefined) {
    return replyWithError('badRequest', {message: BASE_REVISION_NEEDED});
  }
  const outcome = await administration.changeConfiguration({
    operationId,
    baseRevision,
    dryRun,
    content,
  });
  return replyToConfigurationOutcome(outcome);
}

const getConfiguration: CallHandler = async ({administration}) =>
  replyWithConfiguration(await administration.getConfiguration());

const putConfiguration: CallHandler = call => putContent(call, call.body);

const listSection: CallHandler = async ({administration, params}) => {
  const section = parseSection(params['section'] ?? '');
  if (!section) return replyWithError('notFound');
  const cfg = await administration.getConfiguration();
  return replyWith(cfg.content[section], {etag: `"${cfg.revision}"`});
};

const getObject: CallHandler = async ({administration, params}) => {
  const section = parseSection(params['section'] ?? '');
  if (!section) return replyWithError('notFound');
  const cfg = await administration.getConfiguration();
  const objects: readonly NamedObject[] = cfg.content[section];
  const found = objects.find(item => item.name === params['name']);
  if (!found) return replyWithError('notFound');
  return replyWith(found, {etag: `"${cfg.revision}"`});
};

const setObject: ObjectEdit = (objects, name, body) => {
  const fields = typeof body === 'object' && body !== null ? body : {};
  const changed = {...fields, name};
  const index = objects.findIndex(item => item.name === name);
  if (index < 0) return [...objects, changed];
  return objects.with(index, changed);
};

const removeObject: ObjectEdit = (objects, name) => {
  const rest = objects.filter(item => item.name !== name);
  return rest.length === objects.length ? undefined : rest;
};

/**
 * Makes the handler of an edit of one object. The edit is made on the base
 * revision's content, so that a race can't mix two operators' changes.
 */
function editObject(edit: ObjectEdit): CallHandler {
  return async call => {
    const {administration, params, baseRevision} = call;
    const section = parseSection(params['section'] ?? '');
    if (!section) return replyWithError('notFound');
    if (baseRevision === undefined) {
      return replyWithError('badRequest', {message: BASE_REVISION_NEEDED});
    }
    const current = await administration.getConfiguration();
    const base =
      current.revision === baseRevision
        ? current
        : await administration.getRevision(baseRevision);
    if (!base) {
      const message = `Revision ${baseRevision} is not kept.`;
      return replyWithError('notFound', {message});
    }
    const objects = base.content[section];
    const edited = edit(objects, params['name'] ?? '', call.body);
    if (!edited) return replyWithError('notFound');
    return putContent(call, {...base.content, [section]: edited});
  };
}

const listHistory: CallHandler = async ({administration}) =>
  replyWith(await administration.listHistory());

const getRevision: CallHandler = async ({administration, params}) => {
  const revision = parseRevision(params['revision']);
  if (revision === undefined) return replyWithError('notFound');
  const cfg = await administration.getRevision(revision);
  return cfg ? replyWithConfiguration(cfg) : replyWithError('notFound');
};

const restoreRevision: CallHandler = async call => {
  const {administration, params, operationId, baseRevision, dryRun} = call;
  const revision = parseRevision(params['revision']);
  if (revision === undefined) return replyWithError('notFound');
  if (baseRevision === undefined) {
    return replyWithError('badRequest', {message: BASE_REVISION_NEEDED});
  }
  const outcome = await administration.restoreRevision({
    operationId,
    baseRevision,
    dryRun,
    revision,
  });
  return replyToConfigurationOutcome(outcome);
};

/** Routes under `/v1/configuration` and `/v1/history`. */
export const CONFIGURATION_ROUTES: readonly AdministrationRoute[] = [
  {method: 'get', path: '/v1/configuration', handle: getConfiguration},
  {method: 'put', path: '/v1/configuration', handle: putConfiguration},
  {method: 'get', path: '/v1/configuration/:section', handle: listSection},
  {method: 'get', path: '/v1/configuration/:section/:name', handle: getObject},
  {
    method: 'put',
    path: '/v1/configuration/:section/:name',
    handle: editObject(setObject),
  },
  {
    method: 'delete',
    path: '/v1/configuration/:section/:name',
    handle: editObject(removeObject),
  },
  {method: 'get', path: '/v1/history', handle: listHistory},
  {method: 'get', path: '/v1/history/:revision', handle: getRevision},
  {
    method: 'post',
    path: '/v1/history/:revision/restore',
    handle: restoreRevision,
  },
];
