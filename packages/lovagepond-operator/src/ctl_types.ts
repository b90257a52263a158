/**
 * What the `ctl` commands are made of: rows of a table that name, describe and
 * run each command.
 */
import {type ExitCode} from '@lovagepond/process';
import {type AdministrationClient, type ClientTime} from './operator_client.js';

/** What a command shows: a value for `--json`, lines for people. */
export interface CtlOutput {
  readonly json: unknown;
  readonly lines: readonly string[];
  /** Success when left out. */
  readonly exitCode?: ExitCode;
}

/** The options of one command line; only those of the command are set. */
export interface CtlOptions {
  readonly file?: string;
  readonly base?: string;
  readonly operationId?: string;
  readonly dryRun?: boolean;
  readonly wait?: boolean;
  readonly limit?: string;
  readonly revision?: string;
  readonly version?: string;
  readonly adapter?: string;
  readonly weight?: string;
  readonly priority?: string;
  readonly maxQueuedTokens?: string;
}

/** The shell around the commands. */
export interface CtlIo extends ClientTime {
  /** @param text goes to standard output, with its line ends */
  write(text: string): void;
  /** @param text goes to standard error, with its line ends */
  writeError(text: string): void;
  /** @returns the file's text; `-` is standard input */
  readFile(path: string): Promise<string>;
  /** @param code what the program will exit with */
  setExitCode(code: ExitCode): void;
  /** @returns an id that no other operation has */
  createOperationId(): string;
}

/** One run of a command. */
export interface CtlCall {
  readonly client: AdministrationClient;
  readonly args: readonly string[];
  readonly options: CtlOptions;
  readonly io: CtlIo;
}

/** One `ctl` command. */
export interface CtlCommand {
  /** The group it stands in; none for a command of its own. */
  readonly group?: string;
  readonly name: string;
  /** Its arguments in commander's form, for example `<server>`. */
  readonly args?: string;
  readonly description: string;
  /** Flags and their descriptions. */
  readonly options?: readonly (readonly [string, string])[];
  readonly example: string;
  run(call: CtlCall): Promise<CtlOutput>;
}

/** The command line can't be used as it stands. */
export class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'UsageError';
  }
}
