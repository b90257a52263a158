/**
 * The command-line interface: names, arguments and help of all commands.
 *
 * The code of a command is imported when the command runs, so that a process
 * loads only what its role needs.
 */
import {EXIT_CODE, EXIT_CODE_MEANINGS} from '@lovagepond/process/exit_codes';
import {exitOnStalledOutput} from '@lovagepond/process/process_end';
import {Command, CommanderError, Option} from 'commander';
import {
  PROGRAM_NAME,
  ROLE_NAMES,
  type RoleName,
  VERSION,
} from './cli_constants.js';
import {type ExplainQuery} from './command_explain.js';
import {type StandaloneOptions} from './command_standalone.js';
import {collectWords, renderCompletion} from './command_completion.js';

const ROLE_SUMMARIES: Readonly<Record<RoleName, string>> = {
  router: 'run a router on an entry host',
  sidecar: 'run the sidecar of one backend server',
  control: 'run a control member on a host with a disk',
  gateway: 'run a gateway to backend servers without sidecars',
};

/** Options of `standalone`. */
interface StandaloneFlags extends StandaloneOptions {
  readonly selfCheck?: boolean;
}

function renderExitCodes(): string {
  const lines = Object.entries(EXIT_CODE_MEANINGS).map(
    ([code, meaning]) => `  ${code}  ${meaning}`,
  );
  return `\nExit codes:\n${lines.join('\n')}`;
}

function renderExamples(...examples: readonly string[]): string {
  const lines = examples.map(example => `  $ ${PROGRAM_NAME} ${example}`);
  return `\nExamples:\n${lines.join('\n')}`;
}

function addRoles(program: Command): void {
  for (const role of ROLE_NAMES) {
    program
      .command(role)
      .description(ROLE_SUMMARIES[role])
      .requiredOption('-c, --settings <file>', 'settings file (INI)')
      .addHelpText('after', renderExamples(`${role} -c ${role}.ini`))
      .action(async (options: {settings: string}) => {
        const {runRole} = await import('./command_role.js');
        process.exitCode = await runRole(role, options.settings);
        exitOnStalledOutput();
      });
  }
}

function addCheckSettings(program: Command): void {
  program
    .command('check-settings')
    .description('validate settings files, each alone and against the others')
    .argument('<files...>', 'settings files of the processes of one host')
    .option('--json', 'print JSON')
    .addHelpText(
      'after',
      renderExamples('check-settings router.ini sidecar.ini'),
    )
    .action(async (files: string[], options: {json?: boolean}) => {
      const {runCheckSettings} = await import('./command_check_settings.js');
      process.exitCode = runCheckSettings(files, options.json ?? false);
    });
}

function addExplain(program: Command): void {
  program
    .command('explain')
    .description('report from logs what happened to a request and why')
    .argument('[words...]', 'the request id, then log files; default: stdin')
    .option('--at <time>', 'report the state of each process at a time instead')
    .option('--summary', 'report on all requests instead')
    .addHelpText(
      'after',
      renderExamples(
        'explain 3be9a8d54f25e337 logs/*.log',
        'explain --at 2026-03-01T08:15:00Z logs/*.log',
        'explain --summary logs/*.log',
      ),
    )
    .action(async (words: string[], options: ExplainQuery) => {
      const {runExplain} = await import('./command_explain.js');
      const [request, ...files] = words;
      const isAboutAll = options.at !== undefined || options.summary === true;
      process.exitCode = isAboutAll
        ? await runExplain(options, words)
        : await runExplain(request === undefined ? {} : {request}, files);
    });
}

function addStandalone(program: Command): void {
  program
    .command('standalone')
    .description('run every role and fake backend servers in one process')
    .option('--data-folder <folder>', 'the only folder written to', 'data')
    .addOption(
      new Option('--log-level <level>', 'lowest level that is logged')
        .choices(['debug', 'info', 'warn', 'error'])
        .default('warn'),
    )
    .option('--set <folder>', 'folder of settings files and configuration.json')
    .option('--self-check', 'start on free ports, send a test chat and exit')
    .addHelpText(
      'after',
      renderExamples(
        'standalone',
        'standalone --set examples/hofudborg',
        'standalone --self-check',
      ),
    )
    .action(async ({selfCheck, ...options}: StandaloneFlags) => {
      const commands = await import('./command_standalone.js');
      process.exitCode = selfCheck
        ? await commands.runSelfCheck(options.set)
        : await commands.runStandalone(options);
    });
}

function addFakes(program: Command): void {
  for (const kind of ['engine', 'service'] as const) {
    program
      .command(`fake-${kind}`)
      .description(`run a fake ${kind}, for trials and tests`)
      .option('--listen <address>', 'host:port to listen on', '127.0.0.1:0')
      .addHelpText(
        'after',
        renderExamples(`fake-${kind} --listen 127.0.0.1:8000`),
      )
      .action(async (options: {listen: string}) => {
        const {runFake} = await import('./command_fake.js');
        process.exitCode = await runFake(kind, options.listen);
      });
  }
}

function addTools(program: Command): void {
  program
    .command('version')
    .description('print the version')
    .option('--json', 'print JSON')
    .action((options: {json?: boolean}) => {
      const versions = {version: VERSION, node: process.versions.node};
      process.stdout.write(
        options.json ? `${JSON.stringify(versions)}\n` : `${VERSION}\n`,
      );
    });
  program
    .command('completion')
    .description('print a completion script for bash and zsh')
    .addHelpText('after', renderExamples('completion > lovagepond.bash'))
    .action(() => {
      process.stdout.write(renderCompletion(collectWords(program)));
    });
}

/** Adds the `ctl` commands. Their code is large and loaded only when needed. */
export type CtlRegistrar = (ctl: Command) => void;

const CTL_COMMANDS: ReadonlySet<string> = new Set(['ctl', 'completion']);

/**
 * @param registerCtl adds the commands of `ctl`, which has none without it
 * @returns the whole command line
 */
export function createProgram(registerCtl?: CtlRegistrar): Command {
  const program = new Command(PROGRAM_NAME)
    .description(
      'Routes returning chats to the backend server that still holds their context.',
    )
    .addHelpText(
      'after',
      renderExamples(
        'standalone',
        'router -c router.ini',
        'check-settings *.ini',
        'ctl servers list',
      ),
    )
    .addHelpText('after', renderExitCodes())
    .exitOverride();
  addRoles(program);
  addStandalone(program);
  addFakes(program);
  addCheckSettings(program);
  addExplain(program);
  const ctl = program
    .command('ctl')
    .description("administer the fleet through control's administration API");
  registerCtl?.(ctl);
  addTools(program);
  return program;
}

/**
 * Runs the command that the arguments name and sets the exit code.
 *
 * @param argv the arguments, as in `process.argv`
 */
export async function runCommandLine(argv: readonly string[]): Promise<void> {
  const needsCtl = argv.some(word => CTL_COMMANDS.has(word));
  const registerCtl = needsCtl
    ? (await import('@lovagepond/operator')).registerCtl
    : undefined;
  try {
    await createProgram(registerCtl).parseAsync([...argv]);
  } catch (err) {
    if (!(err instanceof CommanderError)) throw err;
    process.exitCode = err.exitCode === 0 ? EXIT_CODE.OK : EXIT_CODE.USAGE;
  }
}
