/**
 * Registers the `ctl` commands with the command-line parser.
 */
import {
  EXIT_CODE,
  EXIT_CODE_MEANINGS,
  type ExitCode,
} from '@lovagepond/process';
import {type Command, Option} from 'commander';
import {CONFIGURATION_COMMANDS} from './ctl_configuration_commands.js';
import {CONVERGENCE_COMMANDS} from './ctl_convergence_command.js';
import {FLEET_COMMANDS} from './ctl_fleet_commands.js';
import {formatDifference, parseCount} from './ctl_format_utils.js';
import {createCtlIo} from './ctl_io.js';
import {MEMBER_COMMANDS} from './ctl_member_commands.js';
import {OBJECT_COMMANDS} from './ctl_object_commands.js';
import {QUARANTINE_COMMANDS} from './ctl_quarantine_commands.js';
import {STATUS_COMMANDS} from './ctl_status_command.js';
import {ZONE_COMMANDS} from './ctl_zone_commands.js';
import {
  type CtlCommand,
  type CtlIo,
  type CtlOptions,
  type CtlOutput,
  UsageError,
} from './ctl_types.js';
import {
  AdministrationClient,
  type ApiError,
  RefusedError,
  UnreachableError,
} from './operator_client.js';
import {type ConfigurationDifference} from '@lovagepond/control';

/** Options that all commands share. */
interface GlobalOptions extends CtlOptions {
  readonly control: string;
  readonly tokenFile?: string;
  readonly json?: boolean;
  readonly timeout: string;
}

const COMMANDS: readonly CtlCommand[] = [
  ...STATUS_COMMANDS,
  ...CONFIGURATION_COMMANDS,
  ...OBJECT_COMMANDS,
  ...FLEET_COMMANDS,
  ...QUARANTINE_COMMANDS,
  ...ZONE_COMMANDS,
  ...MEMBER_COMMANDS,
  ...CONVERGENCE_COMMANDS,
];

const DEFAULT_CONTROL = 'http://127.0.0.1:7403';
const DEFAULT_TIMEOUT_SECONDS = '15';
const ATTEMPT_TIMEOUT_MS = 3_000;
const MS_PER_SECOND = 1_000;
const TOKEN_VARIABLE = 'LOVAGEPOND_TOKEN';

const GLOBAL_OPTIONS: readonly Option[] = [
  new Option('--control <urls>', 'administration servers, comma-separated')
    .env('LOVAGEPOND_CONTROL')
    .default(DEFAULT_CONTROL),
  new Option(
    '--token-file <path>',
    `file with the operators' token (or set ${TOKEN_VARIABLE})`,
  ).env('LOVAGEPOND_TOKEN_FILE'),
  new Option('--timeout <seconds>', 'time limit over all tries').default(
    DEFAULT_TIMEOUT_SECONDS,
  ),
  new Option('--json', 'print JSON'),
];

async function readToken(io: CtlIo, options: GlobalOptions): Promise<string> {
  const {tokenFile} = options;
  if (tokenFile === undefined) return process.env[TOKEN_VARIABLE] ?? '';
  return (await io.readFile(tokenFile)).trim();
}

async function createClient(
  io: CtlIo,
  options: GlobalOptions,
): Promise<AdministrationClient> {
  const origins = options.control
    .split(',')
    .map(text => text.trim().replace(/\/$/, ''))
    .filter(text => text !== '')
    .map(text => (text.includes('://') ? text : `http://${text}`));
  if (origins.length === 0) throw new UsageError('--control names no server');
  const settings = {
    origins,
    token: await readToken(io, options),
    answerTimeoutMs: ATTEMPT_TIMEOUT_MS,
    limitMs: parseCount(options.timeout, '--timeout') * MS_PER_SECOND,
  };
  return new AdministrationClient(settings, io);
}

function print(io: CtlIo, output: CtlOutput, json: boolean): void {
  const text = json
    ? JSON.stringify(output.json, undefined, 2)
    : output.lines.join('\n');
  io.write(`${text}\n`);
  io.setExitCode(output.exitCode ?? EXIT_CODE.OK);
}

function describeRefusal(error: ApiError): string[] {
  const faults = error.faults ?? [];
  const differences = (error.differences ?? []) as ConfigurationDifference[];
  return [
    `refused (${error.kind}): ${error.message}`,
    ...faults.map(fault => `  ${fault.place}: ${fault.message}`),
    ...differences.flatMap(formatDifference).map(line => `  ${line}`),
  ];
}

function exitCodeOf(err: unknown): ExitCode {
  if (err instanceof RefusedError) return EXIT_CODE.REFUSED;
  if (err instanceof UnreachableError) return EXIT_CODE.UNREACHABLE;
  if (err instanceof UsageError) return EXIT_CODE.USAGE;
  return EXIT_CODE.INTERNAL;
}

function printFailure(io: CtlIo, err: unknown, json: boolean): void {
  io.setExitCode(exitCodeOf(err));
  if (err instanceof RefusedError) {
    const {error} = err;
    const text = json
      ? JSON.stringify({error}, undefined, 2)
      : describeRefusal(error).join('\n');
    io.writeError(`${text}\n`);
    return;
  }
  io.writeError(`${err instanceof Error ? err.message : String(err)}\n`);
}

async function runCommand(
  io: CtlIo,
  row: CtlCommand,
  args: readonly string[],
  options: GlobalOptions,
): Promise<void> {
  const json = options.json ?? false;
  try {
    const client = await createClient(io, options);
    print(io, await row.run({client, args, options, io}), json);
  } catch (err) {
    printFailure(io, err, json);
  }
}

function mountCommand(parent: Command, row: CtlCommand, io: CtlIo): void {
  const command = parent.command(row.name).description(row.description);
  for (const word of row.args?.split(' ') ?? []) command.argument(word);
  for (const [flags, text] of row.options ?? []) command.option(flags, text);
  for (const option of GLOBAL_OPTIONS) command.addOption(option);
  command.addHelpText('after', `\nExample:\n  lovagepond ctl ${row.example}`);
  command.action(async () => {
    const args = command.processedArgs.flat() as (string | undefined)[];
    const given = args.filter(arg => arg !== undefined);
    await runCommand(io, row, given, command.opts());
  });
}

const GROUP_DESCRIPTIONS: Readonly<Record<string, string>> = {
  pools: 'pools of backend servers',
  selectors: 'rules that route workspaces, request kinds and chats to pools',
  workspaces: 'workspaces and their limits',
  'request-kinds': 'kinds of requests, and which are non-repeatable',
  servers: 'backend servers: list, drain, resume',
  order: 'orders to backend servers: models and roles',
  zones: 'availability zones: list, evacuate, resume',
  members: 'control members: list, add, promote, remove, replace',
};

function describeExitCodes(): string {
  const lines = Object.entries(EXIT_CODE_MEANINGS).map(
    ([code, meaning]) => `  ${code}  ${meaning}`,
  );
  return ['\nExit codes:', ...lines].join('\n');
}

/**
 * Adds every `ctl` command.
 *
 * @param ctl the parent command
 * @param io input, output and time; those of the process by default
 */
export function registerCtl(ctl: Command, io: CtlIo = createCtlIo()): void {
  const groups = new Map<string, Command>();
  for (const row of COMMANDS) {
    const {group} = row;
    if (group === undefined) {
      mountCommand(ctl, row, io);
      continue;
    }
    const parent = groups.get(group) ?? ctl.command(group);
    parent.description(GROUP_DESCRIPTIONS[group] ?? group);
    groups.set(group, parent);
    mountCommand(parent, row, io);
  }
  ctl.addHelpText('after', describeExitCodes());
}
