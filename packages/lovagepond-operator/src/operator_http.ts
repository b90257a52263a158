/**
 * HTTP helpers of the administration server: size-limited bodies, replies and
 * authentication by the operators' token.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {answerFor, type ErrorKind, makeFailure} from '@lovagepond/core';
import {sendWhole} from '@lovagepond/process/http_delivery';
import {type BodyLimits} from '@lovagepond/process/http_body';
import {readText, type TextFailure} from '@lovagepond/process/request_text';

/** HTTP reply of a handler. */
export interface AdministrationReply {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Fields that only some kinds of errors have. */
export interface ErrorDetails {
  readonly message?: string;
  readonly retryAfterMs?: number;
  readonly faults?: unknown;
  readonly differences?: unknown;
  readonly currentRevision?: number;
  readonly leader?: string;
}

/** Body of every error reply. */
export interface ErrorBody {
  readonly error: {
    readonly kind: ErrorKind;
    readonly disposition: string;
    readonly retryAfterMs: number;
  } & ErrorDetails & {readonly message: string};
}

/** Default delay before a retry, milliseconds. */
const RETRY_AFTER_MS = 500;
const MS_PER_SECOND = 1_000;

/**
 * @param kind the kind of error; it determines status and disposition
 * @param details further fields of the error
 * @returns the reply, with Retry-After when the kind is retryable
 */
export function replyWithError(
  kind: ErrorKind,
  details: ErrorDetails = {},
): AdministrationReply {
  const answer = answerFor(kind);
  const retryAfterMs =
    details.retryAfterMs ?? (answer.retryable ? RETRY_AFTER_MS : 0);
  const {message} = makeFailure(
    kind,
    details.message === undefined ? {} : {message: details.message},
  );
  const {disposition} = answer;
  const body: ErrorBody = {
    error: {...details, kind, disposition, message, retryAfterMs},
  };
  const seconds = Math.ceil(retryAfterMs / MS_PER_SECOND);
  const headers: Record<string, string> = {};
  if (retryAfterMs > 0) headers['retry-after'] = String(seconds);
  return {status: answer.status, body, headers};
}

/**
 * @param body a value that can be serialised as JSON
 * @param headers further headers
 * @returns a reply with status 200
 */
export function replyWith(
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): AdministrationReply {
  return {status: 200, body, headers};
}

/**
 * Sends a reply and ends the response. Does nothing when a reply was sent
 * before or the connection is closed.
 *
 * @param req the request
 * @param res the response
 * @param reply the reply to send
 */
export function sendReply(
  req: IncomingMessage,
  res: ServerResponse,
  {status, headers, body}: AdministrationReply,
): void {
  const json = {...headers, 'content-type': 'application/json'};
  const text = `${JSON.stringify(body)}\n`;
  sendWhole(req, res, {status, headers: json, text});
}

/** A complete, parsed body, or the reply that refuses it. */
export type BodyResult =
  | {readonly ok: true; readonly value: unknown}
  | {readonly ok: false; readonly reply: AdministrationReply};

const BODY_REFUSALS: Readonly<
  Record<TextFailure, (maxBytes: number) => AdministrationReply>
> = {
  tooLarge: maxBytes =>
    replyWithError('payloadTooLarge', {
      message: `The body is larger than ${maxBytes} bytes.`,
    }),
  noRoom: () => replyWithError('overloaded'),
};

/**
 * Reads a JSON body up to a limit.
 *
 * After a refusal the connection closes, so that the rest of the body can't be
 * parsed as another request.
 *
 * @param req the request
 * @param limits limits of the body
 * @returns the parsed value (undefined for an empty body), or the error reply
 */
export async function readJsonBody(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<BodyResult> {
  const read = await readText(req, limits);
  if (!read.ok) {
    const refusal = BODY_REFUSALS[read.failure](limits.maxBytes);
    const headers = {...refusal.headers, connection: 'close'};
    return {ok: false, reply: {...refusal, headers}};
  }
  const {text} = read;
  if (text === '') return {ok: true, value: undefined};
  try {
    const value: unknown = JSON.parse(text);
    return {ok: true, value};
  } catch {
    const reply = replyWithError('badRequest', {
      message: 'The body is not JSON.',
    });
    return {ok: false, reply};
  }
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/**
 * Compares the Authorization header with the token.
 *
 * Digests of equal length are compared in constant time. A comparison that ends
 * at the first difference allows a timing attack on the token, byte by byte.
 *
 * @param header the Authorization header
 * @param token the operators' token; an empty token admits no caller
 * @returns true when the header carries the token
 */
export function hasToken(header: string | undefined, token: string): boolean {
  const same = timingSafeEqual(digest(header ?? ''), digest(`Bearer ${token}`));
  return same && token !== '';
}
