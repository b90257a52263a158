/**
 * Asks control's administration servers on an operator's behalf.
 *
 * A lost answer says nothing about a change. So a change is sent again, to
 * each member in turn, with the operation id and the base revision of its first
 * try: control gives a resend the first answer, and the change is made once.
 */
import {type ErrorKind, parseErrorKind} from '@lovagepond/core';
import {type Dispatcher, request} from 'undici';

/** Where control is and how long to try. */
export interface ClientSettings {
  /** Origins of the members' administration servers; at least one. */
  readonly origins: readonly string[];
  /** The operators' token; empty to only read. */
  readonly token: string;
  /** Longest wait for one answer, milliseconds. */
  readonly answerTimeoutMs: number;
  /** Longest time over all tries of one call, milliseconds. */
  readonly limitMs: number;
}

/** Time, as the client sees and spends it. */
export interface ClientTime {
  /** @returns monotonic milliseconds */
  now(): number;
  /** @param delayMs milliseconds until the promise resolves */
  wait(delayMs: number): Promise<void>;
}

/** A change to send, the same on each try. */
export interface ChangeCall {
  readonly method: 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly operationId: string;
  readonly baseRevision?: number;
  readonly dryRun?: boolean;
  readonly body?: unknown;
}

/** The `error` object of a refusal. */
export interface ApiError {
  readonly kind: ErrorKind;
  readonly message: string;
  readonly leader?: string;
  readonly faults?: readonly {
    readonly place: string;
    readonly message: string;
  }[];
  readonly differences?: readonly unknown[];
  readonly currentRevision?: number;
}

/** Control answered no: a member's refusal, whole. */
export class RefusedError extends Error {
  readonly error: ApiError;

  constructor(error: ApiError) {
    super(`${error.kind}: ${error.message}`);
    this.name = 'RefusedError';
    this.error = error;
  }
}

/** No member gave a final answer within the limit. */
export class UnreachableError extends Error {
  /** What each member said or how it failed, last try. */
  readonly attempts: ReadonlyMap<string, string>;

  constructor(message: string, attempts: ReadonlyMap<string, string>) {
    const details = [...attempts].map(([origin, text]) => `${origin}: ${text}`);
    super([message, ...details].join('\n  '));
    this.name = 'UnreachableError';
    this.attempts = attempts;
  }
}

/** One member's answer, or why there is none. */
type Attempt =
  | {readonly kind: 'answered'; readonly value: unknown}
  | {readonly kind: 'refused'; readonly error: ApiError}
  | {readonly kind: 'lost'; readonly message: string};

const ROUND_DELAY_MS = 500;

/** Kinds after which another member, or a later try, can answer better. */
const RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'notLeader',
  'notReady',
  'outcomeUnknown',
  'internal',
]);

/** Sends calls to control's members until one gives a final answer. */
export class AdministrationClient {
  readonly #settings: ClientSettings;
  readonly #time: ClientTime;
  readonly #dispatcher: Dispatcher | undefined;

  /**
   * @param settings where control is and how long to try
   * @param time the present time, and waiting
   * @param dispatcher undici's connections; its global ones when left out
   */
  constructor(
    settings: ClientSettings,
    time: ClientTime,
    dispatcher?: Dispatcher,
  ) {
    this.#settings = settings;
    this.#time = time;
    this.#dispatcher = dispatcher;
  }

  /** @returns the members' origins, in the order of their tries */
  get origins(): readonly string[] {
    return this.#settings.origins;
  }

  /**
   * Reads from the first member that answers.
   *
   * @param path path of the API, with its query
   * @returns the parsed answer
   * @throws RefusedError, UnreachableError
   */
  read(path: string): Promise<unknown> {
    return this.#tryMembers(origin => this.#send(origin, 'GET', path, {}));
  }

