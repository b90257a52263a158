/**
 * HTTP helpers of the administration server: bounded bodies, replies and the
 * check of the operator's token.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {answerFor, type ErrorKind, makeFailure} from '@lovagepond/core';

/** What a handler answers. */
export interface AdministrationReply {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Fields that some kinds of error carry besides the closed table's. */
export interface ErrorDetails {
  readonly message?: string;
  readonly retryAfterMs?: number;
  readonly faults?: unknown;
  readonly differences?: unknown;
  readonly currentRevision?: number;
  readonly leader?: string;
}

/** The body of every error answer. */
export interface ErrorBody {
  readonly error: {
    readonly kind: ErrorKind;
    readonly disposition: string;
    readonly retryAfterMs: number;
  } & ErrorDetails & {readonly message: string};
}

/** Time after which an operator may ask again, milliseconds. */
const RETRY_AFTER_MS = 500;
const MS_PER_SECOND = 1_000;

/**
 * @param kind a kind of the closed list
 * @param details what goes beside the table's fields
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
 * @param body a value that JSON can carry
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
 * Sends a reply and ends the response.
 *
 * @param res the response; nothing may have been written to it
 * @param reply what to send
 */
export function sendReply(
  res: ServerResponse,
  reply: AdministrationReply,
): void {
  if (res.headersSent || res.destroyed) return;
  const bytes = Buffer.from(`${JSON.stringify(reply.body)}\n`);
  res.writeHead(reply.status, {
    ...reply.headers,
    'content-type': 'application/json',
    'content-length': bytes.length,
  });
  res.end(bytes);
}

/** A body read whole, or what is wrong with it. */
export type BodyResult =
  | {readonly ok: true; readonly value: unknown}
  | {readonly ok: false; readonly reply: AdministrationReply};

/**
 * Reads a JSON body up to a limit.
 *
 * A body over the limit is refused before its rest is read; the connection
 * closes after the answer, so that the rest can't be taken for a request.
 *
 * @param req the request
 * @param maxBytes largest body accepted, bytes
 * @returns the parsed value (undefined for an empty body), or the refusal
 */
export async function readJsonBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  const chunks: Buffer[] = [];
  let size = 0;
  const tooLarge = replyWithError('payloadTooLarge', {
    message: `The body is larger than ${maxBytes} bytes.`,
  });
  const refusal: AdministrationReply = {
    ...tooLarge,
    headers: {connection: 'close'},
  };
  if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
    return {ok: false, reply: refusal};
  }
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > maxBytes) return {ok: false, reply: refusal};
    chunks.push(chunk);
  }
  if (size === 0) return {ok: true, value: undefined};
  try {
    const value: unknown = JSON.parse(Buffer.concat(chunks).toString('utf8'));
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
 * Digests of equal length are compared in constant time: a comparison that
 * ends at the first difference would let a caller find the token byte by byte.
 *
 * @param header the Authorization header
 * @param token the operators' token; the empty one admits nobody
 * @returns true when the header carries the token
 */
export function hasToken(header: string | undefined, token: string): boolean {
  const same = timingSafeEqual(digest(header ?? ''), digest(`Bearer ${token}`));
  return same && token !== '';
}
