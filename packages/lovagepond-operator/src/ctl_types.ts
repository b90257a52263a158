/**
 * Types of the `ctl` commands: definition, options, input and output.
 */
import {type ExitCode} from '@lovagepond/process';
import {type AdministrationClient, type ClientTime} from './operator_client.js';

/** Output of a command: a value for `--json`, and lines for people. */
export interface CtlOutput {
  readonly json: unknown;
  readonly lines: readonly string[];
  /** Success when left out. */
  readonly exitCode?: ExitCode;
}

/** Options of all commands; a command sets only its own. */
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

/** Input, output and time of the commands. */
export interface CtlIo extends ClientTime {
  /** @param text written to standard output without a further line end */
  write(text: string): void;
  /** @param text written to standard error without a further line end */
  writeError(text: string): void;
  /** @returns the text of the file; the path `-` is standard input */
  readFile(path: string): Promise<string>;
  /** @param code the exit code of the program */
  setExitCode(code: ExitCode): void;
  /** @returns a unique operation id */
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
  /** Command group; left out for a top-level command. */
  readonly group?: string;
  readonly name: string;
  /** Arguments in commander's syntax, for example `<server>`. */
  readonly args?: string;
  readonly description: string;
  /** Flags and their descriptions. */
  readonly options?: readonly (readonly [string, string])[];
  readonly example: string;
  run(call: CtlCall): Promise<CtlOutput>;
}

/** Invalid arguments or options. */
export class UsageError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'UsageError';
  }
}
