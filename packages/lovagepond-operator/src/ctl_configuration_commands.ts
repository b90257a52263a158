/**
 * `ctl` commands for the whole configuration and its history.
 */
import {type HistoryEntry} from '@lovagepond/control';
import {
  CHANGE_OPTIONS,
  readConfiguration,
  sendChange,
} from './ctl_change_utils.js';
import {formatTable, parseCount} from './ctl_format_utils.js';
import {
  type CtlCall,
  type CtlCommand,
  type CtlOutput,
  UsageError,
} from './ctl_types.js';

async function readContent(call: CtlCall): Promise<unknown> {
  const {file} = call.options;
  if (file === undefined) throw new UsageError('the option --file is missing');
  const text = await call.io.readFile(file);
  try {
    const parsed = JSON.parse(text) as {content?: unknown};
    // Accepts the output of `ctl configuration --json` unchanged.
    return parsed.content ?? parsed;
  } catch (err) {
    throw new UsageError(`${file}: ${err instanceof Error ? err.message : ''}`);
  }
}

async function showConfiguration(call: CtlCall): Promise<CtlOutput> {
  const cfg = await readConfiguration(call);
  const text = JSON.stringify(cfg.content, undefined, 2);
  return {json: cfg, lines: [`revision ${cfg.revision}`, text]};
}

async function applyFile(call: CtlCall): Promise<CtlOutput> {
  const body = await readContent(call);
  const {revision} = await readConfiguration(call);
  const change = {method: 'PUT', path: '/v1/configuration', body} as const;
  return sendChange(call, change, revision);
}

function diffFile(call: CtlCall): Promise<CtlOutput> {
  return applyFile({...call, options: {...call.options, dryRun: true}});
}

async function showHistory(call: CtlCall): Promise<CtlOutput> {
  const entries = (await call.client.read(
    '/v1/history',
  )) as readonly HistoryEntry[];
  const rows = entries.map(entry => [
    entry.revision,
    new Date(entry.acceptedAt).toISOString(),
    entry.operationId,
    entry.restorable ? 'yes' : 'no',
    entry.changed,
  ]);
  const headings = [
    'REVISION',
    'ACCEPTED',
    'OPERATION',
    'RESTORABLE',
    'CHANGED',
  ];
  return {json: entries, lines: formatTable(headings, rows)};
}

async function restore(call: CtlCall): Promise<CtlOutput> {
  const wanted = parseCount(call.args[0] ?? '', 'the revision');
  const {revision} = await readConfiguration(call);
  const path = `/v1/history/${wanted}/restore`;
  return sendChange(call, {method: 'POST', path}, revision);
}

const FILE_OPTION = [
  '-f, --file <path>',
  'JSON file; - reads standard input',
] as const;

/** Commands for the whole configuration. */
export const CONFIGURATION_COMMANDS: readonly CtlCommand[] = [
  {
    name: 'configuration',
    description: 'show the configuration in force',
    example: 'configuration --json > configuration.json',
    run: showConfiguration,
  },
  {
    name: 'apply',
    description: 'put a whole configuration in force',
    options: [FILE_OPTION, ...CHANGE_OPTIONS],
    example: 'apply -f configuration.json --dry-run',
    run: applyFile,
  },
  {
    name: 'diff',
    description: 'show what apply would change',
    options: [
      FILE_OPTION,
      ['--base <revision>', 'revision the file is based on (default: current)'],
    ],
    example: 'diff -f configuration.json',
    run: diffFile,
  },
  {
    name: 'history',
    description: 'list the accepted revisions, newest first',
    example: 'history',
    run: showHistory,
  },
  {
    name: 'restore',
    args: '<revision>',
    description: 'put an older revision in force again, as a new one',
    options: CHANGE_OPTIONS,
    example: 'restore 41 --dry-run',
    run: restore,
  },
];
