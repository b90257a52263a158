/** One process of a fleet. */
export interface FleetProcess {
  readonly name: string;
  /** What it has written to both of its outputs. */
  readonly output: string;
  /** The settings file as parsed; none for a stand-in. */
  readonly settings?: Readonly<
    Record<string, Readonly<Record<string, string>>>
  >;
  /** Path of that file. */
  readonly file?: string;
  /** It has not ended yet. */
  readonly running: boolean;
  /** Its exit code, once it has ended. */
  readonly exited: Promise<number | null>;
  signal(signal: NodeJS.Signals): void;
  /** Resolves once the process has written the text. */
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
  /** Starts an ended process again; `waits` until it is ready by default. */
  restart(name: string, options?: {readonly waits?: boolean}): Promise<void>;
  outputs(): string[];
  end(): Promise<void>;
}

/** What a caller asks. */
export interface ChatQuestion {
  readonly workspace: string;
  readonly chat: string;
  readonly messages: readonly {role: string; content: string}[];
  /** Length of the answer; the engine's own default without it. */
  readonly maxTokens?: number;
}

/** What a caller gets. */
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
