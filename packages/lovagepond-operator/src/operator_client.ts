/**
 * Client of the administration API of control.
 *
 * When an answer is lost, the outcome of the change is unknown. The client
 * retries the change at each member in turn, with the operation id and base
 * revision of the first try. Changes are idempotent: control answers a retry
 * with the first answer and makes the change once.
 */
import {type ErrorKind, parseErrorKind} from '@lovagepond/core';
import {type Dispatcher, request} from 'undici';

/** Addresses, credentials and time limits of the client. */
export interface ClientSettings {
  /** Origins of the members' administration servers; at least one. */
  readonly origins: readonly string[];
  /** The operators' token; may be empty for reads over loopback. */
  readonly token: string;
  /** Time limit of one attempt, milliseconds. */
  readonly answerTimeoutMs: number;
  /** Time limit over all attempts of one call, milliseconds. */
  readonly limitMs: number;
}

/** Clock and timer of the client. */
export interface ClientTime {
  /** @returns monotonic milliseconds */
  now(): number;
  /** @param delayMs milliseconds until the promise resolves */
  wait(delayMs: number): Promise<void>;
}

/** A change to send; every attempt sends the same one. */
export interface ChangeCall {
  readonly method: 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly operationId: string;
  readonly baseRevision?: number;
  readonly dryRun?: boolean;
  readonly body?: unknown;
}

/** The `error` object of an error response. */
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

/** A control member refused the call; carries its `error` object. */
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
  /** Outcome of the last attempt at each member, by origin. */
  readonly attempts: ReadonlyMap<string, string>;

  constructor(message: string, attempts: ReadonlyMap<string, string>) {
    const details = [...attempts].map(([origin, text]) => `${origin}: ${text}`);
    super([message, ...details].join('\n  '));
    this.name = 'UnreachableError';
    this.attempts = attempts;
  }
}

/** Outcome of one attempt at one member. */
type Attempt =
  | {readonly kind: 'answered'; readonly value: unknown}
  | {readonly kind: 'refused'; readonly error: ApiError}
  | {readonly kind: 'lost'; readonly message: string};

const ROUND_DELAY_MS = 500;

/** Error kinds after which the call is retried at the next member. */
const RETRYABLE_KINDS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'notLeader',
  'notReady',
  'outcomeUnknown',
  'internal',
]);

/** Sends each call to the control members until one gives a final answer. */
export class AdministrationClient {
  readonly #settings: ClientSettings;
  readonly #time: ClientTime;
  readonly #dispatcher: Dispatcher | undefined;

  /**
   * @param settings addresses, credentials and time limits
   * @param time clock and timer
   * @param dispatcher undici dispatcher; the global one when left out
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

  /** @returns the origins of the members, in the order of attempts */
  get origins(): readonly string[] {
    return this.#settings.origins;
  }

  /**
   * Reads from the first member that answers.
   *
   * @param path path of the call, with its query
   * @returns the parsed answer
   * @throws RefusedError when a member refused the call;
   *     UnreachableError when no member answered within the time limit
   */
  read(path: string): Promise<unknown> {
    return this.#tryMembers(origin => this.#send(origin, 'GET', path, {}));
  }

  /**
   * Reads from every member, with one attempt each.
   *
   * @param path path of the call
   * @returns the answers of the members that responded, by origin
   * @throws UnreachableError when no member responded
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
   * Makes one change once, even when several attempts are needed.
   *
   * @param call the change; its operation id is the same in each attempt
   * @returns the parsed answer
   * @throws RefusedError when a member refused the change;
   *     UnreachableError when the outcome is unknown at the time limit
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

/** Describes the options with which a retry makes the same change. */
function describeRetryOptions({operationId, baseRevision}: ChangeCall): string {
  const base = baseRevision === undefined ? '' : ` --base ${baseRevision}`;
  return (
    'the outcome of the change is unknown: ' +
    `retry it with --operation-id ${operationId}${base}`
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
