import {type ChildProcess} from 'node:child_process';

/** One process of a fleet. */
export interface FleetProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Everything written to stdout and stderr so far. */
  readonly output: string;
  /** The parsed settings file; undefined for a fake backend server. */
  readonly settings?: Readonly<
    Record<string, Readonly<Record<string, string>>>
  >;
  /** Path of the settings file. */
  readonly file?: string;
  /** True until the process exits. */
  readonly running: boolean;
  /** Resolves with the exit code; null when a signal ended the process. */
  readonly exited: Promise<number | null>;
  signal(signal: NodeJS.Signals): void;
  /** Resolves when the output contains the text. */
  printed(text: string): Promise<void>;
  end(signal: NodeJS.Signals): Promise<number | null>;
}

/** The processes of one set of settings files. */
export class Fleet {
  start(set: string): Promise<void>;
  namesOf(role: string): string[];
  get(name: string): FleetProcess;
  callersUrl(name: string): string;
  ctl(...args: string[]): Promise<unknown>;
  dump(
    name: string,
  ): Promise<{role: string; state: Readonly<Record<string, unknown>>}>;
  metrics(name: string): Promise<string>;
  /** Restarts an exited process; by default `waits` until it is ready. */
  restart(name: string, options?: {readonly waits?: boolean}): Promise<void>;
  outputs(): string[];
  end(): Promise<void>;
}

/** One chat request of a caller. */
export interface ChatQuestion {
  readonly workspace: string;
  readonly chat: string;
  readonly messages: readonly {role: string; content: string}[];
  /** Maximum length of the answer; by default chosen by the engine. */
  readonly maxTokens?: number;
}

/** The answer to a chat request. */
export interface ChatAnswer {
  readonly status: number;
  readonly text: string;
  readonly body: string;
  /** The stream ended with its `[DONE]` event. */
  readonly whole: boolean;
  readonly cachedTokens: number;
}

export function findFreePorts(count: number): Promise<number[]>;

export function streamChat(
  baseUrl: string,
  question: ChatQuestion,
): Promise<ChatAnswer>;
