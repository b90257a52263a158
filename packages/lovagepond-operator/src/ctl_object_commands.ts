/**
 * `ctl` commands for single objects of the configuration: pools, selectors,
 * workspaces and request kinds, the labels of pools and the limits of
 * workspaces.
 */
import {type ConfigurationSection} from '@lovagepond/core';
import {type Configuration} from '@lovagepond/core';
import {
  CHANGE_OPTIONS,
  readConfiguration,
  sendChange,
} from './ctl_change_utils.js';
import {
  formatTable,
  parseCount,
  parseFieldValue,
  parsePairs,
} from './ctl_format_utils.js';
import {
  type CtlCall,
  type CtlCommand,
  type CtlOutput,
  UsageError,
} from './ctl_types.js';

type ConfigurationObject = Readonly<Record<string, unknown>> & {
  readonly name: string;
};

/** Command group of a section, and the fields that `list` shows. */
interface ObjectGroup {
  readonly group: string;
  readonly section: ConfigurationSection;
  readonly columns: readonly string[];
  readonly example: string;
}

const GROUPS: readonly ObjectGroup[] = [
  {
    group: 'pools',
    section: 'pools',
    columns: [
      'name',
      'kind',
      'labels',
      'loadBound',
      'reuseWeight',
      'maxHoldMs',
    ],
    example: 'pools set chat kind=engine loadBound=1.4',
  },
  {
    group: 'selectors',
    section: 'selectors',
    columns: ['name', 'priority', 'workspaces', 'requestKinds', 'pools'],
    example:
      'selectors set all \'workspaces=["*"]\' \'requestKinds=["*"]\' pools=',
  },
  {
    group: 'workspaces',
    section: 'workspaces',
    columns: ['name', 'weight', 'priority', 'maxQueuedTokens'],
    example: 'workspaces set bakery weight=2',
  },
  {
    group: 'request-kinds',
    section: 'requestKinds',
    columns: ['name', 'nonRepeatable'],
    example: 'request-kinds set redeem nonRepeatable=true',
  },
];

function findObject(
  cfg: Configuration,
  section: ConfigurationSection,
  name: string,
): ConfigurationObject | undefined {
  const objects: readonly ConfigurationObject[] = cfg.content[section];
  return objects.find(object => object.name === name);
}

function requireObject(
  cfg: Configuration,
  section: ConfigurationSection,
  name: string,
): ConfigurationObject {
  const object = findObject(cfg, section, name);
  if (object) return object;
  throw new UsageError(`there is no "${name}" in ${section}`);
}

function pathOf(section: ConfigurationSection, name: string): string {
  return `/v1/configuration/${section}/${encodeURIComponent(name)}`;
}

/** Sends one object with changed fields; other fields keep their values. */
async function putFields(
  call: CtlCall,
  cfg: Configuration,
  section: ConfigurationSection,
  name: string,
  fields: Readonly<Record<string, unknown>>,
): Promise<CtlOutput> {
  const body = {...findObject(cfg, section, name), ...fields, name};
  const change = {method: 'PUT', path: pathOf(section, name), body} as const;
  return sendChange(call, change, cfg.revision);
}

type Run = CtlCommand['run'];

function listObjects({section, columns}: ObjectGroup): Run {
  return async call => {
    const cfg = await readConfiguration(call);
    const objects: readonly ConfigurationObject[] = cfg.content[section];
    const rows = objects.map(object => columns.map(column => object[column]));
    const headings = columns.map(column => column.toUpperCase());
    return {json: objects, lines: formatTable(headings, rows)};
  };
}

function showObject({section}: ObjectGroup): Run {
  return async call => {
    const cfg = await readConfiguration(call);
    const object = requireObject(cfg, section, call.args[0] ?? '');
    const lines = formatTable(['FIELD', 'VALUE'], Object.entries(object));
    return {json: object, lines};
  };
}

function setObject({section}: ObjectGroup): Run {
  return async call => {
    const [name = '', ...pairs] = call.args;
    const entries = Object.entries(parsePairs(pairs)).map(
      ([field, text]) => [field, parseFieldValue(text)] as const,
    );
    const cfg = await readConfiguration(call);
    return putFields(call, cfg, section, name, Object.fromEntries(entries));
  };
}

function deleteObject({section}: ObjectGroup): Run {
  return async call => {
    const path = pathOf(section, call.args[0] ?? '');
    const {revision} = await readConfiguration(call);
    return sendChange(call, {method: 'DELETE', path}, revision);
  };
}

function createGroupCommands(entry: ObjectGroup): CtlCommand[] {
  const {group, example} = entry;
  return [
    {
      group,
      name: 'list',
      description: `list the ${group}`,
      example: `${group} list`,
      run: listObjects(entry),
    },
    {
      group,
      name: 'show',
      args: '<name>',
      description: 'show all fields of one object',
      example: `${group} show NAME`,
      run: showObject(entry),
    },
    {
      group,
      name: 'set',
      args: '<name> [field=value...]',
      description: 'create an object or change its fields; values may be JSON',
      options: CHANGE_OPTIONS,
      example,
      run: setObject(entry),
    },
    {
      group,
      name: 'delete',
      args: '<name>',
      description: 'delete one object',
      options: CHANGE_OPTIONS,
      example: `${group} delete NAME`,
      run: deleteObject(entry),
    },
  ];
}

async function setLabels(call: CtlCall): Promise<CtlOutput> {
  const [name = '', ...edits] = call.args;
  const removed = edits.filter(edit => edit.endsWith('-'));
  const added = parsePairs(edits.filter(edit => !edit.endsWith('-')));
  const cfg = await readConfiguration(call);
  const pool = requireObject(cfg, 'pools', name);
  const removedKeys = new Set(removed.map(edit => edit.slice(0, -1)));
  const kept = Object.entries(pool['labels'] ?? {}).filter(
    ([key]) => !removedKeys.has(key),
  );
  const labels = {...Object.fromEntries(kept), ...added};
  return putFields(call, cfg, 'pools', name, {labels});
}

async function setLimits(call: CtlCall): Promise<CtlOutput> {
  const name = call.args[0] ?? '';
  const {weight, priority, maxQueuedTokens} = call.options;
  const cfg = await readConfiguration(call);
  requireObject(cfg, 'workspaces', name);
  const fields: Record<string, unknown> = {};
  if (weight !== undefined) fields['weight'] = Number(weight);
  if (priority !== undefined) {
    fields['priority'] = parseCount(priority, '--priority');
  }
  if (maxQueuedTokens !== undefined) {
    fields['maxQueuedTokens'] = parseCount(
      maxQueuedTokens,
      '--max-queued-tokens',
    );
  }
  return putFields(call, cfg, 'workspaces', name, fields);
}

/** Commands for single objects of the configuration. */
export const OBJECT_COMMANDS: readonly CtlCommand[] = [
  ...GROUPS.flatMap(createGroupCommands),
  {
    name: 'labels',
    args: '<pool> [edits...]',
    description: "change a pool's labels: key=value sets, key- removes",
    options: CHANGE_OPTIONS,
    example: 'labels chat tier=gold old-',
    run: setLabels,
  },
  {
    name: 'limits',
    args: '<workspace>',
    description: "change a workspace's limits",
    options: [
      ['--weight <number>', 'weight in fair queueing'],
      ['--priority <0-9>', 'priority of the requests'],
      ['--max-queued-tokens <n>', 'limit of outstanding tokens; 0: no limit'],
      ...CHANGE_OPTIONS,
    ],
    example: 'limits bakery --max-queued-tokens 200000',
    run: setLimits,
  },
];