  /**
   * Reads from every member, each once.
   *
   * @param path path of the API
   * @returns the answers of the members that gave one, by origin
   * @throws UnreachableError when none did
   */
  async readAll(path: string): Promise<ReadonlyMap<string, unknown>> {
    const answers = new Map<string, unknown>();
    const failures = new Map<string, string>();
    const calls = this.origins.map(async origin => {
      const attempt = await this.#send(origin, 'GET', path, {});
      if (attempt.kind === 'answered') answers.set(origin, attempt.value);
      else failures.set(origin, describeAttempt(attempt));
    });
    await Promise.all(calls);
    if (answers.size > 0) return answers;
    throw new UnreachableError('no control member answered', failures);
  }

  /**
   * Makes one change, however often it must be sent.
   *
   * @param call the change; its operation id is the same on each try
   * @returns the parsed answer
   * @throws RefusedError when control refused it;
   *     UnreachableError when its outcome isn't known within the limit
   */
  change(call: ChangeCall): Promise<unknown> {
    const headers: Record<string, string> = {
      'operation-id': call.operationId,
      'content-type': 'application/json',
    };
    if (call.baseRevision !== undefined) {
      headers['if-match'] = `"${call.baseRevision}"`;
    }
    const path = call.dryRun ? `${call.path}?dryRun=true` : call.path;
    const {method, body} = call;
    return this.#tryMembers(
      origin => this.#send(origin, method, path, headers, body),
      call,
    );
  }

  async #tryMembers(
    send: (origin: string) => Promise<Attempt>,
    change?: ChangeCall,
  ): Promise<unknown> {
    const deadline = this.#time.now() + this.#settings.limitMs;
    const failures = new Map<string, string>();
    for (;;) {
      for (const origin of this.origins) {
        const attempt = await send(origin);
        if (attempt.kind === 'answered') return attempt.value;
        if (
          attempt.kind === 'refused' &&
          !RETRYABLE_KINDS.has(attempt.error.kind)
        ) {
          throw new RefusedError(attempt.error);
        }
        failures.set(origin, describeAttempt(attempt));
      }
      if (this.#time.now() + ROUND_DELAY_MS >= deadline) break;
      await this.#time.wait(ROUND_DELAY_MS);
    }
    const message =
      change === undefined
        ? 'no control member answered'
        : `no control member gave a final answer; ${describeRetryOptions(change)}`;
    throw new UnreachableError(message, failures);
  }

  async #send(
    origin: string,
    method: 'GET' | ChangeCall['method'],
    path: string,
    headers: Record<string, string>,
    body?: unknown,
  ): Promise<Attempt> {
    const {token, answerTimeoutMs} = this.#settings;
    const authorization =
      token === '' ? {} : {authorization: `Bearer ${token}`};
    try {
      const res = await request(origin + path, {
        method,
        headers: {...headers, ...authorization},
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(answerTimeoutMs),
        ...(this.#dispatcher ? {dispatcher: this.#dispatcher} : {}),
      });
      return readAttempt(res.statusCode, await res.body.json());
    } catch (err) {
      const message = err instanceof Error ? err.message : String(err);
      return {kind: 'lost', message: message || 'no connection'};
    }
  }
}

/** Tells the options with which the same command makes the same change. */
function describeRetryOptions({operationId, baseRevision}: ChangeCall): string {
  const base = baseRevision === undefined ? '' : ` --base ${baseRevision}`;
  return (
    'whether the change was made is not known: ' +
    `repeat it with --operation-id ${operationId}${base}`
  );
}

function readAttempt(status: number, value: unknown): Attempt {
  if (status < 300) return {kind: 'answered', value};
  const {error} = value as {error: ApiError & {readonly kind: string}};
  return {kind: 'refused', error: {...error, kind: parseErrorKind(error.kind)}};
}

function describeAttempt(
  attempt: Exclude<Attempt, {kind: 'answered'}>,
): string {
  if (attempt.kind === 'lost') return attempt.message;
  return `${attempt.error.kind}: ${attempt.error.message}`;
}
