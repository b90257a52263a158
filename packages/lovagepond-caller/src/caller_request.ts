/**
 * Validates a request's headers and body and creates a {@link CallerRequest}.
 * Free of I/O.
 */
import {createHash} from 'node:crypto';
import {type IncomingHttpHeaders} from 'node:http';
import {
  type ErrorKind,
  type Failure,
  makeFailure,
  type Result,
  z,
} from '@lovagepond/core';
import {CALLER_HEADER, DEFAULT_CHAT_KIND} from './caller_constants.js';
import {type CallerRequest, type CallerSettings} from './caller_types.js';

export const ENDPOINT = {
  COMPLETION: 'completion',
  SERVICE: 'service',
} as const;

export type Endpoint = (typeof ENDPOINT)[keyof typeof ENDPOINT];

/** The decoded headers. */
export interface CallerHead {
  readonly workspace: string;
  readonly chat: string;
  readonly requestKind: string;
  readonly idempotencyKey: string | undefined;
  readonly contentType: string;
  /** Monotonic milliseconds. */
  readonly deadline: number;
}

const BYTES_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 256;
const NAME = /^[A-Za-z0-9][A-Za-z0-9_.:/-]{0,127}$/;
const KEY = /^[\x21-\x7e]{1,128}$/;
const WHOLE_NUMBER = /^[0-9]{1,12}$/;

const completionBody = z.object({
  messages: z.array(z.object({role: z.string()})).min(1),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().max(1_000_000).nullish(),
  max_completion_tokens: z.number().int().positive().max(1_000_000).nullish(),
});

function fail(
  kind: ErrorKind,
  message: string,
): {readonly ok: false; readonly failure: Failure} {
  return {ok: false, failure: makeFailure(kind, {message})};
}

function readHeader(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return Array.isArray(value) ? value.join(',') : (value ?? '');
}

function readDeadline(
  text: string,
  settings: CallerSettings,
  now: number,
): Result<number> {
  if (text === '') return {ok: true, value: now + settings.defaultDeadlineMs};
  const remainingMs = WHOLE_NUMBER.test(text) ? Number(text) : 0;
  if (remainingMs < 1 || remainingMs > settings.maxDeadlineMs) {
    const range = `1 to ${settings.maxDeadlineMs}`;
    const requirement = `${CALLER_HEADER.DEADLINE} must be whole milliseconds`;
    return fail('badDeadline', `${requirement}, ${range}.`);
  }
  return {ok: true, value: now + remainingMs};
}

interface NamedHeader {
  readonly header: string;
  readonly value: string;
  readonly pattern: RegExp;
  readonly required: boolean;
}

function findBadHeader(checks: readonly NamedHeader[]): Failure | undefined {
  for (const {header, value, pattern, required} of checks) {
    if (value === '' && !required) continue;
    if (pattern.test(value)) continue;
    const fault = value === '' ? 'is missing' : 'is not a valid name';
    return makeFailure('badRequest', {message: `${header} ${fault}.`});
  }
  return undefined;
}

/**
 * @param headers the request's headers
 * @param endpoint completions require a chat header, services a request kind
 * @param settings default and limit of the deadline
 * @param now current time, monotonic milliseconds
 * @returns the decoded headers, or the first fault in them
 */
export function readCallerHead(
  headers: IncomingHttpHeaders,
  endpoint: Endpoint,
  settings: CallerSettings,
  now: number,
): Result<CallerHead> {
  const completion = endpoint === ENDPOINT.COMPLETION;
  const workspace = readHeader(headers, CALLER_HEADER.WORKSPACE);
  const chat = readHeader(headers, CALLER_HEADER.CHAT);
  const named = readHeader(headers, CALLER_HEADER.REQUEST_KIND);
  const requestKind = named || (completion ? DEFAULT_CHAT_KIND : '');
  const key = readHeader(headers, CALLER_HEADER.IDEMPOTENCY_KEY);
  const {WORKSPACE, CHAT, REQUEST_KIND, IDEMPOTENCY_KEY} = CALLER_HEADER;
  const bad = findBadHeader([
    {header: WORKSPACE, value: workspace, pattern: NAME, required: true},
    {header: CHAT, value: chat, pattern: NAME, required: completion},
    {header: REQUEST_KIND, value: requestKind, pattern: NAME, required: true},
    {header: IDEMPOTENCY_KEY, value: key, pattern: KEY, required: false},
  ]);
  if (bad) return {ok: false, failure: bad};
  const deadlineText = readHeader(headers, CALLER_HEADER.DEADLINE);
  const deadline = readDeadline(deadlineText, settings, now);
  if (!deadline.ok) return deadline;
  const contentType = readHeader(headers, 'content-type') || 'application/json';
  const idempotencyKey = key || undefined;
  return {
    ok: true,
    value: {
      workspace,
      chat,
      requestKind,
      idempotencyKey,
      contentType,
      deadline: deadline.value,
    },
  };
}

/** Includes the path, as a key reused on another path is another request. */
function digestCall(path: string, body: Uint8Array): Uint8Array {
  return createHash('sha256').update(path).update('\0').update(body).digest();
}

function parseJson(body: Uint8Array): Result<unknown> {
  try {
    const text = new TextDecoder('utf-8', {fatal: true}).decode(body);
    return {ok: true, value: JSON.parse(text)};
  } catch {
    return fail('badRequest', 'The body is not JSON in UTF-8.');
  }
}

function checkCompletion(
  body: Uint8Array,
): Result<{stream: boolean; estimatedTokens: number}> {
  const json = parseJson(body);
  if (!json.ok) return json;
  const parsed = completionBody.safeParse(json.value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const place = issue ? issue.path.join('.') || 'body' : 'body';
    return fail('badRequest', `${place}: ${issue?.message ?? 'is invalid'}`);
  }
  const maxTokens = parsed.data.max_completion_tokens ?? parsed.data.max_tokens;
  const prompt = Math.ceil(body.length / BYTES_PER_TOKEN);
  const estimatedTokens = prompt + (maxTokens ?? DEFAULT_OUTPUT_TOKENS);
  return {
    ok: true,
    value: {stream: parsed.data.stream === true, estimatedTokens},
  };
}

type BodyCheck = (
  body: Uint8Array,
) => Result<{stream: boolean; estimatedTokens: number}>;

const BODY_CHECKS: Readonly<Record<Endpoint, BodyCheck>> = {
  completion: checkCompletion,
  service: body => ({
    ok: true,
    value: {
      stream: false,
      estimatedTokens: 1 + Math.ceil(body.length / BYTES_PER_TOKEN),
    },
  }),
};

/**
 * @param head the result of {@link readCallerHead}
 * @param call the request's id, path, endpoint and complete body
 * @returns the request, or the fault in its body
 */
export function makeCallerRequest(
  head: CallerHead,
  call: {
    readonly requestId: string;
    readonly path: string;
    readonly endpoint: Endpoint;
    readonly body: Uint8Array;
  },
): Result<CallerRequest> {
  const checked = BODY_CHECKS[call.endpoint](call.body);
  if (!checked.ok) return checked;
  const {idempotencyKey, ...rest} = head;
  return {
    ok: true,
    value: {
      ...rest,
      ...(idempotencyKey === undefined ? {} : {idempotencyKey}),
      requestId: call.requestId,
      path: call.path,
      body: call.body,
      bodyDigest: digestCall(call.path, call.body),
      ...checked.value,
    },
  };
}
