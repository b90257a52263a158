/**
 * Processes one HTTP exchange: validates the request and calls the handler.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
  type Clock,
  type Failure,
  makeFailure,
  type Random,
  type Result,
  type Unregister,
} from '@lovagepond/core';
import {type BodyBudget} from '@lovagepond/process/http_body_budget';
import {HttpResponseSink} from './caller_response.js';
import {readBody} from './caller_body.js';
import {CALLER_HEADER} from './caller_constants.js';
import {type KeysInFlight} from './caller_keys.js';
import {
  makeCallerRequest,
  readCallerHead,
  type Endpoint,
} from './caller_request.js';
import {type CallerRefusals} from './caller_refusals.js';
import {
  type CallerHandler,
  type CallerRequest,
  type CallerSettings,
} from './caller_types.js';

/** Dependencies shared by all exchanges of a server. */
export interface ExchangeContext {
  readonly settings: CallerSettings;
  readonly clock: Clock;
  readonly handler: CallerHandler;
  readonly keys: KeysInFlight;
  readonly bodies: BodyBudget;
  readonly refusals: CallerRefusals;
  /** Source of the jitter of retry delays. */
  readonly random: Random;
  readonly nextRequestId: () => string;
  /** Aborted with a failure shortly before the server exits. */
  readonly leaving: AbortSignal;
}

const CALLER_REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/;
const MAX_PATH_LENGTH = 2048;
const OVERLOAD_RETRY_MS = 2_000;
// Dot segments could escape the path prefix of a service.
const DOT_SEGMENT = /(^|\/|\\|%2f|%5c)(\.|%2e){1,2}(\/|\\|%2f|%5c|$)/i;

function echoIds(
  req: IncomingMessage,
  res: ServerResponse,
  requestId: string,
): void {
  const callerRequestId = req.headers[CALLER_HEADER.CALLER_REQUEST_ID];
  const isValid =
    typeof callerRequestId === 'string' &&
    CALLER_REQUEST_ID_PATTERN.test(callerRequestId);
  res.setHeader(
    CALLER_HEADER.CALLER_REQUEST_ID,
    isValid ? callerRequestId : requestId,
  );
  res.setHeader(CALLER_HEADER.REQUEST_ID, requestId);
}

function checkPath(path: string): Result<string> {
  const queryStart = path.indexOf('?');
  const pathname = queryStart < 0 ? path : path.slice(0, queryStart);
  if (path.length <= MAX_PATH_LENGTH && !DOT_SEGMENT.test(pathname)) {
    return {ok: true, value: path};
  }
  const message = 'The path is too long or has dot segments.';
  return {ok: false, failure: makeFailure('badRequest', {message})};
}

function makeOverloadFailure(random: Random): Failure {
  const message = 'This process holds as many request bodies as it may.';
  const retryAfterMs = OVERLOAD_RETRY_MS * (0.5 + random.next());
  return makeFailure('overloaded', {message, retryAfterMs});
}

async function readRequest(
  req: IncomingMessage,
  res: ServerResponse,
  requestId: string,
  path: string,
  endpoint: Endpoint,
  context: ExchangeContext,
): Promise<Result<CallerRequest>> {
  const {settings, clock} = context;
  const safePath = checkPath(path);
  if (!safePath.ok) return safePath;
  // The deadline is relative to the arrival of the headers, so the time that a
  // slow body takes is part of it.
  const head = readCallerHead(req.headers, endpoint, settings, clock.now());
  if (!head.ok) return head;
  const body = await readBody(req, {
    maxBytes: settings.maxBodyBytes,
    timeoutMs: settings.senderTimeoutMs,
    budget: context.bodies,
    overload: () => makeOverloadFailure(context.random),
    leaving: context.leaving,
  });
  if (!body.ok) return body;
  const {bytes, release} = body.value;
  if (res.destroyed) release();
  else res.on('close', release);
  const call = {requestId, path, endpoint, body: bytes};
  return makeCallerRequest(head.value, call);
}

async function callHandler(
  request: CallerRequest,
  sink: HttpResponseSink,
  context: ExchangeContext,
): Promise<void> {
  try {
    await context.handler.handle(request, sink, context.clock.now());
  } catch {
    sink.fail(makeFailure('internal'));
  }
}

/**
 * @param req the request, its body unread
 * @param res its response
 * @param route the path including its query, and the endpoint
 * @param context the server's shared dependencies
 * @returns the response sink after the handler was called, or undefined if the
 *     request was rejected before
 */
export async function runExchange(
  req: IncomingMessage,
  res: ServerResponse,
  route: {readonly path: string; readonly endpoint: Endpoint},
  context: ExchangeContext,
): Promise<HttpResponseSink | undefined> {
  const requestId = context.nextRequestId();
  echoIds(req, res, requestId);
  const {path, endpoint} = route;
  const received = await readRequest(
    req,
    res,
    requestId,
    path,
    endpoint,
    context,
  );
  if (!received.ok) {
    context.refusals.refuse(req, res, received.failure);
    return undefined;
  }
  const request = received.value;
  const claimed: Result<Unregister> = context.keys.claim(request);
  if (!claimed.ok) {
    context.refusals.refuse(req, res, claimed.failure);
    return undefined;
  }
  const sink = new HttpResponseSink(res, request.stream, context.settings);
  res.on('close', claimed.value);
  await callHandler(request, sink, context);
  return sink;
}
